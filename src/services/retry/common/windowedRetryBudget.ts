/**
 * A retry budget for a fleet that limits the retries within any sliding window. Each node may use its share all at once, so
 * that runs that are lost together can be retried together, before their deadlines pass.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { SlicedWindowSum } from '../../../base/common/slicedWindowSum.ts'
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

export class WindowedRetryBudget extends RetryPolicy {
  private readonly _options: WindowedRetryBudgetOptions
  private readonly _firstAttempts: SlicedWindowSum
  private readonly _earnedRetries: SlicedWindowSum
  private readonly _retries: SlidingWindowCounter
  /** First attempts in a window by role, when the fleet was last stable. */
  private readonly _usualFirstAttempts = new Map<string, number>()
  private _grantedCount = 0
  private _refusedCount = 0

  constructor (options: WindowedRetryBudgetOptions) {
    super()
    this._options = options
    this._firstAttempts = new SlicedWindowSum(options.windowMs)
    this._earnedRetries = new SlicedWindowSum(options.windowMs)
    this._retries = new SlidingWindowCounter(options.windowMs)
  }

  /** Retries since the process start that the budget refused, of all roles. */
  get refusedCount (): number {
    return this._refusedCount
  }

  /** Retries since the process start that it granted. */
  get grantedCount (): number {
    return this._grantedCount
  }

  recordFirstAttempt (role: string): void {
    const { clock, retryRatio, getShare } = this._options
    const now = clock.now()
    const { isFleetStable, earningFactor, addedEarningFactor } = getShare()
    this._firstAttempts.add(role, 1, now)
    const count = this._firstAttempts.sum(role, now)
    if (isFleetStable) this._usualFirstAttempts.set(role, count)
    const isUsual = count <= (this._usualFirstAttempts.get(role) ?? 0)
    this._earnedRetries.add(role, retryRatio * (isUsual ? earningFactor : addedEarningFactor), now)
  }

  acquireRetry (role: string): RetryDecision {
    const { clock, getShare } = this._options
    const now = clock.now()
    const usedCount = this._retries.count(role, now)
    const share = getShare()
    const allowedCount = share.baseRetries + this._earnedRetries.sum(role, now)
    const isGranted = usedCount + 1 <= allowedCount
    if (isGranted) {
      this._retries.add(role, now)
      this._grantedCount++
    } else {
      this._refusedCount++
    }
    return { isGranted, usedCount, allowedCount, share }
  }
}
