/**
 * Asks the owner of an upstream's quota, on whatever node it is, before a request goes to a limited upstream.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { CoordinatorLinks } from '../../preparation/node/coordinatorLinks.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { LimitSource } from '../common/limitSource.ts'
import type { IQuotaService } from '../common/quota.ts'
import type { QuotaGrant, QuotaOwner } from '../common/quotaOwner.ts'
import { ReturnSchedule } from '../common/returnSchedule.ts'
import type { ToldLimit } from '../common/toldLimits.ts'

export interface QuotaServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  readonly limits: LimitSource
  /** Those that this node knows by itself, which it tells to owners; two nodes that ask each other would keep up what they were told. All without it. */
  readonly known?: LimitSource
  /** Of the halls that this node owns the quotas of. */
  readonly owner: QuotaOwner
  readonly links: CoordinatorLinks
  /** Where the owner of a hall's quotas is reached; undefined where that is this node. */
  readonly findOwner: (hall: string) => string | undefined
  readonly countNodes: () => number
}

/** A node in another hall answers within a few milliseconds. */
const ANSWER_TIMEOUT_MS = 150
const UNREACHABLE: QuotaGrant = { isGranted: false, retryInMs: 200 }
/** What was denied may be asked for again after this, since limits change. */
const MAX_DENIED_MS = 1000

export class QuotaService extends Disposable implements IQuotaService {
  private readonly _options: QuotaServiceOptions
  private readonly _deniedUntil = new Map<string, number>()
  private readonly _waiting = new Map<number, (grant: QuotaGrant) => void>()
  private readonly _returns = new ReturnSchedule()
  private _nextId = 1

  constructor (options: QuotaServiceOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._forget(entry.id) }))
    this._register(options.links.onDidOpen(link => {
      link.onDidAnswerQuota(({ id, ...grant }) => this._settle(id, grant))
    }))
  }

  isLimited (entry: UpstreamEntry): boolean {
    return this._options.limits.find(entry) !== undefined
  }

  getWaitMs (entry: UpstreamEntry): number {
    return this.isLimited(entry) ? Math.max(0, (this._deniedUntil.get(entry.id) ?? 0) - this._options.clock.now()) : 0
  }

  async acquire (entry: UpstreamEntry, request: string): Promise<boolean> {
    if (!this.isLimited(entry)) return true
    if (this.getWaitMs(entry) > 0) return false
    const address = this._options.findOwner(entry.hall)
    const grant = address === undefined ? this._options.owner.acquire(entry) : await this._ask(address, entry)
    const { isGranted, retryInMs } = grant
    if (!isGranted) this._deniedUntil.set(entry.id, this._options.clock.now() + Math.min(retryInMs, MAX_DENIED_MS))
    this._options.log.info('quota_asked', { request, upstream: entry.id, owner: address ?? 'own', granted: isGranted, per_s: this._options.limits.find(entry)?.perS ?? 'none', retry_in_ms: Math.round(Math.min(retryInMs, MAX_DENIED_MS)) })
    return isGranted
  }

  scheduleReturn (role: string, entries: readonly UpstreamEntry[]): number {
    const { clock, limits, countNodes } = this._options
    const now = clock.now()
    const soonestMs = Math.min(MAX_DENIED_MS, ...entries.map(entry => this.getWaitMs(entry)))
    const found = entries.map(entry => limits.find(entry))
    const perS = found.reduce((sum, limit) => sum + (limit?.perS ?? 0), 0) / countNodes()
    const endsInMs = Math.min(...found.map(limit => limit?.until === undefined ? Infinity : limit.until - now))
    return this._returns.schedule({ role, soonestMs, perS, endsInMs }, now)
  }

  /** A link that has to be opened first takes none of the time of an answer: the request may go elsewhere. */
  private _ask (address: string, entry: UpstreamEntry): Promise<QuotaGrant> {
    const id = this._nextId++
    return new Promise(resolve => {
      const timer = this._options.clock.schedule(ANSWER_TIMEOUT_MS, () => this._settle(id, UNREACHABLE))
      this._waiting.set(id, grant => {
        timer.dispose()
        resolve(grant)
      })
      void this._sendQuestion(address, id, entry)
    })
  }

  private async _sendQuestion (address: string, id: number, entry: UpstreamEntry): Promise<void> {
    const link = await this._options.links.connect(address)
    if (link === undefined || link.isClosed) this._settle(id, UNREACHABLE)
    else if (this._waiting.has(id)) link.askQuota(id, entry.id, this._findTold(entry))
  }

  private _findTold (entry: UpstreamEntry): ToldLimit | undefined {
    const { limits, known = limits } = this._options
    const limit = known.find(entry)
    return limit === undefined ? undefined : { perS: limit.perS, burst: limit.burst }
  }

  /** A grant that comes too late is not used. */
  private _settle (id: number, grant: QuotaGrant): void {
    const settle = this._waiting.get(id)
    this._waiting.delete(id)
    settle?.(grant)
  }

  private _forget (upstream: string): void {
    this._deniedUntil.delete(upstream)
    this._options.owner.drop(upstream)
  }
}
