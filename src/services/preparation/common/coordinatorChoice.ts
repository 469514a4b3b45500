/**
 * Which node's coordinator takes new jobs. All nodes that know the same members choose alike; no agreement is needed,
 * since two coordinators for a while cost only work.
 */

export interface CoordinatorCandidate {
  readonly address: string
  /** Grows with each boot. */
  readonly incarnation: number
}

/**
 * The node that has run for longest: one that comes back after a restart does not take the jobs away from the one that
 * replaced it, since two coordinators do not see each other's results in the upstreams' room.
 */
export function chooseCoordinator (candidates: readonly CoordinatorCandidate[]): string | undefined {
  let best: CoordinatorCandidate | undefined
  for (const candidate of candidates) {
    const isOlder = best === undefined || candidate.incarnation < best.incarnation
    const isTied = candidate.incarnation === best?.incarnation && candidate.address < best.address
    if (isOlder || isTied) best = candidate
  }
  return best?.address
}
