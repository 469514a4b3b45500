/**
 * Times after which an attempt is considered stalled, so that another upstream may take over.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { isRepeatable } from './relayTable.ts'

/** The attempt of a repeatable request has stalled if there is no response within this share of the time left. */
const REPEATABLE_TIMEOUT_SHARE = 0.35
/** A resumable stream has stalled after a pause of this many times the route's longest normal pause. */
const RESUMABLE_PAUSE_FACTOR = 5
const DEFAULT_MAX_PAUSE_MS = 200
/** Callers give a stream up after the longest of these: a fixed time, and multiples of its goal and of its longest normal pause. */
const MIN_PATIENCE_MS = 2000
const PATIENCE_GOALS = 4
const PATIENCE_PAUSES = 8

/** Returns after which time without a response the next attempt has stalled; `runCount` is the number of attempts that may have run. */
export function computeResponseTimeoutMs (route: Route, runCount: number, timeLeftMs: number): number {
  const canRetryLater = isRepeatable(route) && runCount + 1 < route.maxAttempts
  return canRetryLater ? Math.max(route.goalMs, timeLeftMs * REPEATABLE_TIMEOUT_SHARE) : timeLeftMs
}

/** Returns after which pause a stream has stalled; Infinity if it cannot be resumed at another upstream. */
export function computePauseTimeoutMs (route: Route): number {
  if (!route.isResumable) return Infinity
  return RESUMABLE_PAUSE_FACTOR * getMaxPauseMs(route)
}

/** Returns the pause after which callers give a stream up. */
export function computeCallerPatienceMs (route: Route): number {
  return Math.max(MIN_PATIENCE_MS, PATIENCE_GOALS * route.goalMs, PATIENCE_PAUSES * getMaxPauseMs(route))
}

/** Returns the longest normal pause between events of a stream. */
function getMaxPauseMs (route: Route): number {
  return route.maxPauseMs > 0 ? route.maxPauseMs : DEFAULT_MAX_PAUSE_MS
}
