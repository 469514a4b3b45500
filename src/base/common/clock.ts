/**
 * Monotonic clocks of the process, with timers.
 */
import { toDisposable } from './disposable.ts'
import type { IDisposable } from './disposable.ts'

/** A monotonic clock. Wall-clock time is used only to detect that the machine may have been suspended. */
export interface IClock {
  /** Milliseconds since an arbitrary time in this process. */
  now (): number
  /** Runs a function once after the delay, unless the result is disposed of before. */
  schedule (delayMs: number, run: () => void): IDisposable
}

/** A clock to which time that it did not count while the machine was suspended can be added. */
export interface ISuspendableClock extends IClock {
  /** Adds the time for which the machine was suspended; scheduled functions run that much earlier. */
  addSuspendedTime (ms: number): void
}

interface Timer {
  readonly at: number
  readonly run: () => void
}

/** A clock for tests that advances only when `advance` is called. */
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

  /** Advances the time and runs the timers that are due, in the order of their time. */
  advance (ms: number): void {
    const until = this._now + ms
    for (let timer = this._findNext(until); timer !== undefined; timer = this._findNext(until)) {
      this._timers.delete(timer)
      this._now = Math.max(this._now, timer.at)
      timer.run()
    }
    this._now = until
  }

  addSuspendedTime (ms: number): void {
    this.advance(ms)
  }

  private _findNext (until: number): Timer | undefined {
    let next: Timer | undefined
    for (const timer of this._timers) if (timer.at <= until && (next === undefined || timer.at < next.at)) next = timer
    return next
  }
}
