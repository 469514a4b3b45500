/**
 * Computes a node's share of the fleet's retry budget. The shares of all nodes must add up to no more than the budget in any
 * window, whichever nodes see each other. So a node counts all others that may use a share within the window, whether they
 * are alive or not. Pure function.
 */
import type { MemberState } from '../../facts/common/fact.ts'
import type { RetryShare } from './retryPolicy.ts'

/** The state of a member, and for how long it has been in it. */
export interface MemberStateAge {
  readonly state: MemberState
  readonly ageMs: number
}

export interface RetryShareInputs {
  /** Retries that all nodes together may make in a window regardless of the number of first attempts. */
  readonly fleetRetries: number
  readonly windowMs: number
  /** How long a node that leaves as planned may continue its requests. */
  readonly drainMs: number
  /** How long this process has run. */
  readonly uptimeMs: number
  /** All known nodes in any state, this one included. */
  readonly members: readonly MemberStateAge[]
}

export function computeRetryShare ({ fleetRetries, windowMs, drainMs, uptimeMs, members }: RetryShareInputs): RetryShare {
  const sharers = members.filter(member => mayUseShare(member, windowMs + drainMs))
  const nodeCount = Math.max(1, sharers.length)
  // An earlier process at this address may have used its whole share within the window.
  return { baseRetries: uptimeMs < windowMs ? 0 : fleetRetries / nodeCount, nodeCount }
}

/**
 * A node that is lost may be cut off and continue to serve its callers, so it keeps its share for as long as membership
 * remembers it. One that has left as planned gives it up once its last retry is out of the window.
 */
function mayUseShare ({ state, ageMs }: MemberStateAge, releaseAfterMs: number): boolean {
  return state !== 'left' || ageMs < releaseAfterMs
}
