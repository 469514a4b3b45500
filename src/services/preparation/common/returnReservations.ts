/**
 * Capacity of one plan that is reserved for callers that were refused and told when to return.
 */
import type { ExpectedWork } from './capacityOutlook.ts'
import type { ReservationEntry } from './preparationJob.ts'

/** The work of one refused caller; `at` is the time that it was told. */
export interface ReturnReservation extends ExpectedWork {
  /** The `returnKey` of the caller's job. */
  readonly key: string
}

export interface ReturnCounts {
  /** Callers that this plan told when to return. */
  readonly reserved: number
  /** Returned and were admitted. */
  readonly kept: number
  /** Did not return in time. */
  readonly expired: number
  /** Returned and were refused. */
  readonly missed: number
}

/** Bounds the memory of a plan, and what it sends to the next one. */
const MAX_RESERVATIONS = 1000
/** How long after the time told the capacity is kept free, for the way of the refusal and of the new attempt. */
const LATE_TOLERANCE_MS = 400
/** How long before that time a caller may return; without a limit, callers that return at once would be admitted before all others. */
const EARLY_TOLERANCE_MS = 100

export class ReturnReservations {
  private readonly _byKey = new Map<string, ReturnReservation>()
  private readonly _counts = { reserved: 0, kept: 0, expired: 0, missed: 0 }

  get counts (): ReturnCounts {
    return this._counts
  }

  /** Adds a reservation that a caller is told about. False if there are too many. */
  add (reservation: ReturnReservation, now: number): boolean {
    if (!this._set(reservation, now)) return false
    this._counts.reserved++
    return true
  }

  /** Adds a reservation that another plan has made; of two for the same caller, the later one stays. */
  adopt ({ key, returnInMs, pieces }: ReservationEntry, now: number): void {
    const at = now + returnInMs
    if ((this._byKey.get(key)?.at ?? -Infinity) < at) this._set({ key, at, pieces }, now)
  }

  /** Removes and returns the reservation of a caller that has returned as told; undefined if there is none, or if it is early. */
  take (key: string, now: number): ReturnReservation | undefined {
    const reservation = this.find(key, now)
    if (reservation === undefined || now < reservation.at - EARLY_TOLERANCE_MS) return undefined
    this._byKey.delete(key)
    return reservation
  }

  find (key: string, now: number): ReturnReservation | undefined {
    this._expire(now)
    return this._byKey.get(key)
  }

  /** Records whether a caller that had a reservation was admitted; a reservation that is still held is given up. */
  recordReturn (key: string, isAdmitted: boolean): void {
    this._byKey.delete(key)
    if (isAdmitted) this._counts.kept++
    else this._counts.missed++
  }

  list (now: number): readonly ReturnReservation[] {
    this._expire(now)
    return [...this._byKey.values()]
  }

  /** Sums the pieces of callers that return by a time, by role; without those of `exceptKey`. */
  sumPieces (untilAt: number, now: number, exceptKey?: string): ReadonlyMap<string, number> {
    this._expire(now)
    const sums = new Map<string, number>()
    for (const { key, at, pieces } of this._byKey.values()) {
      if (at > untilAt || key === exceptKey) continue
      for (const { role, count } of pieces) sums.set(role, (sums.get(role) ?? 0) + count)
    }
    return sums
  }

  private _set (reservation: ReturnReservation, now: number): boolean {
    this._expire(now)
    if (this._byKey.size >= MAX_RESERVATIONS && !this._byKey.has(reservation.key)) return false
    this._byKey.set(reservation.key, reservation)
    return true
  }

  private _expire (now: number): void {
    for (const [key, { at }] of this._byKey) {
      if (now <= at + LATE_TOLERANCE_MS) continue
      this._byKey.delete(key)
      this._counts.expired++
    }
  }
}
