/**
 * Computes retry delays for callers while all upstreams of a role are backing off. One caller retries when the first backoff
 * ends, as the trial request. All others are spread over the time after the trial, when that upstream accepts any number.
 */
import { TRIAL_TIMEOUT_MS } from './backoffTable.ts'

interface StaggerState {
  /** When the first backoff ends, in ms on this process's clock. */
  readonly endsAt: number
  /** Callers that were given a delay until then or later. */
  readonly scheduledCount: number
}

const STEP_MS = 50
const MAX_STAGGER_MS = 1000
const MIN_RETRY_AFTER_MS = 50

export class StaggeredRetryAfter {
  private readonly _states = new Map<string, StaggerState>()

  /** Returns the delay in ms; `earliestMs` is the time until the first backoff ends. */
  schedule (role: string, earliestMs: number, now: number): number {
    const endsAt = now + earliestMs
    const previous = this._states.get(role)
    const scheduledCount = previous !== undefined && endsAt <= previous.endsAt ? previous.scheduledCount : 0
    this._states.set(role, { endsAt: Math.max(endsAt, previous?.endsAt ?? 0), scheduledCount: scheduledCount + 1 })
    const staggerMs = scheduledCount === 0 ? 0 : TRIAL_TIMEOUT_MS + (scheduledCount - 1) * STEP_MS % MAX_STAGGER_MS
    return Math.max(MIN_RETRY_AFTER_MS, earliestMs + staggerMs)
  }
}
