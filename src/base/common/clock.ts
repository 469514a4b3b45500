/**
 * Time as the decisions see it: a clock of this process that only grows.
 */

/** A monotonic clock. Wall time is never used for decisions. */
export interface IClock {
  /** Milliseconds since some moment of this process. */
  now (): number
}

/** A clock that tests move by hand. */
export class VirtualClock implements IClock {
  private _now: number

  constructor (startMs = 0) {
    this._now = startMs
  }

  now (): number {
    return this._now
  }

  advance (ms: number): void {
    this._now += ms
  }
}
