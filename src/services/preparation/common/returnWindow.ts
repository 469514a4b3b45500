/**
 * How far in the future a refused caller may be asked to return, and how long a reservation outlasts that time.
 */

/** Callers honor `Retry-After` up to this fraction of the time that they have left. */
const RETURN_FRACTION = 1 / 3
/** Reservations are kept this long after the time of return, since the caller's retry still has to arrive. */
export const RETURN_GRACE_MS = 400

/** How long before the time of return a caller may return; without a limit, callers that return at once would be admitted before all others. */
const EARLY_TOLERANCE_MS = 100

/** Bounds the window, whatever deadline the caller states: an outlook further ahead says nothing. */
export const MAX_RETURN_MS = 10_000

export function computeReturnWithinMs (callerTimeLeftMs: number): number {
  return Math.min(MAX_RETURN_MS, Math.max(0, callerTimeLeftMs) * RETURN_FRACTION)
}

/** Whether a caller may return by now; `returnAt` is the time that its refusal stated. */
export function hasReturnBegun (returnAt: number, now: number): boolean {
  return now >= returnAt - EARLY_TOLERANCE_MS
}

/** Returns the window of a job that is submitted again later: of the time that has passed, the caller loses the same fraction. */
export function computeRemainingReturnMs (returnWithinMs: number, elapsedMs: number): number {
  return Math.max(0, returnWithinMs - elapsedMs * RETURN_FRACTION)
}
