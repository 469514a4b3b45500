/**
 * Tracks in bounded memory which request numbers a session has seen.
 */

interface Interval {
  readonly from: number
  readonly to: number
}

/** `unknown`: it is no longer tracked whether the number was seen, so the request must not run. */
export type NumberState = 'new' | 'seen' | 'unknown'

export const DEFAULT_MAX_INTERVALS = 64

/**
 * Stores a number up to which all numbers were seen, and intervals of seen numbers above it. If there are too many
 * intervals, the lowest one is removed. All numbers above the stored number and up to the end of the removed interval are
 * unknown from then on and never become new again.
 */
export class SeenNumbers {
  /** All numbers up to and including this one were seen. */
  private _seenUpTo = 0
  /** Numbers up to and including this one are unknown unless tracked as seen. */
  private _unknownUpTo = 0
  private _intervals: readonly Interval[] = []

  constructor (private readonly _maxIntervals = DEFAULT_MAX_INTERVALS) {}

  check (number: number): NumberState {
    if (number <= this._seenUpTo) return 'seen'
    if (this._intervals.some(interval => interval.from <= number && number <= interval.to)) return 'seen'
    return number <= this._unknownUpTo ? 'unknown' : 'new'
  }

  /** Marks a number as seen. It never becomes new again. */
  add (number: number): void {
    if (this.check(number) === 'seen') return
    this._intervals = mergeIntervals([...this._intervals, { from: number, to: number }])
    this._mergeLowestInterval()
    while (this._intervals.length > this._maxIntervals) this._removeLowestInterval()
  }

  /** Reported in dumps of the gate. */
  get intervalCount (): number {
    return this._intervals.length
  }

  private _mergeLowestInterval (): void {
    const lowest = this._intervals[0]
    if (lowest === undefined || lowest.from > this._seenUpTo + 1) return
    this._seenUpTo = lowest.to
    this._intervals = this._intervals.slice(1)
  }

  private _removeLowestInterval (): void {
    const lowest = this._intervals[0]
    if (lowest === undefined) return
    this._unknownUpTo = lowest.to
    this._intervals = this._intervals.slice(1)
  }
}

function mergeIntervals (intervals: readonly Interval[]): readonly Interval[] {
  const merged: Interval[] = []
  for (const interval of [...intervals].sort((a, b) => a.from - b.from)) {
    const last = merged.at(-1)
    if (last !== undefined && interval.from <= last.to + 1) merged[merged.length - 1] = { from: last.from, to: Math.max(last.to, interval.to) }
    else merged.push(interval)
  }
  return merged
}
