/**
 * In which order jobs go, and when each would be done.
 */
import { forecastJobs, LATE_MS, RANK_MS } from './jobForecast.ts'
import type { JobForecast, RoleCapacity } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import { computeCallMs } from './pieceUpstream.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'

export class JobOrder {
  constructor (private readonly _works: ReadonlyMap<string, PieceWorkSpec>, private readonly _pool: PieceUpstreams) {}

  /** Jobs whose pieces should be made, those first that should go first: late ones as when they were last forecast. */
  rank (jobs: Iterable<JobState>, now: number): readonly JobState[] {
    return [...jobs]
      .filter(state => state.isWanted)
      .map(state => ({ state, score: this._scoreOnTime(state, now) + (state.isLate ? LATE_MS : 0) }))
      .sort((a, b) => a.score - b.score)
      .map(({ state }) => state)
  }

  /** When each job would be done. */
  forecast (jobs: Iterable<JobState>, capacities: ReadonlyMap<string, RoleCapacity>, now: number): readonly JobForecast[] {
    const entries = [...jobs]
      .filter(state => state.isWanted)
      .map(state => ({ state, remainingMs: this._estimateLeast(state), score: this._scoreOnTime(state, now) }))
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
