/**
 * A retry budget for a fleet that limits the retries within any sliding window. Each node may use its share all at once, so
 * that runs that are lost together can be retried together, before their deadlines pass.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { SlicedWindowSum } from '../../../base/common/slicedWindowSum.ts'
import { SlidingWindowCounter } from '../../../base/common/slidingWindowCounter.ts'
import { RetryPermit, RetryPolicy } from './retryPolicy.ts'
import type { RetryDecision, RetryShare } from './retryPolicy.ts'

export interface WindowedRetryBudgetOptions {
  readonly clock: IClock
  readonly windowMs: number
  /** Retries allowed for each first attempt within the window. */
  readonly retryRatio: number
  readonly getShare: () => RetryShare
}

/**
 * The fraction of the ratio that first attempts earn in excess of those in the window before. Their callers may have come from
 * a node, or from an earlier process at this address, whose retries still count. If that is so for all of them, the nodes
 * earn 1.25 times the ratio.
 */
const ADDED_EARNING_FACTOR = 0.25

export class WindowedRetryBudget extends RetryPolicy {
  private readonly _options: WindowedRetryBudgetOptions
  private readonly _firstAttempts: SlicedWindowSum
  private readonly _retries: SlidingWindowCounter
  /** Retries by role that were granted and may still arrive. Each counts until it has arrived, since only then its window begins. */
  private readonly _openCounts = new Map<string, number>()
  private _grantedCount = 0
  private _refusedCount = 0

  constructor (options: WindowedRetryBudgetOptions) {
    super()
    this._options = options
    this._firstAttempts = new SlicedWindowSum(options.windowMs, 1)
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
    this._firstAttempts.add(role, 1, this._options.clock.now())
  }

  acquireRetry (role: string): RetryDecision {
    const { clock, getShare } = this._options
    const now = clock.now()
    const share = getShare()
    const openCount = this._getOpenCount(role)
    const usedCount = this._retries.count(role, now) + openCount
    const allowedCount = share.baseRetries + this._computeEarned(role, now)
    if (usedCount + 1 > allowedCount) {
      this._refusedCount++
      return { permit: undefined, usedCount, openCount, allowedCount, share }
    }
    this._grantedCount++
    this._openCounts.set(role, openCount + 1)
    const permit = new RetryPermit(isSent => {
      this._openCounts.set(role, this._getOpenCount(role) - 1)
      if (isSent) this._retries.add(role, clock.now())
    })
    return { permit, usedCount, openCount, allowedCount, share }
  }

  /** Returns the retries that the first attempts within the window allow. */
  private _computeEarned (role: string, now: number): number {
    const count = this._firstAttempts.sum(role, now)
    const usualCount = Math.min(count, this._firstAttempts.sum(role, now, 1))
    return this._options.retryRatio * (usualCount + ADDED_EARNING_FACTOR * (count - usualCount))
  }

  private _getOpenCount (role: string): number {
    return this._openCounts.get(role) ?? 0
  }
}
