/**
 * Keeps this node away from upstreams that asked it for a pause. Each node keeps its own: an upstream that turns one node
 * away may take the requests of another.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { IBackoffService } from '../common/backoff.ts'
import { BackoffBook } from '../common/backoffBook.ts'
import type { KnownBackoff } from '../common/backoffBook.ts'
import { ReturnSpread } from '../common/returnSpread.ts'

export interface BackoffServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
}

export class BackoffService extends Disposable implements IBackoffService {
  private readonly _options: BackoffServiceOptions
  private readonly _book = new BackoffBook()
  private readonly _returns = new ReturnSpread()

  constructor (options: BackoffServiceOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._book.forget(entry.id) }))
  }

  /** Takes in that an upstream wants nothing from this node for so long, from now. */
  note (upstream: string, forMs: number): void {
    const { clock, log, registry } = this._options
    if (forMs <= 0 || registry.get(upstream) === undefined) return
    const now = clock.now()
    const leftBeforeMs = this._book.getWaitMs(upstream, now)
    this._book.note(upstream, forMs, now)
    log.info('backoff_asked', { upstream, for_ms: Math.round(forMs), left_before_ms: Math.round(leftBeforeMs) })
  }

  get isEmpty (): boolean {
    return this._book.isEmpty
  }

  getWaitMs (upstream: string): number {
    return this._book.getWaitMs(upstream, this._options.clock.now())
  }

  beginSend (upstream: string): boolean {
    const kind = this._book.beginSend(upstream, this._options.clock.now())
    if (kind === 'trial') this._options.log.info('backoff_trial', { upstream })
    return kind !== 'denied'
  }

  settleSend (upstream: string, sentAt: number, isTaken: boolean): void {
    if (this._book.settleSend(upstream, sentAt, isTaken)) this._options.log.info('backoff_ended', { upstream })
  }

  scheduleReturn (role: string, entries: readonly UpstreamEntry[]): number {
    const soonestMs = Math.min(...entries.map(({ id }) => this.getWaitMs(id)))
    return this._returns.schedule(role, soonestMs, this._options.clock.now())
  }

  /** What is known is from before a pause of this process. */
  expire (): void {
    this._book.expire(this._options.clock.now())
  }

  list (): readonly KnownBackoff[] {
    return this._book.list(this._options.clock.now())
  }
}
