/**
 * Stops this node from sending to upstreams that requested a backoff from it. The state is not shared between nodes: an
 * upstream that refuses the requests of one node may accept those of another.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { IBackoffService } from '../common/backoff.ts'
import { BackoffTable } from '../common/backoffTable.ts'
import type { KnownBackoff } from '../common/backoffTable.ts'
import { StaggeredRetryAfter } from '../common/staggeredRetryAfter.ts'

export interface BackoffServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
}

export class BackoffService extends Disposable implements IBackoffService {
  private readonly _options: BackoffServiceOptions
  private readonly _table = new BackoffTable()
  private readonly _retryAfters = new StaggeredRetryAfter()

  constructor (options: BackoffServiceOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._table.forget(entry.id) }))
  }

  /** Records that nothing must be sent to an upstream for some time, starting now; `source` is logged. */
  recordBackoff (upstream: string, forMs: number, source = 'asked'): void {
    const { clock, log, registry } = this._options
    if (forMs <= 0 || registry.get(upstream) === undefined) return
    const now = clock.now()
    const leftBeforeMs = this._table.getWaitMs(upstream, now)
    this._table.record(upstream, forMs, now)
    log.info('backoff_asked', { upstream, for_ms: Math.round(forMs), left_before_ms: Math.round(leftBeforeMs), source })
  }

  get isEmpty (): boolean {
    return this._table.isEmpty
  }

  getWaitMs (upstream: string): number {
    return this._table.getWaitMs(upstream, this._options.clock.now())
  }

  beginSend (upstream: string): boolean {
    const kind = this._table.beginSend(upstream, this._options.clock.now())
    if (kind === 'trial') this._options.log.info('backoff_trial', { upstream })
    return kind !== 'denied'
  }

  recordSendResult (upstream: string, sentAt: number, isAccepted: boolean): void {
    if (this._table.recordSendResult(upstream, sentAt, isAccepted)) this._options.log.info('backoff_ended', { upstream })
  }

  scheduleRetryAfter (role: string, entries: readonly UpstreamEntry[]): number {
    const earliestMs = Math.min(...entries.map(({ id }) => this.getWaitMs(id)))
    return this._retryAfters.schedule(role, earliestMs, this._options.clock.now())
  }

  /** Ends all backoffs after a pause of this process, since the state is outdated. */
  expireBackoffs (): void {
    this._table.expireAll(this._options.clock.now())
  }

  list (): readonly KnownBackoff[] {
    return this._table.list(this._options.clock.now())
  }
}
