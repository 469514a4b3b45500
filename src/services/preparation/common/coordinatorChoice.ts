/**
 * Which plan a job belongs to, and which node's coordinator keeps it. All nodes that know the same members and upstreams
 * choose alike; no agreement is needed, since two coordinators for a while cost only work.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'

export interface CoordinatorCandidate {
  readonly address: string
  readonly hall: string
  /** Grows with each boot. */
  readonly incarnation: number
  /** How much the host can do, against the others. */
  readonly weight: number
}

/** An upstream that makes pieces, as far as plans are concerned. */
export interface PlannedUpstream {
  readonly role: string
  readonly hall: string
}

/**
 * With fewer upstreams of a role in a hall, batches over all halls are so much fuller that one plan is better. With
 * more, a plan for each hall keeps results within it and shares out the work of planning.
 */
const MIN_UPSTREAMS_PER_HALL = 2

/** Halls with a plan of their own, in the order in which a job should try them; an empty hall stands for one plan for all. */
export function listPlans (upstreams: readonly PlannedUpstream[], key: string): readonly string[] {
  const halls = [...new Set(upstreams.map(upstream => upstream.hall))]
  const counts = new Map<string, number>()
  for (const { role } of upstreams) counts.set(role, (counts.get(role) ?? 0) + 1)
  const fewest = Math.min(...counts.values())
  if (halls.length < 2 || fewest / halls.length < MIN_UPSTREAMS_PER_HALL) return ['']
  return rankByRendezvous(key, halls)
}

/** Plans for a job that only some halls may serve: those of these halls alone, since a plan of all would use others too. */
export function listHomePlans (upstreams: readonly PlannedUpstream[], key: string, homeHalls: readonly string[]): readonly string[] {
  const halls = new Set(upstreams.map(upstream => upstream.hall))
  return rankByRendezvous(key, homeHalls.filter(hall => halls.has(hall)))
}

/**
 * The strongest host, and of these the node that has run for longest: one that comes back after a restart does not take
 * the jobs away from the one that replaced it, since two coordinators do not see each other's results in the upstreams'
 * room. For a hall's plan, a node of that hall if there is one.
 */
export function chooseCoordinator (candidates: readonly CoordinatorCandidate[], hall = ''): string | undefined {
  const near = candidates.filter(candidate => candidate.hall === hall)
  let best: CoordinatorCandidate | undefined
  for (const candidate of near.length > 0 ? near : candidates) if (best === undefined || compareCandidates(candidate, best) < 0) best = candidate
  return best?.address
}

function compareCandidates (a: CoordinatorCandidate, b: CoordinatorCandidate): number {
  return b.weight - a.weight || a.incarnation - b.incarnation || (a.address < b.address ? -1 : 1)
}
