/**
 * One plan of a coordinator, and the state that the coordinator keeps for each job.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { GenerationWork } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { RateLimitSource } from '../../quota/common/rateLimitSource.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { StatedLoads } from '../../upstream/common/statedLoads.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'

export interface PlanShardOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
  /** The rate limits of upstreams; without it no upstream is limited. */
  readonly limits?: RateLimitSource
  /** Loads that upstreams stated to this node; without it none has stated any. */
  readonly loads?: Pick<StatedLoads, 'getSlowness'>
  /** Whether plans of single halls handle contention; see docs/CONTENTION.md. */
  readonly handlesContention?: boolean
}

/** The plan for the upstreams of one hall, or for all upstreams if the hall is empty. */
export class PlanShard {
  readonly planner: PreparationPlanner
  isDispatchScheduled = false
  isFreeScheduled = false
  loadLoggedAt = -Infinity

  constructor (readonly hall: string, { clock, registry, getTable, limits, loads, handlesContention = false }: PlanShardOptions) {
    this.planner = new PreparationPlanner(role => {
      const msPerMovedToken = computeTransferMsPerToken(getTable()?.getRole(role)?.generationWork)
      const now = clock.now()
      return registry.listAvailable(role).filter(entry => this.isInScope(entry)).map(entry => ({ id: entry.id, hall: entry.hall, msPerMovedToken, limit: limits?.findLimit(entry), statedSlowness: loads?.getSlowness(entry.id, now) }))
    }, (role, homeHalls) => registry.listAvailable(role).some(entry => homeHalls?.includes(entry.hall) !== false && limits?.findLimit(entry) === undefined), { hasContention: handlesContention && hall !== '' })
  }

  isInScope (entry: UpstreamEntry): boolean {
    return this.hall === '' || this.hall === entry.hall
  }
}

/** Time that an upstream needs to fetch the prefix cache of one token from another; Infinity if it cannot. */
function computeTransferMsPerToken (work: GenerationWork | undefined): number {
  return work === undefined || work.tokenBytes <= 0 || work.linkBytesPerMs <= 0 ? Infinity : work.tokenBytes / work.linkBytesPerMs
}

/** The caller of a job, over all its tries. */
export interface ReturningCaller {
  readonly returnKey?: string | undefined
  /** Whether the job took its caller's reservation. */
  readonly hasReturned?: boolean
}

/** A job whose owner has not yet sent both its release and its report. */
export class TrackedJob {
  isReleased = false
  isDetached = false
  isReported = false

  constructor (readonly shard: PlanShard, readonly link: object | undefined, readonly returning: ReturningCaller = {}) {}
}
