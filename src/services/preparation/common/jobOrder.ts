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
 * as long as its caller's patience allows, and early enough that it is still made. With a fixed time after the goal, late
 * jobs of patient callers soon go before new ones and make these late as well.
 */
const LATE_GOAL_SHARE = 0.65
/** At most so much later where lower ranks wait, so that it goes before these and is not refused or left. */
const MAX_LATE_MS = 3000

/**
 * Rates vary from one second to the next. A new job counts as in time only with this part of its goal to spare; without,
 * jobs at the limit slip behind after they were taken, and are refused when their callers have waited in vain.
 */
const ADMISSION_MARGIN = 0.1

export class JobOrder {
  constructor (private readonly _works: ReadonlyMap<string, PieceWorkSpec>, private readonly _pool: PieceUpstreams) {}

  /** Jobs whose pieces should be made, those first that should go first: late ones as when they were last forecast. */
  rank (jobs: Iterable<JobState>, now: number): readonly JobState[] {
    const wanted = [...jobs].filter(state => state.isWanted)
    const lowestRank = findLowestRank(wanted)
    return wanted
      .map(state => ({ state, score: this._scoreOnTime(state, now) + (state.isLate ? computeLateMs(state, lowestRank) : 0) }))
      .sort((a, b) => a.score - b.score)
      .map(({ state }) => state)
  }

  /** When each job would be done; a new one, if there is one among them, counts as in time only with time to spare. */
  forecast (jobs: Iterable<JobState>, capacities: ReadonlyMap<string, RoleCapacity>, now: number, newJob?: JobState): readonly JobForecast[] {
    const wanted = [...jobs].filter(state => state.isWanted)
    const lowestRank = findLowestRank(wanted)
    const entries = wanted
      .map(state => ({ state, remainingMs: this._estimateLeast(state) + (state === newJob ? ADMISSION_MARGIN * state.job.goalInMs : 0), lateMs: computeLateMs(state, lowestRank), score: this._scoreOnTime(state, now) }))
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

  /** Lower goes first among jobs that can be in time. */
  private _scoreOnTime (state: JobState, now: number): number {
    return state.goalAt - this.estimateRemaining(state, now) + state.job.rank * RANK_MS
  }

  /**
   * As little as a job can still need: its own pieces alone in its calls. Lateness is judged by this: by usual calls,
   * urgent jobs that can make it would be put behind.
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
