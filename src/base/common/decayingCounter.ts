/**
 * A count with exponential decay: its value is proportional to the recent rate of additions. The time constant is in
 * milliseconds.
 */
import type { IClock } from './clock.ts'

export class DecayingCounter {
  private _value = 0
  private _updatedAt = 0

  constructor (private readonly _clock: IClock, private readonly _timeConstantMs: number) {}

  add (amount: number): void {
    this._value = this.value + amount
    this._updatedAt = this._clock.now()
  }

  get value (): number {
    return this._value * Math.exp((this._updatedAt - this._clock.now()) / this._timeConstantMs)
  }
}
