/**
 * Tracks by how much jobs complete later than was forecast when they were admitted. Calls that take longer than configured,
 * calls that are not full, and more urgent jobs that arrive later are not known to the forecast.
 */

interface ErrorStatistics {
  readonly meanMs: number
  readonly variance: number
  readonly recordedAt: number
}

/** Weight of the newest job: about 30 jobs are remembered, which a plan completes within a second or two under contention. */
const SMOOTHING_FACTOR = 0.03
/** Without new observations the margin shrinks, since jobs that it keeps out are not observed. */
const HALF_LIFE_MS = 3000
const NO_ERROR: ErrorStatistics = { meanMs: 0, variance: 0, recordedAt: 0 }

export class ForecastErrors {
  /** By the number of stages that a job runs one after the other, since each adds to the error. */
  private readonly _byDepth = new Map<number, ErrorStatistics>()

  /** Records how much later than forecast a job completed; negative if it was earlier. */
  record (depth: number, errorMs: number, now: number): void {
    const { meanMs, variance } = this._byDepth.get(depth) ?? NO_ERROR
    const deviationMs = errorMs - meanMs
    this._byDepth.set(depth, {
      meanMs: meanMs + SMOOTHING_FACTOR * deviationMs,
      variance: (1 - SMOOTHING_FACTOR) * (variance + SMOOTHING_FACTOR * deviationMs ** 2),
      recordedAt: now
    })
  }

  /** Returns the margin with which about five of six jobs complete in time: the mean error and one standard deviation. */
  computeMarginMs (depth: number, now: number): number {
    const { meanMs, variance, recordedAt } = this._byDepth.get(depth) ?? NO_ERROR
    return Math.max(0, meanMs + Math.sqrt(variance)) * 0.5 ** (Math.max(0, now - recordedAt) / HALF_LIFE_MS)
  }
}
