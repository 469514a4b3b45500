/**
 * Decorates calls to upstreams that compute pieces: respects the backoffs that the upstreams request.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOptions } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../../preparation/common/plannedCall.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { IBackoffService } from '../common/backoff.ts'

/** Results that will be freed in one call when their upstream's backoff has ended. */
class DelayedFree {
  readonly handles: string[] = []

  constructor (readonly completion: Promise<boolean>) {}
}

/** Results that were not freed by then have been removed by the upstream itself. */
const MAX_FREE_DELAY_MS = 10_000

export class BackoffPieceCalls extends PieceProtocol {
  private readonly _delayedFrees = new Map<string, DelayedFree>()

  constructor (private readonly _inner: PieceProtocol, private readonly _backoffs: IBackoffService, private readonly _clock: IClock) {
    super()
    _inner.onDidReceiveStatement(batch => this._onDidReceiveStatement.fire(batch))
  }

  async runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], options: PieceCallOptions): Promise<PieceCallOutcome> {
    const waitMs = this._backoffs.getWaitMs(upstream.id)
    if (waitMs > 0) return { kind: 'notRun', reason: 'backingOff', retryInMs: waitMs }
    let sentAt: number | undefined
    const outcome = await this._inner.runPieces(upstream, pieces, {
      ...options,
      onWillSend: () => {
        if (options.onWillSend?.() === false) return false
        sentAt = this._clock.now()
        return true
      }
    })
    if (sentAt !== undefined) this._backoffs.recordSendResult(upstream.id, sentAt, outcome.kind === 'answered')
    const leftMs = this._backoffs.getWaitMs(upstream.id)
    return outcome.kind === 'notRun' && leftMs > 0 ? { kind: 'notRun', reason: 'backingOff', retryInMs: leftMs } : outcome
  }

  /** During a backoff, the results are freed after it, together with all others of the same upstream. */
  async freeResults (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    const delayed = this._delayedFrees.get(upstream.id)
    if (delayed !== undefined) {
      delayed.handles.push(...handles)
      return await delayed.completion
    }
    const waitMs = this._backoffs.getWaitMs(upstream.id)
    if (waitMs === 0) return await this._freeNow(upstream, handles)
    if (waitMs > MAX_FREE_DELAY_MS) return false
    return await this._delayFree(upstream, handles)
  }

  private async _delayFree (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    const delayed: DelayedFree = new DelayedFree(this._waitForBackoffEnd(upstream).then(hasEnded => {
      this._delayedFrees.delete(upstream.id)
      return hasEnded && this._freeNow(upstream, delayed.handles)
    }))
    delayed.handles.push(...handles)
    this._delayedFrees.set(upstream.id, delayed)
    return await delayed.completion
  }

  /** Resolves to false if the backoff is too long, also when it was prolonged in the meantime. */
  private async _waitForBackoffEnd ({ id }: UpstreamEntry): Promise<boolean> {
    const giveUpAt = this._clock.now() + MAX_FREE_DELAY_MS
    for (let waitMs = this._backoffs.getWaitMs(id); waitMs > 0; waitMs = this._backoffs.getWaitMs(id)) {
      if (this._clock.now() + waitMs > giveUpAt) return false
      await new Promise<void>(resolve => { this._clock.schedule(waitMs, resolve) })
    }
    return true
  }

  private async _freeNow (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    let sentAt: number | undefined
    const isFreed = await this._inner.freeResults(upstream, handles, {
      onWillSend: () => {
        if (!this._backoffs.beginSend(upstream.id)) return false
        sentAt = this._clock.now()
        return true
      }
    })
    if (sentAt !== undefined) this._backoffs.recordSendResult(upstream.id, sentAt, isFreed)
    return isFreed
  }
}
