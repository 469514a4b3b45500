/**
 * Calls to upstreams that make pieces, with respect for the pauses that these ask for.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallTerms } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../../preparation/common/plannedCall.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { IBackoffService } from '../common/backoff.ts'

/** Results that are given back as soon as their upstream takes calls again. */
class DelayedFree {
  readonly handles: string[] = []

  constructor (readonly done: Promise<boolean>) {}
}

/** After this, what was not given back has gone by itself. */
const MAX_FREE_DELAY_MS = 10_000

export class BackoffPieces extends PieceProtocol {
  private readonly _frees = new Map<string, DelayedFree>()

  constructor (private readonly _pieces: PieceProtocol, private readonly _backoffs: IBackoffService, private readonly _clock: IClock) {
    super()
    _pieces.onDidState(stated => this._onDidState.fire(stated))
  }

  async runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], terms: PieceCallTerms): Promise<PieceCallOutcome> {
    const waitMs = this._backoffs.getWaitMs(upstream.id)
    if (waitMs > 0) return { kind: 'notRun', reason: 'backingOff', retryInMs: waitMs }
    let sentAt: number | undefined
    const outcome = await this._pieces.runPieces(upstream, pieces, {
      ...terms,
      onWillSend: () => {
        if (terms.onWillSend?.() === false) return false
        sentAt = this._clock.now()
        return true
      }
    })
    if (sentAt !== undefined) this._backoffs.settleSend(upstream.id, sentAt, outcome.kind === 'answered')
    const leftMs = this._backoffs.getWaitMs(upstream.id)
    return outcome.kind === 'notRun' && leftMs > 0 ? { kind: 'notRun', reason: 'backingOff', retryInMs: leftMs } : outcome
  }

  /** Together with all that is to be given back there by then. */
  async freeResults (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    const delayed = this._frees.get(upstream.id)
    if (delayed !== undefined) {
      delayed.handles.push(...handles)
      return await delayed.done
    }
    const waitMs = this._backoffs.getWaitMs(upstream.id)
    if (waitMs === 0) return await this._freeNow(upstream, handles)
    if (waitMs > MAX_FREE_DELAY_MS) return false
    return await this._delayFree(upstream, handles)
  }

  private async _delayFree (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    const delayed: DelayedFree = new DelayedFree(this._waitForEnd(upstream).then(isOver => {
      this._frees.delete(upstream.id)
      return isOver && this._freeNow(upstream, delayed.handles)
    }))
    delayed.handles.push(...handles)
    this._frees.set(upstream.id, delayed)
    return await delayed.done
  }

  /** False where the pause became too long. */
  private async _waitForEnd ({ id }: UpstreamEntry): Promise<boolean> {
    const until = this._clock.now() + MAX_FREE_DELAY_MS
    for (let waitMs = this._backoffs.getWaitMs(id); waitMs > 0; waitMs = this._backoffs.getWaitMs(id)) {
      if (this._clock.now() + waitMs > until) return false
      await new Promise<void>(resolve => { this._clock.schedule(waitMs, resolve) })
    }
    return true
  }

  private async _freeNow (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    let sentAt: number | undefined
    const isDone = await this._pieces.freeResults(upstream, handles, {
      onWillSend: () => {
        if (!this._backoffs.beginSend(upstream.id)) return false
        sentAt = this._clock.now()
        return true
      }
    })
    if (sentAt !== undefined) this._backoffs.settleSend(upstream.id, sentAt, isDone)
    return isDone
  }
}
