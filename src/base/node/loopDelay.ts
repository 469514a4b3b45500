/**
 * Measures the delay of the event loop, which bounds how long received bytes have waited to be read. Uses the shared timer of
 * `startInterval`, so it causes no wake-ups of its own.
 */
import { Disposable } from '../common/disposable.ts'
import type { IClock } from '../common/clock.ts'
import { startInterval } from './interval.ts'

const PERIOD_MS = 50
/** `startInterval` skips a whole period if its timer fires slightly early, so shorter delays cannot be recognized. */
const TOLERANCE_MS = PERIOD_MS + 10

export class LoopDelay extends Disposable {
  private _checkedAt: number
  private _delayMs = 0

  constructor (private readonly _clock: IClock) {
    super()
    this._checkedAt = _clock.now()
    this._register(startInterval(PERIOD_MS, () => this._check()))
  }

  /** The longest time for which bytes that are read in this iteration of the event loop may have waited, in milliseconds. */
  get delayMs (): number {
    return this._delayMs
  }

  private _check (): void {
    const now = this._clock.now()
    const lateMs = now - this._checkedAt - PERIOD_MS
    this._checkedAt = now
    if (lateMs < TOLERANCE_MS) return
    this._delayMs = lateMs
    // Runs after the loop has read what had arrived by now. Bytes that it reads later have arrived since.
    setImmediate(() => { this._delayMs = 0 })
  }
}
