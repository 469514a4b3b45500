/**
 * One plan of a coordinator, and the jobs that it holds for their owners.
 */
import type { GenerationWork } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { LimitSource } from '../../quota/common/limitSource.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'

export interface PlanShardOptions {
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
  /** What upstreams accept; any number without it. */
  readonly limits?: LimitSource
}

/** One plan: all upstreams, or those of one hall. */
export class PlanShard {
  readonly planner: PreparationPlanner
  isDispatching = false
  isFreeing = false
  loadLoggedAt = -Infinity

  constructor (readonly hall: string, { registry, getTable, limits }: PlanShardOptions) {
    this.planner = new PreparationPlanner(role => {
      const msPerMovedToken = computeMoveMs(getTable()?.getRole(role)?.generationWork)
      return registry.listRole(role).filter(entry => this.holds(entry)).map(entry => ({ id: entry.id, hall: entry.hall, msPerMovedToken, limit: limits?.find(entry) }))
    }, (role, homeHalls) => registry.listRole(role).some(entry => homeHalls?.includes(entry.hall) !== false && limits?.find(entry) === undefined))
  }

  holds (entry: UpstreamEntry): boolean {
    return this.hall === '' || this.hall === entry.hall
  }
}

/** How long it takes one upstream to take a token from another. */
function computeMoveMs (work: GenerationWork | undefined): number {
  return work === undefined || work.tokenBytes <= 0 || work.linkBytesPerMs <= 0 ? Infinity : work.tokenBytes / work.linkBytesPerMs
}

/** A job that its owner has not let go of. */
export class HeldJob {
  isReleased = false
  isDetached = false
  isReported = false

  constructor (readonly shard: PlanShard, readonly link: object | undefined) {}
}
