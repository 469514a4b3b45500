/**
 * The process's monotonic clock. It goes on while the process is stopped, so a pause can be seen.
 */
import { performance } from 'node:perf_hooks'
import type { IClock } from '../common/clock.ts'

export class SystemClock implements IClock {
  now (): number {
    return performance.now()
  }
}
