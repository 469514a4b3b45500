/**
 * Sets up the retry budget of a node from its settings and the members that share the budget of the fleet.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { MEMBER_RETENTION_MS } from '../services/membership/common/membershipTable.ts'
import type { MemberStateChange, MembershipTable } from '../services/membership/common/membershipTable.ts'
import type { RetryShare } from '../services/retry/common/retryPolicy.ts'
import { AbandonedArrivals } from '../services/retry/common/abandonedArrivals.ts'
import { computeRetryShare } from '../services/retry/common/retryShare.ts'
import type { MemberStateAge } from '../services/retry/common/retryShare.ts'
import { WindowedRetryBudget } from '../services/retry/common/windowedRetryBudget.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { NodeSettings } from './nodeSettings.ts'

export interface NodeRetriesOptions {
  readonly clock: IClock
  readonly settings: Pick<NodeSettings, 'address' | 'seeds' | 'retry_share' | 'retry_spare' | 'retry_window_s' | 'stop_grace_s'>
  readonly membership: MembershipTable
  readonly registry: UpstreamRegistry
}

/** Fraction of the fleet-wide retry budget that nodes use; the rest covers differences between the nodes' views of the fleet. */
const RETRY_BUDGET_FRACTION = 0.8
const MS_PER_S = 1000
const SHARE_REFRESH_MS = 100

interface CachedShare {
  readonly states: readonly MemberStateChange[]
  readonly computedAt: number
  readonly share: RetryShare
}

export class NodeRetries extends Disposable {
  private readonly _options: NodeRetriesOptions
  private readonly _windowMs: number
  private readonly _startedAt: number
  readonly budget: WindowedRetryBudget
  readonly abandonedArrivals: AbandonedArrivals
  private _cached: CachedShare | undefined

  constructor (options: NodeRetriesOptions) {
    super()
    this._options = options
    const { clock, settings, registry } = options
    this.abandonedArrivals = this._register(new AbandonedArrivals({ clock, registry }))
    this._startedAt = clock.now()
    this._windowMs = settings.retry_window_s * MS_PER_S
    this.budget = new WindowedRetryBudget({
      clock,
      windowMs: this._windowMs,
      retryRatio: settings.retry_share * RETRY_BUDGET_FRACTION,
      getShare: () => this.getShare()
    })
  }

  /** Returns the share as of less than SHARE_REFRESH_MS ago: it is read with every request. */
  getShare (): RetryShare {
    const { clock, membership } = this._options
    const now = clock.now()
    const states = membership.listStates()
    if (states !== this._cached?.states || now - this._cached.computedAt >= SHARE_REFRESH_MS) this._cached = { states, computedAt: now, share: this._computeShare(now) }
    return this._cached.share
  }

  private _computeShare (now: number): RetryShare {
    const { retry_spare: fleetRetries, stop_grace_s: drainS } = this._options.settings
    return computeRetryShare({
      fleetRetries: fleetRetries * RETRY_BUDGET_FRACTION,
      windowMs: this._windowMs,
      drainMs: drainS * MS_PER_S,
      uptimeMs: now - this._startedAt,
      members: this._listMembers(now)
    })
  }

  /** A seed that has not been met may run behind a partition. It counts for as long as a lost member would be remembered. */
  private _listMembers (now: number): readonly MemberStateAge[] {
    const { settings: { address, seeds }, membership } = this._options
    const uptimeMs = now - this._startedAt
    const states = membership.listStates()
    const members = states.map(({ state, since }) => ({ state, ageMs: now - since }))
    if (uptimeMs >= MEMBER_RETENTION_MS) return members
    const known = new Set([address, ...states.map(member => member.address)])
    return [...members, ...seeds.filter(seed => !known.has(seed)).map(() => ({ state: 'dead' as const, ageMs: uptimeMs }))]
  }
}
