/**
 * How long an attempt may keep a request waiting before it is tried elsewhere.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { isRepeatable } from './relayTable.ts'

/** A repeatable request is tried elsewhere when an upstream has not begun to answer after this part of the time left. */
const REPEATABLE_HEAD_SHARE = 0.35
/** A stream that may go on elsewhere is taken for broken after so many of its longest good pauses. */
const RESUMABLE_PAUSES = 5
const DEFAULT_PAUSE_MS = 200

/** How long the upstream may take to begin its answer, after so many that may have run the request. */
export function computeHeadTimeout (route: Route, runCount: number, timeLeftMs: number): number {
  const mayGoElsewhere = isRepeatable(route) && runCount + 1 < route.maxAttempts
  return mayGoElsewhere ? Math.max(route.goalMs, timeLeftMs * REPEATABLE_HEAD_SHARE) : timeLeftMs
}

/** How long a stream may pause. */
export function computePauseTimeout (route: Route): number {
  if (!route.isResumable) return Infinity
  return RESUMABLE_PAUSES * (route.maxPauseMs > 0 ? route.maxPauseMs : DEFAULT_PAUSE_MS)
}
