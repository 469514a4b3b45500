/**
 * Timeouts of an attempt, after which the request is sent to another upstream or fails.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { isRepeatable } from './relayTable.ts'

/** A repeatable request goes to another upstream if there is no response within this share of the time left. */
const REPEATABLE_TIMEOUT_SHARE = 0.35
/** A resumable stream is considered broken after a pause of this many times the route's longest normal pause. */
const RESUMABLE_PAUSE_FACTOR = 5
const DEFAULT_MAX_PAUSE_MS = 200

/** Returns how long the next attempt may wait for a response; `runCount` is the number of attempts that may have run. */
export function computeResponseTimeoutMs (route: Route, runCount: number, timeLeftMs: number): number {
  const canRetryLater = isRepeatable(route) && runCount + 1 < route.maxAttempts
  return canRetryLater ? Math.max(route.goalMs, timeLeftMs * REPEATABLE_TIMEOUT_SHARE) : timeLeftMs
}

/** Returns how long a stream may pause; Infinity if it cannot be resumed at another upstream. */
export function computePauseTimeoutMs (route: Route): number {
  if (!route.isResumable) return Infinity
  return RESUMABLE_PAUSE_FACTOR * (route.maxPauseMs > 0 ? route.maxPauseMs : DEFAULT_MAX_PAUSE_MS)
}
