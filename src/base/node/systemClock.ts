/**
 * The process's monotonic clock. It goes on while the process is stopped, so a pause can be seen.
 */
import { performance } from 'node:perf_hooks'
import type { IClock } from '../common/clock.ts'
import { toDisposable } from '../common/disposable.ts'
import type { IDisposable } from '../common/disposable.ts'

export class SystemClock implements IClock {
  now (): number {
    return performance.now()
  }

  schedule (delayMs: number, run: () => void): IDisposable {
    const timer = setTimeout(run, delayMs)
    return toDisposable(() => clearTimeout(timer))
  }
}
