/**
 * Capacity of one plan that is reserved for the return of refused callers.
 */
import type { ExpectedWork } from './capacityOutlook.ts'
import type { ReservationEntry } from './preparationJob.ts'
import { hasReturnBegun, RETURN_GRACE_MS } from './returnWindow.ts'

/** The work of one refused caller. */
export interface ReturnReservation extends Pick<ReservationEntry, 'key' | 'pieces'> {
  /** The time of return in the refusal. */
  readonly at: number
}

/** The work of all callers that return within one interval. */
class IntervalWork implements ExpectedWork {
  readonly pieces = new Map<string, number>()
  callers = 0

  constructor (readonly at: number) {}
}

export interface ReturnCounts {
  /** Refusals of this plan with a reservation. */
  readonly reserved: number
  /** Returned and were admitted. */
  readonly kept: number
  /** Did not return in time. */
  readonly expired: number
  /** Returned and were refused, at once or after they had been admitted. */
  readonly missed: number
}

/** Bounds the memory of a plan, and what it sends to the next one. */
const MAX_RESERVATIONS = 1000
/** Work is summed by intervals of this length, so that a decision does not go through all reservations. */
const INTERVAL_MS = 100

export class ReturnReservations {
  private readonly _byKey = new Map<string, ReturnReservation>()
  private readonly _byInterval = new Map<number, IntervalWork>()
  /** No reservation expires before this time. */
  private _nextExpiryAt = Infinity
  private readonly _counts = { reserved: 0, kept: 0, expired: 0, missed: 0 }

  get counts (): ReturnCounts {
    return this._counts
  }

  /** Adds a reservation for a refusal. False if there are too many. */
  add (reservation: ReturnReservation, now: number): boolean {
    if (!this._set(reservation, now)) return false
    this._counts.reserved++
    return true
  }

  /** Adds a reservation that another plan has made; of two for the same caller, the later one stays. */
  adopt ({ key, returnInMs, pieces }: ReservationEntry, now: number): void {
    const at = now + returnInMs
    if ((this.find(key, now)?.at ?? -Infinity) < at) this._set({ key, at, pieces }, now)
  }

  /** Removes and returns the reservation of a caller that has returned at its time; undefined if there is none, or if it is early. */
  take (key: string, now: number): ReturnReservation | undefined {
    const reservation = this.find(key, now)
    if (reservation === undefined || !hasReturnBegun(reservation.at, now)) return undefined
    this._delete(reservation)
    return reservation
  }

  find (key: string, now: number): ReturnReservation | undefined {
    this._expire(now)
    return this._byKey.get(key)
  }

  /** Records whether a caller that had a reservation was admitted; a reservation that is still held is given up. */
  recordReturn (key: string, isAdmitted: boolean): void {
    const reservation = this._byKey.get(key)
    if (reservation !== undefined) this._delete(reservation)
    if (isAdmitted) this._counts.kept++
    else this._counts.missed++
  }

  /** Records that a caller was refused after it had returned and been admitted. */
  recordLaterRefusal (): void {
    this._counts.missed++
  }

  list (now: number): readonly ReturnReservation[] {
    this._expire(now)
    return [...this._byKey.values()]
  }

  /** Sums the pieces of callers that return by a time, by role; without those of `exceptKey`. */
  sumPieces (untilAt: number, now: number, exceptKey?: string): ReadonlyMap<string, number> {
    this._expire(now)
    const sums = new Map<string, number>()
    for (const { at, pieces } of this._byInterval.values()) {
      if (at <= untilAt) for (const [role, count] of pieces) addCount(sums, role, count)
    }
    const except = exceptKey === undefined ? undefined : this._byKey.get(exceptKey)
    if (except !== undefined && getIntervalEnd(except.at) <= untilAt) for (const { role, count } of except.pieces) addCount(sums, role, -count)
    return sums
  }

  /** Returns all reserved work, each at the end of its interval. */
  listWork (now: number): readonly ExpectedWork[] {
    this._expire(now)
    return [...this._byInterval.values()]
  }

  private _set (reservation: ReturnReservation, now: number): boolean {
    this._expire(now)
    const existing = this._byKey.get(reservation.key)
    if (existing !== undefined) this._delete(existing)
    if (this._byKey.size >= MAX_RESERVATIONS) return false
    this._byKey.set(reservation.key, reservation)
    this._nextExpiryAt = Math.min(this._nextExpiryAt, reservation.at + RETURN_GRACE_MS)
    const at = getIntervalEnd(reservation.at)
    const work = this._byInterval.get(at) ?? new IntervalWork(at)
    work.callers++
    for (const { role, count } of reservation.pieces) addCount(work.pieces, role, count)
    this._byInterval.set(at, work)
    return true
  }

  private _delete ({ key, at, pieces }: ReturnReservation): void {
    this._byKey.delete(key)
    const work = this._byInterval.get(getIntervalEnd(at))
    if (work === undefined) return
    work.callers--
    for (const { role, count } of pieces) addCount(work.pieces, role, -count)
    if (work.callers === 0) this._byInterval.delete(work.at)
  }

  private _expire (now: number): void {
    if (now <= this._nextExpiryAt) return
    this._nextExpiryAt = Infinity
    for (const reservation of this._byKey.values()) {
      const expiresAt = reservation.at + RETURN_GRACE_MS
      if (now <= expiresAt) {
        this._nextExpiryAt = Math.min(this._nextExpiryAt, expiresAt)
        continue
      }
      this._delete(reservation)
      this._counts.expired++
    }
  }
}

function getIntervalEnd (at: number): number {
  return Math.ceil(at / INTERVAL_MS) * INTERVAL_MS
}

function addCount (counts: Map<string, number>, role: string, count: number): void {
  counts.set(role, (counts.get(role) ?? 0) + count)
}
