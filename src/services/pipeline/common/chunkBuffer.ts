/**
 * Gathers text into chunks: the first text goes at once, what follows closely goes together. Each chunk costs the gate,
 * the network and the caller much more than its text.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'

export class ChunkBuffer {
  private _waiting = ''
  private _sentAt = -Infinity
  private _timer: IDisposable | undefined

  constructor (private readonly _clock: IClock, private readonly _intervalMs: number, private readonly _onChunk: (text: string) => void) {}

  add (text: string): void {
    this._waiting += text
    const waitMs = this._sentAt + this._intervalMs - this._clock.now()
    if (waitMs <= 0) this.flush()
    else this._timer ??= this._clock.schedule(waitMs, () => this.flush())
  }

  /** Sends what waits now. */
  flush (): void {
    this._timer?.dispose()
    this._timer = undefined
    if (this._waiting === '') return
    const text = this._waiting
    this._waiting = ''
    this._sentAt = this._clock.now()
    this._onChunk(text)
  }
}
