/**
 * A retry budget for a fleet that limits the retries within any sliding window. Each node may use its share all at once, so
 * that runs that are lost together can be retried together, before their deadlines pass.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { SlidingWindowCounter } from '../../../base/common/slidingWindowCounter.ts'
import { RetryPolicy } from './retryPolicy.ts'

export interface WindowedRetryBudgetOptions {
  readonly clock: IClock
  readonly windowMs: number
  /** Retries allowed for each first attempt within the window. */
  readonly retryRatio: number
  /** Returns this node's share of the retries that are allowed in a window regardless of the number of first attempts. */
  readonly getBaseRetries: () => number
}

/** First attempts are counted by slices of the window; a slice that is only partly within the window does not count. */
const SLICES_PER_WINDOW = 20

export class WindowedRetryBudget extends RetryPolicy {
  private readonly _options: WindowedRetryBudgetOptions
  /** The number of first attempts by role and index of the slice. */
  private readonly _firstAttempts = new Map<string, Map<number, number>>()
  private readonly _retries: SlidingWindowCounter

  constructor (options: WindowedRetryBudgetOptions) {
    super()
    this._options = options
    this._retries = new SlidingWindowCounter(options.windowMs)
  }

  recordFirstAttempt (role: string): void {
    const attempts = this._getFirstAttempts(role)
    const slice = this._computeSlice()
    attempts.set(slice, (attempts.get(slice) ?? 0) + 1)
    for (const oldSlice of attempts.keys()) if (oldSlice <= slice - SLICES_PER_WINDOW) attempts.delete(oldSlice)
  }

  tryAcquireRetry (role: string): boolean {
    const { clock, retryRatio, getBaseRetries } = this._options
    const now = clock.now()
    if (this._retries.count(role, now) + 1 > getBaseRetries() + retryRatio * this._countFirstAttempts(role)) return false
    this._retries.add(role, now)
    return true
  }

  private _countFirstAttempts (role: string): number {
    const oldestSlice = this._computeSlice() - SLICES_PER_WINDOW
    let count = 0
    for (const [slice, attemptsInSlice] of this._getFirstAttempts(role)) if (slice > oldestSlice) count += attemptsInSlice
    return count
  }

  private _computeSlice (): number {
    const { clock, windowMs } = this._options
    return Math.floor(clock.now() * SLICES_PER_WINDOW / windowMs)
  }

  private _getFirstAttempts (role: string): Map<number, number> {
    let attempts = this._firstAttempts.get(role)
    if (attempts === undefined) {
      attempts = new Map()
      this._firstAttempts.set(role, attempts)
    }
    return attempts
  }
}
