/**
 * When callers may return whose requests no upstream accepts now. Each gets a time of its own, at the rate at which
 * requests are accepted: callers that return together would find room for one.
 */
export interface ReturnTerms {
  readonly role: string
  /** Until one of the role's upstreams accepts a request, in milliseconds. */
  readonly soonestMs: number
  /** Requests per second that this node's callers can expect to be accepted. */
  readonly perS: number
  /** Until one of the role's upstreams has no limit any more, in milliseconds; Infinity where that is not known. */
  readonly endsInMs: number
}

const MS_PER_S = 1000
/** Limits change sooner than this. */
const MAX_RETURN_MS = 10_000
const MIN_RETURN_MS = 50

export class ReturnSchedule {
  private readonly _lastAt = new Map<string, number>()

  /** Milliseconds from now. */
  schedule ({ role, soonestMs, perS, endsInMs }: ReturnTerms, now: number): number {
    const intervalMs = perS > 0 ? MS_PER_S / perS : MAX_RETURN_MS
    const nextAt = Math.max(now + soonestMs, (this._lastAt.get(role) ?? -Infinity) + intervalMs)
    // Whoever comes after the end of a limit is accepted, however many there are.
    if (endsInMs <= nextAt - now) return Math.max(MIN_RETURN_MS, endsInMs)
    const at = Math.min(now + MAX_RETURN_MS, Math.max(now + MIN_RETURN_MS, nextAt))
    this._lastAt.set(role, at)
    return at - now
  }
}
