/**
 * Sums amounts per key within a sliding time window, in bounded memory: amounts are kept by slices of the window, and a slice
 * that is only partly within the window does not count.
 */
const SLICES_PER_WINDOW = 20

export class SlicedWindowSum {
  /** Sums by key and index of the slice. */
  private readonly _slices = new Map<string, Map<number, number>>()

  /** Besides the current window, keeps the amounts of a number of windows before it. */
  constructor (private readonly _windowMs: number, private readonly _earlierWindows = 0) {}

  add (key: string, amount: number, now: number): void {
    const slices = this._slices.get(key) ?? new Map<number, number>()
    this._slices.set(key, slices)
    const current = this._computeSlice(now)
    slices.set(current, (slices.get(current) ?? 0) + amount)
    for (const slice of slices.keys()) if (slice <= current - SLICES_PER_WINDOW * (1 + this._earlierWindows)) slices.delete(slice)
  }

  /** Sums the window that ends now, or one that ended so many windows ago. */
  sum (key: string, now: number, windowsAgo = 0): number {
    const newestSlice = this._computeSlice(now) - SLICES_PER_WINDOW * windowsAgo
    let sum = 0
    for (const [slice, amount] of this._slices.get(key) ?? []) if (slice <= newestSlice && slice > newestSlice - SLICES_PER_WINDOW) sum += amount
    return sum
  }

  private _computeSlice (now: number): number {
    return Math.floor(now * SLICES_PER_WINDOW / this._windowMs)
  }
}
