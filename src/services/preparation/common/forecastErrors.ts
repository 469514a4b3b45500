/**
 * Tracks by how much jobs complete later than was forecast when they were admitted. Calls that take longer than configured,
 * calls that are not full, and more urgent jobs that arrive later are not known to the forecast.
 */

/** Jobs whose forecasts err for the same reasons. */
export interface JobClass {
  readonly rank: number
  /** The number of stages that a job runs one after the other. */
  readonly depth: number
}

interface MeanError {
  readonly meanMs: number
  readonly recordedAt: number
}

/** Weight of the newest job: about 30 jobs are remembered, which a plan completes within a second or two under contention. */
const SMOOTHING_FACTOR = 0.03
/** Without new observations the margin shrinks, since jobs that it keeps out are not observed. */
const HALF_LIFE_MS = 3000
const NO_ERROR: MeanError = { meanMs: 0, recordedAt: 0 }

export class ForecastErrors {
  /** By rank, then by the number of stages that a job runs one after the other: each adds to the error, as do more urgent jobs that arrive later. */
  private readonly _byRank = new Map<number, Map<number, MeanError>>()

  /** Records how much later than forecast a job completed; negative if it was earlier. */
  record ({ rank, depth }: JobClass, errorMs: number, now: number): void {
    const byDepth = this._byRank.get(rank) ?? new Map<number, MeanError>()
    this._byRank.set(rank, byDepth)
    const { meanMs } = byDepth.get(depth) ?? NO_ERROR
    byDepth.set(depth, { meanMs: meanMs + SMOOTHING_FACTOR * (errorMs - meanMs), recordedAt: now })
  }

  /** Returns the mean error. A larger margin would refuse jobs that are more likely in time than late. */
  computeMarginMs ({ rank, depth }: JobClass, now: number): number {
    const { meanMs, recordedAt } = this._byRank.get(rank)?.get(depth) ?? NO_ERROR
    return Math.max(0, meanMs) * 0.5 ** (Math.max(0, now - recordedAt) / HALF_LIFE_MS)
  }
}
