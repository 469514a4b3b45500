/**
 * Acquires quota for requests to rate-limited upstreams from the quota's owner, on this node or another one.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { CoordinatorLinks } from '../../preparation/node/coordinatorLinks.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimitSource } from '../common/rateLimitSource.ts'
import type { IQuotaService } from '../common/quota.ts'
import type { QuotaDecision, QuotaOwner } from '../common/quotaOwner.ts'
import { RetryAfterSchedule } from '../common/retryAfterSchedule.ts'
import type { UnconfirmedLimits } from '../common/unconfirmedLimits.ts'
import type { PeerReportedLimit } from '../common/peerReportedLimits.ts'

export interface QuotaServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  readonly limits: RateLimitSource
  /**
   * The limits that this node reports to owners. Limits reported by other nodes must not be among them, or two nodes that
   * query each other would keep renewing each other's reports. Defaults to all limits.
   */
  readonly localLimits?: RateLimitSource
  /** Limits of upstreams that may be cold, which are among `limits`. */
  readonly unconfirmed?: UnconfirmedLimits
  /** Grants requests for the halls whose quotas this node owns. */
  readonly owner: QuotaOwner
  readonly links: CoordinatorLinks
  /** Returns the address of the owner of a hall's quotas, or undefined if that is this node. */
  readonly findOwnerAddress: (hall: string) => string | undefined
  /** Counts the nodes that tell callers when to return, including those that cannot be reached. */
  readonly countNodes: () => number
}

/** A node in another hall normally answers within a few milliseconds. */
const RESPONSE_TIMEOUT_MS = 150
const OWNER_UNREACHABLE: QuotaDecision = { isGranted: false, retryInMs: 200 }
/** Limits change, so the quota is requested again after at most this time, even if the owner gave a longer delay. */
const MAX_DENIAL_MS = 1000

export class QuotaService extends Disposable implements IQuotaService {
  private readonly _options: QuotaServiceOptions
  private readonly _deniedUntil = new Map<string, number>()
  private readonly _pendingQueries = new Map<number, (decision: QuotaDecision) => void>()
  private readonly _retryAfterSchedule = new RetryAfterSchedule()
  private _nextId = 1

  constructor (options: QuotaServiceOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._removeUpstream(entry.id) }))
    this._register(options.links.onDidOpen(link => {
      link.onDidReceiveQuotaAnswer(({ id, ...decision }) => this._completeQuery(id, decision))
    }))
  }

  isLimited (entry: UpstreamEntry): boolean {
    return this._options.limits.findLimit(entry) !== undefined
  }

  isUnconfirmed (entry: UpstreamEntry): boolean {
    return this._options.unconfirmed?.findMaxUnproven(entry) !== undefined
  }

  getWaitMs (entry: UpstreamEntry): number {
    return this.isLimited(entry) ? Math.max(0, (this._deniedUntil.get(entry.id) ?? 0) - this._options.clock.now()) : 0
  }

  async acquire (entry: UpstreamEntry, request: string): Promise<boolean> {
    if (!this.isLimited(entry)) return true
    if (this.getWaitMs(entry) > 0) return false
    const address = this._options.findOwnerAddress(entry.hall)
    const decision = address === undefined ? this._options.owner.acquire(entry) : await this._queryOwner(address, entry)
    const { isGranted, retryInMs } = decision
    if (!isGranted) this._deniedUntil.set(entry.id, this._options.clock.now() + Math.min(retryInMs, MAX_DENIAL_MS))
    this._options.log.info('quota_asked', { request, upstream: entry.id, owner: address ?? 'own', granted: isGranted, per_s: this._options.limits.findLimit(entry)?.perS ?? 'none', retry_in_ms: Math.round(Math.min(retryInMs, MAX_DENIAL_MS)) })
    return isGranted
  }

  scheduleRetryAfter (role: string, entries: readonly UpstreamEntry[]): number {
    const { clock, limits, countNodes } = this._options
    const now = clock.now()
    const earliestMs = Math.min(MAX_DENIAL_MS, ...entries.map(entry => this.getWaitMs(entry)))
    const rateLimits = entries.map(entry => limits.findLimit(entry))
    const perS = rateLimits.reduce((sum, limit) => sum + (limit?.perS ?? 0), 0) / countNodes()
    const limitEndsInMs = Math.min(...rateLimits.map(limit => limit?.expiresAt === undefined ? Infinity : limit.expiresAt - now))
    return this._retryAfterSchedule.schedule({ role, earliestMs, perS, limitEndsInMs }, now)
  }

  /** The timeout includes the time to open a link, since the request may be sent to another upstream instead. */
  private _queryOwner (address: string, entry: UpstreamEntry): Promise<QuotaDecision> {
    const id = this._nextId++
    return new Promise(resolve => {
      const timer = this._options.clock.schedule(RESPONSE_TIMEOUT_MS, () => this._completeQuery(id, OWNER_UNREACHABLE))
      this._pendingQueries.set(id, decision => {
        timer.dispose()
        resolve(decision)
      })
      void this._sendQuery(address, id, entry)
    })
  }

  private async _sendQuery (address: string, id: number, entry: UpstreamEntry): Promise<void> {
    const link = await this._options.links.connect(address)
    if (link === undefined || link.isClosed) this._completeQuery(id, OWNER_UNREACHABLE)
    else if (this._pendingQueries.has(id)) link.sendQuotaQuery(id, entry.id, this._findLocalLimit(entry))
  }

  private _findLocalLimit (entry: UpstreamEntry): PeerReportedLimit | undefined {
    const { limits, localLimits = limits } = this._options
    const limit = localLimits.findLimit(entry)
    return limit === undefined ? undefined : { perS: limit.perS, burst: limit.burst }
  }

  /** Ignores answers that arrive after the timeout. */
  private _completeQuery (id: number, decision: QuotaDecision): void {
    const complete = this._pendingQueries.get(id)
    this._pendingQueries.delete(id)
    complete?.(decision)
  }

  private _removeUpstream (upstream: string): void {
    this._deniedUntil.delete(upstream)
    this._options.owner.removeUpstream(upstream)
  }
}
