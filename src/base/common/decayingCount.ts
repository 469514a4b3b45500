/**
 * A count that forgets: each item fades with an exponential memory, so the value follows the rate of the last while.
 */
import type { IClock } from './clock.ts'

export class DecayingCount {
  private _value = 0
  private _at = 0

  constructor (private readonly _clock: IClock, private readonly _memoryMs: number) {}

  add (amount: number): void {
    this._value = this.value + amount
    this._at = this._clock.now()
  }

  get value (): number {
    return this._value * Math.exp((this._at - this._clock.now()) / this._memoryMs)
  }
}
