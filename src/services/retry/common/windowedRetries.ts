/**
 * Retries of a fleet that may make so many in any window of time. Each node may spend its part of them at once: what is
 * lost together is tried again together, when it still helps.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { SlidingCount } from '../../../base/common/slidingCount.ts'
import { RetryPolicy } from './retryPolicy.ts'

export interface WindowedRetriesOptions {
  readonly clock: IClock
  readonly windowMs: number
  /** Retries for one first attempt of the window. */
  readonly share: number
  /** Retries in a window that need no first attempts; this node's part of them. */
  readonly getSpare: () => number
}

/** First attempts are counted in so many parts of a window; one that is not wholly within the window does not count. */
const PARTS = 20

export class WindowedRetries extends RetryPolicy {
  private readonly _options: WindowedRetriesOptions
  /** First attempts of each role, by number of the part of a window. */
  private readonly _firsts = new Map<string, Map<number, number>>()
  private readonly _retries: SlidingCount

  constructor (options: WindowedRetriesOptions) {
    super()
    this._options = options
    this._retries = new SlidingCount(options.windowMs)
  }

  recordFirstAttempt (role: string): void {
    const firsts = this._getFirsts(role)
    const part = this._computePart()
    firsts.set(part, (firsts.get(part) ?? 0) + 1)
    for (const old of firsts.keys()) if (old <= part - PARTS) firsts.delete(old)
  }

  takeRetry (role: string): boolean {
    const { clock, share, getSpare } = this._options
    const now = clock.now()
    if (this._retries.count(role, now) + 1 > getSpare() + share * this._countFirsts(role)) return false
    this._retries.add(role, now)
    return true
  }

  private _countFirsts (role: string): number {
    const oldest = this._computePart() - PARTS
    let count = 0
    for (const [part, firstsOfPart] of this._getFirsts(role)) if (part > oldest) count += firstsOfPart
    return count
  }

  private _computePart (): number {
    const { clock, windowMs } = this._options
    return Math.floor(clock.now() * PARTS / windowMs)
  }

  private _getFirsts (role: string): Map<number, number> {
    let firsts = this._firsts.get(role)
    if (firsts === undefined) {
      firsts = new Map()
      this._firsts.set(role, firsts)
    }
    return firsts
  }
}
