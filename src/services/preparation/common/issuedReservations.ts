/**
 * The reservations that an owner has issued to its callers, so that the owner can pass them on when the plan of a hall moves to
 * another coordinator. Does no I/O and reads no clock.
 */
import { MAX_RESERVATION_ENTRIES } from './preparationMessage.ts'
import type { ReservationEntry } from './preparationJob.ts'
import { RETURN_GRACE_MS } from './returnWindow.ts'

interface IssuedReservation {
  readonly pieces: ReservationEntry['pieces']
  /** When the caller returns, on this process's clock. */
  readonly returnAt: number
  /** Identifies the plan that has the reservation; undefined if none is known to have it. */
  readonly holder: object | undefined
}

/** Where a reservation was made. */
export interface ReservationPlace {
  readonly hall: string
  readonly holder: object
}

export class IssuedReservations {
  /** By hall, then by key, the latest last. */
  private readonly _byHall = new Map<string, Map<string, IssuedReservation>>()

  listHalls (): readonly string[] {
    return [...this._byHall.keys()]
  }

  /** Records a reservation. Beyond the bound of one message, the one that was issued first is dropped. */
  add ({ key, returnInMs, pieces }: ReservationEntry, { hall, holder }: ReservationPlace, now: number): void {
    this._expire(hall, now)
    const issued = this._byHall.get(hall) ?? new Map<string, IssuedReservation>()
    this._byHall.set(hall, issued)
    issued.delete(key)
    issued.set(key, { pieces, returnAt: now + returnInMs, holder })
    const [first] = issued.keys()
    if (issued.size > MAX_RESERVATION_ENTRIES && first !== undefined) issued.delete(first)
  }

  /** Removes the reservation of a caller whose retry has ended. */
  remove (key: string): void {
    for (const [hall, issued] of this._byHall) if (issued.delete(key) && issued.size === 0) this._byHall.delete(hall)
  }

  /** Returns the reservations of a hall that the holder does not have yet, and records that it has them from now on. */
  take ({ hall, holder }: ReservationPlace, now: number): readonly ReservationEntry[] {
    this._expire(hall, now)
    const missing = [...this._byHall.get(hall) ?? []].filter(([, issued]) => issued.holder !== holder)
    for (const [key, issued] of missing) this._byHall.get(hall)?.set(key, { ...issued, holder })
    return missing.map(([key, { pieces, returnAt }]) => ({ key, returnInMs: Math.max(0, returnAt - now), pieces }))
  }

  /** Records that the holder no longer has a plan of the hall. */
  forgetHolder ({ hall, holder }: ReservationPlace): void {
    const issued = this._byHall.get(hall)
    for (const [key, reservation] of issued ?? []) if (reservation.holder === holder) issued?.set(key, { ...reservation, holder: undefined })
  }

  private _expire (hall: string, now: number): void {
    const issued = this._byHall.get(hall)
    for (const [key, { returnAt }] of issued ?? []) if (now >= returnAt + RETURN_GRACE_MS) issued?.delete(key)
    if (issued?.size === 0) this._byHall.delete(hall)
  }
}
