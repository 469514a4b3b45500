/**
 * Batches text into chunks: text is sent immediately if no chunk was sent within the last interval; otherwise it is
 * collected until the interval has elapsed. The fixed cost of a chunk for the gate, the network and the caller is much
 * higher than the cost of its text.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'

export class ChunkBuffer {
  private _pendingText = ''
  private _lastSentAt = -Infinity
  private _timer: IDisposable | undefined

  constructor (private readonly _clock: IClock, private readonly _intervalMs: number, private readonly _onChunk: (text: string) => void) {}

  add (text: string): void {
    this._pendingText += text
    const waitMs = this._lastSentAt + this._intervalMs - this._clock.now()
    if (waitMs <= 0) this.flush()
    else this._timer ??= this._clock.schedule(waitMs, () => this.flush())
  }

  /** Sends the pending text immediately. */
  flush (): void {
    this._timer?.dispose()
    this._timer = undefined
    if (this._pendingText === '') return
    const text = this._pendingText
    this._pendingText = ''
    this._lastSentAt = this._clock.now()
    this._onChunk(text)
  }
}
