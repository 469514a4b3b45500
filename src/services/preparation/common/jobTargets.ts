/**
 * Chooses the target upstream for the request of each job, and estimates the wait for rate limited targets.
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
  /** Returns the upstreams of a role that run requests. */
  readonly listTargets: (role: string) => readonly TargetCandidate[]
  /** Whether an upstream of the role has no rate limit, including upstreams that this plan does not use. */
  readonly hasOpenTarget: (role: string, homeHalls: readonly string[] | undefined) => boolean
  readonly halls: HallLoads
  readonly upstreams: ReadonlyMap<string, PieceUpstream>
}

const NO_WAITS: ReadonlyMap<string, number> = new Map()

export class JobTargets {
  readonly planner = new TargetPlanner()
  private readonly _options: JobTargetsOptions

  constructor (options: JobTargetsOptions) {
    this._options = options
  }

  /** Chooses the target when a job arrives, so that large results are computed in its hall, and again once they are complete. */
  choose (state: JobState, now: number): void {
    const { halls, upstreams } = this._options
    const { id, request } = state.job
    const choice = this.planner.choose({
      shape: request,
      candidates: this._listCandidates(state),
      bytesByHall: sumBytesByHall(state, id => upstreams.get(id)?.hall),
      waitByHall: state.isHandedOver ? NO_WAITS : halls.computeWaitsMs(state, 'target', now)
    }, now)
    state.expectedRequestMs = choice?.costMs ?? 0
    state.targetId = choice?.id ?? ''
    state.prefixSourceId = choice?.prefixSourceId ?? ''
    state.targetHall = choice?.hall ?? ''
    if (choice !== undefined && state.isHandedOver) this.planner.assign({ jobId: id, shape: request, targetId: choice.id, prefillTokens: choice.prefillTokens, statedSlowness: choice.statedSlowness }, now)
  }

  /** Adds the wait for a target if all targets are rate limited, behind the jobs that arrived earlier. */
  addTargetWait (forecast: JobForecast, jobs: Iterable<JobState>, now: number): JobForecast {
    const { state } = forecast
    if (this._hasUnlimitedTarget(state)) return forecast
    const { role } = state.job.request
    const ahead = [...jobs].filter(other => !other.isHandedOver && other.job.request.role === role).length
    const endAt = Math.max(forecast.endAt, now + this.planner.estimateWaitMs(this._listCandidates(state), ahead, now) + state.expectedRequestMs)
    return { ...forecast, endAt, isLate: forecast.isLate || endAt > state.goalAt }
  }

  /** Whether the request has to wait for a rate limited target, behind the others that wait. */
  isBlocked (state: JobState, othersWaiting: number, now: number): boolean {
    return hasPieces(state.job) && !this._hasUnlimitedTarget(state) && this.estimateWaitMs(state, othersWaiting, now) > 0
  }

  /** Estimates the time until a target accepts the request, with `ahead` others queued before it. */
  estimateWaitMs (state: JobState, ahead: number, now: number): number {
    return this.planner.estimateWaitMs(this._listCandidates(state), ahead, now)
  }

  private _hasUnlimitedTarget ({ job }: JobState): boolean {
    return this._options.hasOpenTarget(job.request.role, job.homeHalls)
  }

  private _listCandidates ({ job }: JobState): readonly TargetCandidate[] {
    const targets = this._options.listTargets(job.request.role)
    const excluded = job.excludedTargets
    return excluded === undefined ? targets : targets.filter(({ id }) => !excluded.includes(id))
  }
}
