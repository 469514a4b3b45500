/**
 * Computes retry delays for callers whose requests no upstream accepts because of rate limits. Each caller gets its own
 * time, spaced at the rate at which requests are accepted: of callers that retried together, only one would be accepted.
 */
export interface RetryAfterInputs {
  readonly role: string
  /** Time in ms until one of the role's upstreams accepts a request. */
  readonly earliestMs: number
  /** Requests per second that the upstreams are expected to accept from this node. */
  readonly perS: number
  /** Time in ms until the limit of one of the role's upstreams ends; Infinity if unknown. */
  readonly limitEndsInMs: number
}

const MS_PER_S = 1000
/** Limits are expected to change within this time. */
const MAX_RETRY_AFTER_MS = 10_000
const MIN_RETRY_AFTER_MS = 50

export class RetryAfterSchedule {
  private readonly _lastAssignedAt = new Map<string, number>()

  /** Returns the delay in ms. */
  schedule ({ role, earliestMs, perS, limitEndsInMs }: RetryAfterInputs, now: number): number {
    const intervalMs = perS > 0 ? MS_PER_S / perS : MAX_RETRY_AFTER_MS
    const nextAt = Math.max(now + earliestMs, (this._lastAssignedAt.get(role) ?? -Infinity) + intervalMs)
    // Once a limit has ended, the upstream accepts any number of requests, so callers need not be spaced out.
    if (limitEndsInMs <= nextAt - now) return Math.max(MIN_RETRY_AFTER_MS, limitEndsInMs)
    const at = Math.min(now + MAX_RETRY_AFTER_MS, Math.max(now + MIN_RETRY_AFTER_MS, nextAt))
    this._lastAssignedAt.set(role, at)
    return at - now
  }
}
