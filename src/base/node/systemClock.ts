/**
 * The process's monotonic clock. It continues while the process is stopped, so that pauses can be detected. It does not
 * count the time during which the machine is suspended; that time is added once it is known.
 */
import { performance } from 'node:perf_hooks'
import type { ISuspendableClock } from '../common/clock.ts'
import type { IDisposable } from '../common/disposable.ts'

/** The maximum of setTimeout; longer delays would fire at once. */
export const MAX_DELAY_MS = 2 ** 31 - 1

/** Runs a function at a given time of the clock, with a timer of the operating system. */
class SystemTimer implements IDisposable {
  private _timeout: NodeJS.Timeout | undefined

  constructor (private readonly _at: number, private readonly _run: () => void) {}

  start (now: number): void {
    clearTimeout(this._timeout)
    this._timeout = setTimeout(this._run, Math.min(Math.max(0, this._at - now), MAX_DELAY_MS))
  }

  dispose (): void {
    clearTimeout(this._timeout)
  }
}

export class SystemClock implements ISuspendableClock {
  private readonly _timers = new Set<SystemTimer>()
  private _suspendedMs = 0

  now (): number {
    return performance.now() + this._suspendedMs
  }

  schedule (delayMs: number, run: () => void): IDisposable {
    const now = this.now()
    const timer = new SystemTimer(now + delayMs, () => {
      this._timers.delete(timer)
      run()
    })
    this._timers.add(timer)
    timer.start(now)
    return {
      dispose: () => {
        this._timers.delete(timer)
        timer.dispose()
      }
    }
  }

  addSuspendedTime (ms: number): void {
    this._suspendedMs += ms
    // Timers of the operating system do not count the suspended time either, so they are restarted.
    const now = this.now()
    for (const timer of this._timers) timer.start(now)
  }
}
