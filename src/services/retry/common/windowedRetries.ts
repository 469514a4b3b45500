/**
 * Retries of a fleet that may make so many in any window of time. Each node may spend its part of them at once: what is
 * lost together is tried again together, when it still helps.
 */
import type { IClock } from '../../../base/common/clock.ts'
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

/** What this node did for one role. */
class RoleWindow {
  /** First attempts by number of the part of a window. */
  readonly firsts = new Map<number, number>()
  retries: readonly number[] = []
}

export class WindowedRetries extends RetryPolicy {
  private readonly _options: WindowedRetriesOptions
  private readonly _roles = new Map<string, RoleWindow>()

  constructor (options: WindowedRetriesOptions) {
    super()
    this._options = options
  }

  recordFirstAttempt (role: string): void {
    const { firsts } = this._getRole(role)
    const part = this._computePart()
    firsts.set(part, (firsts.get(part) ?? 0) + 1)
    for (const old of firsts.keys()) if (old <= part - PARTS) firsts.delete(old)
  }

  takeRetry (role: string): boolean {
    const { clock, windowMs, share, getSpare } = this._options
    const window = this._getRole(role)
    const now = clock.now()
    window.retries = window.retries.filter(at => now - at < windowMs)
    if (window.retries.length + 1 > getSpare() + share * this._countFirsts(window)) return false
    window.retries = [...window.retries, now]
    return true
  }

  private _countFirsts ({ firsts }: RoleWindow): number {
    const oldest = this._computePart() - PARTS
    let count = 0
    for (const [part, firstsOfPart] of firsts) if (part > oldest) count += firstsOfPart
    return count
  }

  private _computePart (): number {
    const { clock, windowMs } = this._options
    return Math.floor(clock.now() * PARTS / windowMs)
  }

  private _getRole (role: string): RoleWindow {
    let window = this._roles.get(role)
    if (window === undefined) {
      window = new RoleWindow()
      this._roles.set(role, window)
    }
    return window
  }
}
