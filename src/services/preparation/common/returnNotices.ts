/**
 * Refused callers for which other plans have reserved capacity. A plan that is asked before the one with the reservation declines
 * a caller's return once, so that the return reaches the reservation.
 */
import type { ReturnNotice } from './preparationJob.ts'
import { hasReturnBegun, RETURN_GRACE_MS } from './returnWindow.ts'

/** Bounds the memory of a plan. */
const MAX_NOTICES = 1000

export class ReturnNotices {
  /** When each caller returns, by key; the latest notice last. */
  private readonly _returnAt = new Map<string, number>()

  /** Adds a notice; of two for the same caller, the later time stays. Beyond the bound, the oldest one is dropped. */
  add ({ key, returnInMs }: ReturnNotice, now: number): void {
    this._expire(now)
    const returnAt = Math.max(now + returnInMs, this._returnAt.get(key) ?? -Infinity)
    this._returnAt.delete(key)
    this._returnAt.set(key, returnAt)
    const [oldest] = this._returnAt.keys()
    if (this._returnAt.size > MAX_NOTICES && oldest !== undefined) this._returnAt.delete(oldest)
  }

  /** Removes the notice of a caller that has returned at its time. False if there is none, or if the caller is early. */
  take (key: string, now: number): boolean {
    const returnAt = this._returnAt.get(key)
    if (returnAt === undefined || !hasReturnBegun(returnAt, now)) return false
    this._returnAt.delete(key)
    return now <= returnAt + RETURN_GRACE_MS
  }

  private _expire (now: number): void {
    for (const [key, returnAt] of this._returnAt) if (now > returnAt + RETURN_GRACE_MS) this._returnAt.delete(key)
  }
}
