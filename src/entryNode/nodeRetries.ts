/**
 * Sets up the retry budget of a node from its settings and the members that share the budget of the fleet.
 */
import type { IClock } from '../base/common/clock.ts'
import type { MembershipTable } from '../services/membership/common/membershipTable.ts'
import type { RetryShare } from '../services/retry/common/retryPolicy.ts'
import { computeRetryShare } from '../services/retry/common/retryShare.ts'
import { WindowedRetryBudget } from '../services/retry/common/windowedRetryBudget.ts'
import type { NodeSettings } from './nodeSettings.ts'

export interface NodeRetriesOptions {
  readonly clock: IClock
  readonly settings: Pick<NodeSettings, 'address' | 'seeds' | 'retry_share' | 'retry_spare' | 'retry_window_s' | 'stop_grace_s'>
  readonly membership: MembershipTable
}

/** Fraction of the fleet-wide retry budget that nodes use; the rest covers differences between the nodes' views of the fleet. */
const RETRY_BUDGET_FRACTION = 0.8
const MS_PER_S = 1000

export class NodeRetries {
  private readonly _options: NodeRetriesOptions
  private readonly _windowMs: number
  readonly budget: WindowedRetryBudget

  constructor (options: NodeRetriesOptions) {
    this._options = options
    const { clock, settings } = options
    this._windowMs = settings.retry_window_s * MS_PER_S
    this.budget = new WindowedRetryBudget({
      clock,
      windowMs: this._windowMs,
      retryRatio: settings.retry_share * RETRY_BUDGET_FRACTION,
      getShare: () => this.computeShare()
    })
  }

  computeShare (): RetryShare {
    const { clock, settings: { address, seeds, retry_spare: fleetRetries, stop_grace_s: drainS }, membership } = this._options
    const now = clock.now()
    return computeRetryShare({
      fleetRetries: fleetRetries * RETRY_BUDGET_FRACTION,
      windowMs: this._windowMs,
      drainMs: drainS * MS_PER_S,
      members: membership.listStates().map(({ state, since }) => ({ state, ageMs: now - since })),
      configuredNodeCount: new Set([address, ...seeds]).size
    })
  }
}
