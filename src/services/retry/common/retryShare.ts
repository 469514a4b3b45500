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
  /** All known members in any state, this node included. */
  readonly members: readonly MemberStateAge[]
  /** Nodes that are known from the settings. They count while no other member is known. */
  readonly configuredNodeCount: number
}

/** Callers of lost nodes come to the others; first attempts earn no less than this while that is under way. */
const MIN_EARNING_FACTOR = 0.25

export function computeRetryShare ({ fleetRetries, windowMs, drainMs, members, configuredNodeCount }: RetryShareInputs): RetryShare {
  const nodeCount = Math.max(members.length > 1 ? 1 : configuredNodeCount, members.filter(member => mayUseShare(member, windowMs + drainMs)).length)
  return { baseRetries: fleetRetries / nodeCount, nodeCount, earningFactor: computeEarningFactor(members, windowMs) }
}

/**
 * A node that is lost may be cut off and continue to serve its callers, so it keeps its share for as long as membership
 * remembers it. One that has left as planned gives it up once its last retry is out of the window.
 */
function mayUseShare ({ state, ageMs }: MemberStateAge, releaseAfterMs: number): boolean {
  return state !== 'left' || ageMs < releaseAfterMs
}

/**
 * Callers of a node that was lost or has left send their first attempts to the others, while the retries that earlier
 * first attempts earned there still count in the window. The others together earn what they would have earned without
 * these callers.
 */
function computeEarningFactor (members: readonly MemberStateAge[], windowMs: number): number {
  const presentCount = members.filter(({ state }) => state === 'alive').length
  const recentlyLostCount = members.filter(({ state, ageMs }) => state !== 'alive' && ageMs < windowMs).length
  return recentlyLostCount === 0 ? 1 : Math.max(MIN_EARNING_FACTOR, presentCount / (presentCount + recentlyLostCount))
}
