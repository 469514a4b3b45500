/**
 * Time as the system sees it: a clock of this process that only grows, and timers on it.
 */
import { toDisposable } from './disposable.ts'
import type { IDisposable } from './disposable.ts'

/** A monotonic clock. Wall time is used to notice that the machine may have been suspended, and for no other decision. */
export interface IClock {
  /** Milliseconds since some moment of this process. */
  now (): number
  /** Runs a function once after some milliseconds, unless the result is disposed of before. */
  schedule (delayMs: number, run: () => void): IDisposable
}

/** A clock that can be told of time that it left out. */
export interface ISuspendableClock extends IClock {
  /** The machine was suspended for so long: what was scheduled comes due by so much earlier. */
  addSuspended (ms: number): void
}

interface Timer {
  readonly at: number
  readonly run: () => void
}

/** A clock that tests move by hand. */
export class VirtualClock implements ISuspendableClock {
  private _now: number
  private readonly _timers = new Set<Timer>()

  constructor (startMs = 0) {
    this._now = startMs
  }

  now (): number {
    return this._now
  }

  schedule (delayMs: number, run: () => void): IDisposable {
    const timer: Timer = { at: this._now + Math.max(0, delayMs), run }
    this._timers.add(timer)
    return toDisposable(() => { this._timers.delete(timer) })
  }

  /** Moves on, running the timers that come due, in their order. */
  advance (ms: number): void {
    const until = this._now + ms
    for (let timer = this._findNext(until); timer !== undefined; timer = this._findNext(until)) {
      this._timers.delete(timer)
      this._now = Math.max(this._now, timer.at)
      timer.run()
    }
    this._now = until
  }

  addSuspended (ms: number): void {
    this.advance(ms)
  }

  private _findNext (until: number): Timer | undefined {
    let next: Timer | undefined
    for (const timer of this._timers) if (timer.at <= until && (next === undefined || timer.at < next.at)) next = timer
    return next
  }
}
