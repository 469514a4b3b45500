/**
 * Which request numbers a session has seen, in bounded memory.
 */

interface Interval {
  readonly from: number
  readonly to: number
}

/** `unknown` numbers can no longer be told seen from unseen, so they must not run. */
export type NumberState = 'new' | 'seen' | 'unknown'

export const DEFAULT_MAX_INTERVALS = 64

/**
 * A floor plus intervals above it. When there are too many intervals, the lowest gap is given up:
 * its numbers become unknown, for good.
 */
export class SeenNumbers {
  /** All numbers up to here were seen. */
  private _seenFloor = 0
  /** Numbers up to here that are not known as seen are unknown. */
  private _unknownFloor = 0
  private _intervals: readonly Interval[] = []

  constructor (private readonly _maxIntervals = DEFAULT_MAX_INTERVALS) {}

  check (number: number): NumberState {
    if (number <= this._seenFloor) return 'seen'
    if (this._intervals.some(interval => interval.from <= number && number <= interval.to)) return 'seen'
    return number <= this._unknownFloor ? 'unknown' : 'new'
  }

  /** Marks a number as seen, once and for good. */
  add (number: number): void {
    if (this.check(number) === 'seen') return
    this._intervals = mergeIntervals([...this._intervals, { from: number, to: number }])
    this._raiseFloor()
    while (this._intervals.length > this._maxIntervals) this._giveUpLowestGap()
  }

  /** How many intervals are held, for the dump. */
  get intervalCount (): number {
    return this._intervals.length
  }

  private _raiseFloor (): void {
    const lowest = this._intervals[0]
    if (lowest === undefined || lowest.from > this._seenFloor + 1) return
    this._seenFloor = lowest.to
    this._intervals = this._intervals.slice(1)
  }

  private _giveUpLowestGap (): void {
    const lowest = this._intervals[0]
    if (lowest === undefined) return
    this._unknownFloor = lowest.to
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
