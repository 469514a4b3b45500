/**
 * Enforces the rate limits of upstreams: those they state themselves and those of cold upstreams.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { startInterval } from '../base/node/interval.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { CoordinatorLinks } from '../services/preparation/node/coordinatorLinks.ts'
import type { MembershipTable } from '../services/membership/common/membershipTable.ts'
import { CombinedLimits, ColdStartLimits, StatedLimits, computeReachableShare } from '../services/quota/common/rateLimitSource.ts'
import type { NodeCounts } from '../services/quota/common/rateLimitSource.ts'
import { QuotaOwner } from '../services/quota/common/quotaOwner.ts'
import type { QuotaDecision } from '../services/quota/common/quotaOwner.ts'
import { PeerReportedLimits } from '../services/quota/common/peerReportedLimits.ts'
import type { PeerReportedLimit } from '../services/quota/common/peerReportedLimits.ts'
import { QuotaService } from '../services/quota/node/quotaService.ts'
import { WarmthProbes } from '../services/quota/node/warmthProbes.ts'
import { UnconfirmedLimits } from '../services/quota/common/unconfirmedLimits.ts'
import type { WarmthProbe } from '../services/quota/common/warmthProbe.ts'
import { RateLimitService } from '../services/quota/node/rateLimitService.ts'
import type { RelayTable } from '../services/relay/common/relayTable.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'

export interface NodeQuotaOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  readonly links: CoordinatorLinks
  /** The address of this node. */
  readonly node: string
  readonly incarnation: number
  /** The address of this node's coordinator. */
  readonly coordinatorAddress: string
  /** Returns the address of a hall's coordinator. All nodes with the same list of members choose the same one. */
  readonly findCoordinator: (hall: string) => string | undefined
  /** Whether this node may act as the owner of any hall's quotas. */
  readonly canOwnQuotas: () => boolean
  readonly membership: MembershipTable
  /** Returns undefined until a configuration is in force. */
  readonly getTable: () => RelayTable | undefined
  /** All nodes together send a cold upstream at most this multiple of its cold capacity; undefined for no limit. */
  readonly coldRateMultiplier?: number | undefined
  /** Requests per second that all nodes together may send a cold upstream in addition to that. */
  readonly extraColdRequestsPerS?: number | undefined
  /** Whether this node would learn at once from the source that an upstream has become cold. */
  readonly isSourceCurrent: () => boolean
  /** Asks upstreams whether they are cold while the source is not current; without it, they get no more than cold ones then. */
  readonly warmthProbe?: WarmthProbe | undefined
}

/** How often this node determines the halls whose quotas it owns. */
const OWNERSHIP_REFRESH_PERIOD_MS = 100
const UNKNOWN_UPSTREAM_DECISION: QuotaDecision = { isGranted: false, retryInMs: 200 }

export class NodeQuota extends Disposable {
  private readonly _options: NodeQuotaOptions
  private readonly _quotaOwner: QuotaOwner
  private readonly _peerReportedLimits: PeerReportedLimits
  readonly statedLimits: RateLimitService
  readonly limits: CombinedLimits
  readonly service: QuotaService

  constructor (options: NodeQuotaOptions) {
    super()
    this._options = options
    const { clock, registry, membership } = options
    const counts: NodeCounts = { countLiveNodes: () => membership.countLive(), countKnownNodes: () => membership.countKnown() }
    this.statedLimits = this._register(new RateLimitService(options))
    this._peerReportedLimits = new PeerReportedLimits(clock)
    this._register(registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._peerReportedLimits.remove(entry.id) }))
    const coldStartLimits = new ColdStartLimits({ clock, getMaxRequestsPerS: role => this._computeColdStartLimit(role), ...counts })
    const statedLimits = new StatedLimits({ findStatedPerS: upstream => this.statedLimits.findLimit(upstream), computeShare: () => computeReachableShare(counts) })
    const localLimits = new CombinedLimits([statedLimits, coldStartLimits])
    const knownLimits = new CombinedLimits([this._peerReportedLimits, localLimits])
    const unconfirmed = new UnconfirmedLimits({ clock, isSourceCurrent: options.isSourceCurrent, coldStartLimits })
    this.limits = new CombinedLimits([knownLimits, unconfirmed])
    this._quotaOwner = this._register(new QuotaOwner({ clock, limits: knownLimits, unconfirmed, isOwner: hall => options.canOwnQuotas() && this._findOwnerAddress(hall) === undefined }))
    if (options.warmthProbe !== undefined) {
      this._register(new WarmthProbes({ ...options, probe: options.warmthProbe, owner: this._quotaOwner, findHealthPath: role => options.getTable()?.getRole(role)?.healthPath ?? '' }))
    }
    this.service = this._register(new QuotaService({ ...options, limits: this.limits, localLimits, unconfirmed, owner: this._quotaOwner, findOwnerAddress: hall => this._findOwnerAddress(hall), countNodes: counts.countKnownNodes }))
    this._register(startInterval(OWNERSHIP_REFRESH_PERIOD_MS, () => this._quotaOwner.refreshOwnership(new Set(registry.list().map(({ hall }) => hall)))))
  }

  /** Requests that this node has denied as an owner of quotas since the process start. */
  get deniedCount (): number {
    return this._quotaOwner.deniedCount
  }

  /** Decides whether a peer may send one request to an upstream; records the limit that the peer reports. */
  acquireForPeer (upstreamId: string, limit: PeerReportedLimit | undefined): QuotaDecision {
    const entry = this._options.registry.get(upstreamId)
    if (entry === undefined) return UNKNOWN_UPSTREAM_DECISION
    if (limit !== undefined) this._peerReportedLimits.record(upstreamId, limit)
    return this._quotaOwner.acquire(entry)
  }

  /** Called after a process pause, when the tracked ownership may be outdated. */
  resetOwnership (): void {
    this._quotaOwner.resetOwnership()
  }

  /** Requests per second that all nodes together may send one cold upstream of a role; Infinity if there is no limit. */
  private _computeColdStartLimit (role: string): number {
    const { coldRateMultiplier, extraColdRequestsPerS = 0, getTable } = this._options
    const coldCapacityPerS = getTable()?.getRole(role)?.coldRequestsPerS ?? 0
    return coldRateMultiplier === undefined || coldCapacityPerS <= 0 ? Infinity : coldCapacityPerS * coldRateMultiplier + extraColdRequestsPerS
  }

  /** Returns the address of the owner of a hall's quotas; undefined if that is this node. */
  private _findOwnerAddress (hall: string): string | undefined {
    const { findCoordinator, coordinatorAddress } = this._options
    const address = findCoordinator(hall) ?? coordinatorAddress
    return address === coordinatorAddress ? undefined : address
  }
}
