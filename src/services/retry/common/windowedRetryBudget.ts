/**
 * A retry budget for a fleet that limits the retries within any sliding window. Each node may use its share all at once, so
 * that runs that are lost together can be retried together, before their deadlines pass.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { SlidingWindowCounter } from '../../../base/common/slidingWindowCounter.ts'
import { RetryPolicy } from './retryPolicy.ts'
import type { RetryDecision, RetryShare } from './retryPolicy.ts'

export interface WindowedRetryBudgetOptions {
  readonly clock: IClock
  readonly windowMs: number
  /** Retries allowed for each first attempt within the window. */
  readonly retryRatio: number
  readonly getShare: () => RetryShare
}

/** Earned retries are summed by slices of the window; a slice that is only partly within the window does not count. */
const SLICES_PER_WINDOW = 20

export class WindowedRetryBudget extends RetryPolicy {
  private readonly _options: WindowedRetryBudgetOptions
  /** Earned retries by role and index of the slice. */
  private readonly _earnedRetries = new Map<string, Map<number, number>>()
  private readonly _retries: SlidingWindowCounter
  private _grantedCount = 0
  private _refusedCount = 0

  constructor (options: WindowedRetryBudgetOptions) {
    super()
    this._options = options
    this._retries = new SlidingWindowCounter(options.windowMs)
  }

  recordFirstAttempt (role: string): void {
    const { retryRatio, getShare } = this._options
    const earned = this._getEarnedRetries(role)
    const slice = this._computeSlice()
    earned.set(slice, (earned.get(slice) ?? 0) + retryRatio * getShare().earningFactor)
    for (const oldSlice of earned.keys()) if (oldSlice <= slice - SLICES_PER_WINDOW) earned.delete(oldSlice)
  }

  /** Retries since the process start that the budget refused, of all roles. */
  get refusedCount (): number {
    return this._refusedCount
  }

  /** Retries since the process start that it granted. */
  get grantedCount (): number {
    return this._grantedCount
  }

  acquireRetry (role: string): RetryDecision {
    const { clock, getShare } = this._options
    const now = clock.now()
    const usedCount = this._retries.count(role, now)
    const share = getShare()
    const allowedCount = share.baseRetries + this._sumEarnedRetries(role)
    const isGranted = usedCount + 1 <= allowedCount
    if (isGranted) {
      this._retries.add(role, now)
      this._grantedCount++
    } else {
      this._refusedCount++
    }
    return { isGranted, usedCount, allowedCount, share }
  }

  private _sumEarnedRetries (role: string): number {
    const oldestSlice = this._computeSlice() - SLICES_PER_WINDOW
    let sum = 0
    for (const [slice, earned] of this._getEarnedRetries(role)) if (slice > oldestSlice) sum += earned
    return sum
  }

  private _computeSlice (): number {
    const { clock, windowMs } = this._options
    return Math.floor(clock.now() * SLICES_PER_WINDOW / windowMs)
  }

  private _getEarnedRetries (role: string): Map<number, number> {
    let earned = this._earnedRetries.get(role)
    if (earned === undefined) {
      earned = new Map()
      this._earnedRetries.set(role, earned)
    }
    return earned
  }
}
