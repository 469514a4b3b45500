/**
 * Which upstream takes the request of each job, and how long jobs wait for one that accepts it.
 */
import type { HallLoads } from './hallLoads.ts'
import type { JobForecast } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import { hasPieces } from './preparationJob.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import { sumBytesByHall } from './resultHalls.ts'
import { TargetPlanner } from './targetPlanner.ts'
import type { TargetCandidate } from './targetPlanner.ts'

export interface JobTargetsOptions {
  /** Upstreams that requests themselves go to, by role. */
  readonly listTargets: (role: string) => readonly TargetCandidate[]
  /** Whether an upstream of the role accepts any number of requests, also where this plan does not send them. */
  readonly hasOpenTarget: (role: string, homeHalls: readonly string[] | undefined) => boolean
  readonly halls: HallLoads
  readonly upstreams: ReadonlyMap<string, PieceUpstream>
}

const NO_WAIT: ReadonlyMap<string, number> = new Map()

export class JobTargets {
  readonly planner = new TargetPlanner()
  private readonly _options: JobTargetsOptions

  constructor (options: JobTargetsOptions) {
    this._options = options
  }

  /** Chosen when a job comes, so that large results are made near the target, and again when they are there. */
  choose (state: JobState, now: number): void {
    const { halls, upstreams } = this._options
    const { id, request } = state.job
    const choice = this.planner.choose({
      shape: request,
      candidates: this._list(state),
      bytesByHall: sumBytesByHall(state, id => upstreams.get(id)?.hall),
      waitByHall: state.isHandedOver ? NO_WAIT : halls.computeWaits(state, 'target', now)
    }, now)
    state.requestMs = choice?.costMs ?? 0
    state.targetId = choice?.id ?? ''
    state.prefixSourceId = choice?.prefixSourceId ?? ''
    state.targetHall = choice?.hall ?? ''
    if (choice !== undefined && state.isHandedOver) this.planner.assign({ jobId: id, shape: request, targetId: choice.id, readTokens: choice.readTokens }, now)
  }

  /** A request whose upstreams all accept few waits for them as well, behind those that came before it. */
  addWait (forecast: JobForecast, jobs: Iterable<JobState>, now: number): JobForecast {
    const { state } = forecast
    if (this._hasOpen(state)) return forecast
    const { role } = state.job.request
    const ahead = [...jobs].filter(other => !other.isHandedOver && other.job.request.role === role).length
    const endAt = Math.max(forecast.endAt, now + this.planner.estimateWaitMs(this._list(state), ahead, now) + state.requestMs)
    return { ...forecast, endAt, isLate: forecast.isLate || endAt > state.goalAt }
  }

  /** Whether the request has to wait until one of its upstreams accepts it, behind others that wait. */
  isBlocked (state: JobState, othersWaiting: number, now: number): boolean {
    return hasPieces(state.job) && !this._hasOpen(state) && this.estimateWaitMs(state, othersWaiting, now) > 0
  }

  /** Until an upstream accepts the request, behind so many others, in milliseconds. */
  estimateWaitMs (state: JobState, ahead: number, now: number): number {
    return this.planner.estimateWaitMs(this._list(state), ahead, now)
  }

  private _hasOpen ({ job }: JobState): boolean {
    return this._options.hasOpenTarget(job.request.role, job.homeHalls)
  }

  private _list ({ job }: JobState): readonly TargetCandidate[] {
    const targets = this._options.listTargets(job.request.role)
    const excluded = job.excludedTargets
    return excluded === undefined ? targets : targets.filter(({ id }) => !excluded.includes(id))
  }
}
