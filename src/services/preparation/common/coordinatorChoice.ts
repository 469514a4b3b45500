/**
 * Chooses the plan of a job and the node that coordinates each plan. Nodes with the same view of members and upstreams make
 * the same choice. No consensus is needed: two coordinators for a while only cause extra work.
 */
import { rankByRendezvous, rankByWeightedRendezvous } from '../../../base/common/rendezvous.ts'

export interface CoordinatorCandidate {
  readonly address: string
  readonly hall: string
  /** Increases with each start of the process, and does not change until the next one. */
  readonly incarnation: number
  /** Capacity of the host relative to the others. */
  readonly weight: number
}

export interface PlannedUpstream {
  readonly role: string
  readonly hall: string
}

/**
 * With fewer upstreams of a role per hall, a single plan is better, since batches across all halls are much fuller. With
 * more, a plan for each hall keeps results in the hall and distributes the work of planning.
 */
const MIN_UPSTREAMS_PER_HALL = 2

/**
 * Returns the halls that have their own plan, in the order in which a job should try them; an empty hall means one plan for
 * all halls. With `roles`, each hall is first for a share of the jobs that corresponds to its share of the upstreams of these
 * roles; otherwise all halls are first for the same share.
 */
export function listPlans (upstreams: readonly PlannedUpstream[], key: string, roles: readonly string[] = []): readonly string[] {
  const { countsByHall, counts } = countUpstreams(upstreams)
  const halls = [...countsByHall.keys()]
  const fewest = Math.min(...counts.values())
  if (halls.length < 2 || fewest / halls.length < MIN_UPSTREAMS_PER_HALL) return ['']
  return rankHalls(halls, { countsByHall, counts }, key, roles)
}

type RoleCounts = ReadonlyMap<string, number>

function rankHalls (halls: readonly string[], { countsByHall, counts }: UpstreamCounts, key: string, roles: readonly string[]): readonly string[] {
  if (roles.length === 0) return rankByRendezvous(key, halls)
  const weights = new Map(halls.map(hall => [hall, computeHallWeight(countsByHall.get(hall) ?? new Map(), counts, roles)]))
  // The plan of a hall uses no upstreams of other halls, so halls that lack a role come last.
  const [complete, incomplete] = [halls.filter(hall => (weights.get(hall) ?? 0) > 0), halls.filter(hall => weights.get(hall) === 0)]
  return [...rankByWeightedRendezvous(key, new Map(complete.map(hall => [hall, weights.get(hall) ?? 1]))), ...rankByRendezvous(key, incomplete)]
}

/**
 * Returns the smallest share that a hall has of the upstreams of any of the roles, since the role that is scarcest there
 * limits how many jobs the hall can complete.
 */
function computeHallWeight (inHall: RoleCounts, counts: RoleCounts, roles: readonly string[]): number {
  const shares = roles.filter(role => counts.has(role)).map(role => (inHall.get(role) ?? 0) / (counts.get(role) ?? 1))
  return Math.min(1, ...shares)
}

interface UpstreamCounts {
  readonly countsByHall: ReadonlyMap<string, RoleCounts>
  readonly counts: RoleCounts
}

/** By list: callers pass the same one until an upstream changes. */
const countsCache = new WeakMap<readonly PlannedUpstream[], UpstreamCounts>()

function countUpstreams (upstreams: readonly PlannedUpstream[]): UpstreamCounts {
  const cached = countsCache.get(upstreams)
  if (cached !== undefined) return cached
  const countsByHall = new Map<string, Map<string, number>>()
  const counts = new Map<string, number>()
  for (const { hall, role } of upstreams) {
    const inHall = countsByHall.get(hall) ?? new Map<string, number>()
    countsByHall.set(hall, inHall.set(role, (inHall.get(role) ?? 0) + 1))
    counts.set(role, (counts.get(role) ?? 0) + 1)
  }
  const counted = { countsByHall, counts }
  countsCache.set(upstreams, counted)
  return counted
}

/** Returns the plans for a job restricted to its home halls: only plans of single halls, since a plan of all halls would use others too. */
export function listHomePlans (upstreams: readonly PlannedUpstream[], key: string, homeHalls: readonly string[], roles: readonly string[] = []): readonly string[] {
  const upstreamCounts = countUpstreams(upstreams)
  return rankHalls(homeHalls.filter(hall => upstreamCounts.countsByHall.has(hall)), upstreamCounts, key, roles)
}

/**
 * Chooses a node on the host with the highest weight, and of these the one that has run for longest. A node that returns
 * after a restart thus does not take jobs over from its replacement: two coordinators do not see how much result
 * capacity each other's jobs use at the upstreams. For the plan of a hall, nodes of that hall are preferred.
 */
export function chooseCoordinator (candidates: readonly CoordinatorCandidate[], hall = ''): string | undefined {
  const near = candidates.filter(candidate => candidate.hall === hall)
  let best: CoordinatorCandidate | undefined
  for (const candidate of near.length > 0 ? near : candidates) if (best === undefined || compareCandidates(candidate, best) < 0) best = candidate
  return best?.address
}

/** Returns the addresses in the order in which they would be chosen if each one before them were lost. */
export function rankCoordinators (candidates: readonly CoordinatorCandidate[], hall = ''): readonly string[] {
  return [...candidates].sort((a, b) => Number(b.hall === hall) - Number(a.hall === hall) || compareCandidates(a, b)).map(({ address }) => address)
}

function compareCandidates (a: CoordinatorCandidate, b: CoordinatorCandidate): number {
  return b.weight - a.weight || a.incarnation - b.incarnation || (a.address < b.address ? -1 : 1)
}
