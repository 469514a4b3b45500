/**
 * Moving estimates of call durations per stage key, and of how long calls take at each upstream relative to the mean.
 */

const MEAN_SMOOTHING = 0.1
/** The low estimate falls fast and rises slowly, so that it converges to a duration that about one call in ten undercuts. */
const LOW_FALL_SMOOTHING = 0.18
const LOW_RISE_SMOOTHING = 0.02
const SLOWNESS_SMOOTHING = 0.25
const DEFAULT_MEAN_MS = 20
/** Slowness decays towards 1, so that a slow upstream that receives no calls is chosen again after some time. */
const SLOWNESS_HALF_LIFE_MS = 10_000

interface LatencyEstimate {
  readonly meanMs: number
  /** A duration that few calls undercut. */
  readonly lowMs: number
  /** Mean absolute deviation. */
  readonly deviationMs: number
}

interface SlownessEstimate {
  /** Duration relative to the mean of the stage key. */
  readonly ratio: number
  readonly updatedAt: number
}

export class LatencyTracker {
  private readonly _estimates = new Map<string, LatencyEstimate>()
  private readonly _slowness = new Map<string, SlownessEstimate>()

  record (stageKey: string, upstream: string, elapsedMs: number, now: number): void {
    const previous = this._estimates.get(stageKey)
    const meanMs = previous?.meanMs ?? elapsedMs
    const ratio = elapsedMs / Math.max(1, meanMs)
    const slowness = this.getSlowness(upstream, now)
    this._slowness.set(upstream, { ratio: slowness + SLOWNESS_SMOOTHING * (ratio - slowness), updatedAt: now })
    const deviationMs = previous?.deviationMs ?? elapsedMs / 2
    const lowMs = previous?.lowMs ?? elapsedMs
    this._estimates.set(stageKey, {
      meanMs: meanMs + MEAN_SMOOTHING * (elapsedMs - meanMs),
      lowMs: lowMs + (elapsedMs < lowMs ? LOW_FALL_SMOOTHING : LOW_RISE_SMOOTHING) * (elapsedMs - lowMs),
      deviationMs: deviationMs + MEAN_SMOOTHING * (Math.abs(elapsedMs - meanMs) - deviationMs)
    })
  }

  /** Mean duration of the calls of a stage key, in milliseconds; 20 before the first one. */
  getMeanMs (stageKey: string): number {
    return this._estimates.get(stageKey)?.meanMs ?? DEFAULT_MEAN_MS
  }

  /** A duration that only the fastest calls of a stage key undercut, in milliseconds; 0 before the first one. */
  getLowMs (stageKey: string): number {
    return this._estimates.get(stageKey)?.lowMs ?? 0
  }

  /** A duration that nearly all calls of a stage key stay under, in milliseconds: the mean plus three mean absolute deviations. */
  getHighMs (stageKey: string): number {
    const estimate = this._estimates.get(stageKey)
    return estimate === undefined ? DEFAULT_MEAN_MS : estimate.meanMs + 3 * estimate.deviationMs
  }

  /** How long calls take at the upstream relative to the mean of their stage key; 1 for an average or unknown upstream. */
  getSlowness (upstream: string, now: number): number {
    const estimate = this._slowness.get(upstream)
    if (estimate === undefined) return 1
    return 1 + (estimate.ratio - 1) * 0.5 ** ((now - estimate.updatedAt) / SLOWNESS_HALF_LIFE_MS)
  }
}
