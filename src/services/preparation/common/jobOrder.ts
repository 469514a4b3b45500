/**
 * In which order jobs go, and when each would be done.
 */
import { forecastJobs, RANK_MS } from './jobForecast.ts'
import type { JobForecast, RoleCapacity } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import { computeCallMs } from './pieceUpstream.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'

/**
 * A late job counts as one whose goal lies this far on the way to its deadline: behind new jobs that can be in time for
 * as long as its caller's patience allows, and early enough that it is still made. At a fixed 3 s after the goal, late
 * jobs of patient callers soon went before new ones and made these late as well: on 40 drawn deployments in virtual time
 * the least urgent kind earned 0.581 of its worth, with this 0.632, and the others no less.
 */
const LATE_GOAL_SHARE = 0.65
/**
 * At most so much later where lower ranks wait, so that it goes before these. At 6000 five days with faults earned 0.536
 * of their worth in place of 0.554 in the mean of one run each, since urgent late requests were refused or left.
 */
const MAX_LATE_MS = 3000
const HOPEFUL_LATE_MS = 400

/**
 * Rates vary from one second to the next. A new job counts as in time only with this part of its goal to spare; without,
 * jobs at the limit slipped behind after they had been taken, and were refused when their callers had waited in vain.
 * 40 drawn deployments earned 0.683 in virtual time without it, 0.695 with it.
 */
const ADMISSION_MARGIN = 0.1

export class JobOrder {
  constructor (private readonly _works: ReadonlyMap<string, PieceWorkSpec>, private readonly _pool: PieceUpstreams) {}

  /** Jobs whose pieces should be made, those first that should go first: late ones as when they were last forecast. */
  rank (jobs: Iterable<JobState>, now: number): readonly JobState[] {
    const wanted = [...jobs].filter(state => state.isWanted)
    const lowestRank = findLowestRank(wanted)
    return wanted
      .map(state => ({ state, score: this._scoreOnTime(state, now) + (state.isLate ? this._computeLateMs(state, lowestRank, now) : 0) }))
      .sort((a, b) => a.score - b.score)
      .map(({ state }) => state)
  }

  /** When each job would be done; a new one, if there is one among them, counts as in time only with time to spare. */
  forecast (jobs: Iterable<JobState>, capacities: ReadonlyMap<string, RoleCapacity>, now: number, newJob?: JobState): readonly JobForecast[] {
    const wanted = [...jobs].filter(state => state.isWanted)
    const lowestRank = findLowestRank(wanted)
    const entries = wanted
      .map(state => ({ state, remainingMs: this._estimateLeast(state) + (state === newJob ? ADMISSION_MARGIN * state.job.goalInMs : 0), lateMs: this._computeLateMs(state, lowestRank, now), score: this._scoreOnTime(state, now) }))
      .sort((a, b) => a.score - b.score)
    return forecastJobs(entries, capacities, now)
  }

  /** What a job still needs in calls as they usually are, the request itself included. */
  estimateRemaining (state: JobState, now: number): number {
    return state.requestMs + state.estimateStages((role, pieceCount) => {
      const work = this._works.get(role)
      return work === undefined ? 0 : this._pool.getRate(role).computeUsualCallMs(work, pieceCount, now)
    })
  }

  /**
   * How much later the goal of a job counts that is forecast to miss it. While it could still be met, only a little: the
   * forecast may be wrong, and a job that is put behind all others for it is late for certain.
   */
  private _computeLateMs (state: JobState, lowestRank: number, now: number): number {
    const lateMs = computeLateMs(state, lowestRank)
    return now + this._estimateLeast(state) <= state.goalAt ? Math.min(HOPEFUL_LATE_MS, lateMs) : lateMs
  }

  /** Lower goes first among jobs that can be in time. */
  private _scoreOnTime (state: JobState, now: number): number {
    return state.goalAt - this.estimateRemaining(state, now) + state.job.rank * RANK_MS
  }

  /**
   * As little as a job can still need: its own pieces alone in its calls. Lateness is judged by this: by usual calls,
   * urgent jobs that could make it were put behind, and five days with faults earned 0.50 of their worth in place of
   * 0.54 in the mean of one run each.
   */
  private _estimateLeast (state: JobState): number {
    return state.requestMs + state.estimateStages((role, pieceCount) => {
      const work = this._works.get(role)
      return work === undefined ? 0 : computeCallMs(work, Math.min(pieceCount, work.maxPiecesPerCall))
    })
  }
}

/** Ranks are numbered from the most urgent on. */
function findLowestRank (jobs: readonly JobState[]): number {
  return jobs.reduce((lowest, { job }) => Math.max(lowest, job.rank), 0)
}

function computeLateMs ({ job, goalAt, deadlineAt }: JobState, lowestRank: number): number {
  const lateMs = LATE_GOAL_SHARE * Math.max(0, deadlineAt - goalAt)
  return job.rank < lowestRank ? Math.min(MAX_LATE_MS, lateMs) : lateMs
}
