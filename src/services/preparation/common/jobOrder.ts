/**
 * Ranks jobs in scheduling order and forecasts when each completes.
 */
import { forecastJobs, RANK_STEP_MS } from './jobForecast.ts'
import type { ForecastOptions, JobForecast, RoleCapacity } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import { computeCallMs } from './pieceUpstream.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'

/**
 * A late job is scheduled as if its goal were at this share of the span from its goal to its deadline. It thus stays behind
 * new jobs that can be in time for as long as possible, but still completes before its deadline. With a fixed delay after
 * the goal, late jobs with a long deadline would soon go before new ones and make these late as well.
 */
const LATE_GOAL_RATIO = 0.65
/** Limits that delay if jobs of a lower rank are waiting, so that the late job goes before them and is not refused or abandoned. */
const MAX_LATENESS_PENALTY_MS = 3000

/**
 * Share of its goal that a new job must have to spare to be regarded as in time, since throughput varies from second to
 * second. Without a margin, jobs at the limit become late after they were admitted, and are refused after a useless wait.
 */
const ADMISSION_MARGIN = 0.1

const NO_PIECES: ReadonlyMap<string, number> = new Map()

export class JobOrder {
  constructor (
    private readonly _workSpecs: ReadonlyMap<string, PieceWorkSpec>,
    private readonly _pool: PieceUpstreams,
    private readonly _forecastOptions: ForecastOptions = {}
  ) {}

  /** Returns the active jobs in scheduling order. Whether a job is late is taken from the latest forecast. */
  rank (jobs: Iterable<JobState>, now: number): readonly JobState[] {
    const activeJobs = [...jobs].filter(state => state.isActive)
    const lowestRank = findLowestRank(activeJobs)
    return activeJobs
      .map(state => ({ state, score: this._scoreOnTime(state, now) + (state.isLate ? computeLatenessPenaltyMs(state, lowestRank) : 0) }))
      .sort((a, b) => a.score - b.score)
      .map(({ state }) => state)
  }

  /** Forecasts all active jobs; the margin for admission and the reserved pieces apply to `newJob` only. */
  forecast (jobs: Iterable<JobState>, capacities: ReadonlyMap<string, RoleCapacity>, now: number, newJob?: JobState, reservedPieces: ReadonlyMap<string, number> = NO_PIECES): readonly JobForecast[] {
    const activeJobs = [...jobs].filter(state => state.isActive)
    const lowestRank = findLowestRank(activeJobs)
    const entries = activeJobs
      .map(state => ({ state, remainingMs: this._estimateMinimumMs(state) + (state === newJob ? computeAdmissionMarginMs(state) : 0), latenessPenaltyMs: computeLatenessPenaltyMs(state, lowestRank), score: this._scoreOnTime(state, now) }))
      .sort((a, b) => a.score - b.score)
    return forecastJobs(entries, capacities, now, this._forecastOptions, newJob === undefined ? undefined : { state: newJob, reservedPieces })
  }

  /** Estimates the remaining time of a job from the usual call durations, the request itself included. */
  estimateRemainingMs (state: JobState, now: number): number {
    return state.expectedRequestMs + state.estimateStagesMs((role, pieceCount) => {
      const work = this._workSpecs.get(role)
      return work === undefined ? 0 : this._pool.getRate(role).computeUsualCallMs(work, pieceCount, now)
    })
  }

  /** Returns the score of a job that can be in time; lower scores go first. A caller that returns at its reserved time has waited for its rank before. */
  private _scoreOnTime (state: JobState, now: number): number {
    return state.goalAt - this.estimateRemainingMs(state, now) + (state.isReturn ? 0 : state.job.rank * RANK_STEP_MS)
  }

  /**
   * Estimates the minimum remaining time of a job: its calls contain no pieces of other jobs. Jobs are classified as late by
   * this value, since usual call durations would classify urgent jobs as late that can still meet their goal.
   */
  private _estimateMinimumMs (state: JobState): number {
    return state.expectedRequestMs + state.estimateStagesMs((role, pieceCount) => {
      const work = this._workSpecs.get(role)
      return work === undefined ? 0 : computeCallMs(work, Math.min(pieceCount, work.maxPiecesPerCall))
    })
  }
}

/** Returns the time that a new job must have to spare to be regarded as in time. */
export function computeAdmissionMarginMs ({ job, admissionMarginMs }: JobState): number {
  return Math.max(ADMISSION_MARGIN * job.goalInMs, admissionMarginMs)
}

/** Returns the largest rank number: rank 0 is the most urgent. */
function findLowestRank (jobs: readonly JobState[]): number {
  return jobs.reduce((lowest, { job }) => Math.max(lowest, job.rank), 0)
}

function computeLatenessPenaltyMs ({ job, goalAt, deadlineAt, isReturn }: JobState, lowestRank: number): number {
  if (isReturn) return 0
  const latenessPenaltyMs = LATE_GOAL_RATIO * Math.max(0, deadlineAt - goalAt)
  return job.rank < lowestRank ? Math.min(MAX_LATENESS_PENALTY_MS, latenessPenaltyMs) : latenessPenaltyMs
}
