/**
 * The parts of a node that keep what limited upstreams get within what they accept.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { startInterval } from '../base/node/interval.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { CoordinatorLinks } from '../services/preparation/node/coordinatorLinks.ts'
import type { MembershipTable } from '../services/membership/common/membershipTable.ts'
import { CombinedLimits, ColdStartLimits, StatedLimits } from '../services/quota/common/rateLimitSource.ts'
import { QuotaOwner } from '../services/quota/common/quotaOwner.ts'
import type { QuotaDecision } from '../services/quota/common/quotaOwner.ts'
import { PeerReportedLimits } from '../services/quota/common/peerReportedLimits.ts'
import type { PeerReportedLimit } from '../services/quota/common/peerReportedLimits.ts'
import { QuotaService } from '../services/quota/node/quotaService.ts'
import { RateLimitService } from '../services/quota/node/rateLimitService.ts'
import type { RelayTable } from '../services/relay/common/relayTable.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'

export interface NodeQuotaOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  readonly links: CoordinatorLinks
  /** This node, by its address, and its boot. */
  readonly node: string
  readonly incarnation: number
  /** Where the coordinator of this node is reached. */
  readonly coordinatorAddress: string
  /** The coordinator that all nodes with the same members choose for a hall. */
  readonly findCoordinator: (hall: string) => string | undefined
  /** Whether this node may take itself for the owner of anything. */
  readonly mayOwn: () => boolean
  readonly membership: MembershipTable
  /** Undefined until a configuration is known. */
  readonly getTable: () => RelayTable | undefined
  /** All nodes together send a cold upstream at most so many times what it bears in a second, and so many more; nothing bounds it without them. */
  readonly coldShare?: number | undefined
  readonly coldSpare?: number | undefined
}

/** How often it is looked at which halls this node owns the quotas of. */
const OWNER_PERIOD_MS = 100
const NOT_KNOWN: QuotaDecision = { isGranted: false, retryInMs: 200 }

export class NodeQuota extends Disposable {
  private readonly _options: NodeQuotaOptions
  private readonly _owner: QuotaOwner
  private readonly _told: PeerReportedLimits
  readonly stated: RateLimitService
  readonly limits: CombinedLimits
  readonly service: QuotaService

  constructor (options: NodeQuotaOptions) {
    super()
    this._options = options
    const { clock, registry, membership } = options
    const countLive = () => membership.countLive()
    const countKnown = () => membership.listMembers().filter(({ state }) => state !== 'left').length
    this.stated = this._register(new RateLimitService(options))
    this._told = new PeerReportedLimits(clock)
    this._register(registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._told.remove(entry.id) }))
    const known = new CombinedLimits([
      new StatedLimits(upstream => this.stated.findLimit(upstream)),
      new ColdStartLimits({ clock, getMaxRequestsPerS: role => this._computeColdBound(role), countKnownNodes: countKnown, countLiveNodes: countLive })
    ])
    this.limits = new CombinedLimits([this._told, known])
    this._owner = new QuotaOwner({ clock, limits: this.limits, isOwner: hall => options.mayOwn() && this._findOwner(hall) === undefined })
    this.service = this._register(new QuotaService({ ...options, limits: this.limits, localLimits: known, owner: this._owner, findOwnerAddress: hall => this._findOwner(hall), countNodes: countLive }))
    this._register(startInterval(OWNER_PERIOD_MS, () => this._owner.refreshOwnership(new Set(registry.list().map(({ hall }) => hall)))))
  }

  /** Requests that were not given out here since the start. */
  get deniedCount (): number {
    return this._owner.deniedCount
  }

  /** Whether another node may send one request to an upstream. */
  answer (upstreamId: string, limit: PeerReportedLimit | undefined): QuotaDecision {
    const entry = this._options.registry.get(upstreamId)
    if (entry === undefined) return NOT_KNOWN
    if (limit !== undefined) this._told.record(upstreamId, limit)
    return this._owner.acquire(entry)
  }

  /** What this node knew of the owners is from before a pause. */
  forgetOwned (): void {
    this._owner.resetOwnership()
  }

  /** What one cold upstream of a role may get in a second from all nodes together; Infinity where nothing bounds it. */
  private _computeColdBound (role: string): number {
    const { coldShare, coldSpare = 0, getTable } = this._options
    const bearsPerS = getTable()?.getRole(role)?.coldRequestsPerS ?? 0
    return coldShare === undefined || bearsPerS <= 0 ? Infinity : bearsPerS * coldShare + coldSpare
  }

  /** Where the owner of a hall's quotas is reached; undefined where that is this node. */
  private _findOwner (hall: string): string | undefined {
    const { findCoordinator, coordinatorAddress } = this._options
    const address = findCoordinator(hall) ?? coordinatorAddress
    return address === coordinatorAddress ? undefined : address
  }
}
