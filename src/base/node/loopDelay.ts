/**
 * Measures how late the event loop is, so that the time for which bytes have waited to be read is known. It uses the shared wake-ups
 * of `startInterval` and needs none of its own.
 */
import { Disposable } from '../common/disposable.ts'
import type { IClock } from '../common/clock.ts'
import { startInterval } from './interval.ts'

const PERIOD_MS = 50
/** A check may be left out if its wake-up comes slightly early. */
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
