/**
 * What calls usually take, by kind of stage, and how much slower than usual each upstream is.
 */

const MEAN_SMOOTHING = 0.1
/** The low mark falls fast and rises slowly, and so settles where about one call in ten is quicker. */
const LOW_FALL = 0.18
const LOW_RISE = 0.02
const SLOWNESS_SMOOTHING = 0.25
const DEFAULT_USUAL_MS = 20
/** An upstream that gets no calls is taken for usual again after some time, so that it is tried. */
const SLOWNESS_HALF_LIFE_MS = 10_000

interface Mean {
  readonly mean: number
  /** What few calls stay under. */
  readonly low: number
  /** Mean absolute deviation. */
  readonly deviation: number
}

interface Slowness {
  readonly ratio: number
  readonly at: number
}

export class LatencyBook {
  private readonly _means = new Map<string, Mean>()
  private readonly _slowness = new Map<string, Slowness>()

  record (stageKey: string, upstream: string, elapsedMs: number, now: number): void {
    const known = this._means.get(stageKey)
    const usual = known?.mean ?? elapsedMs
    const ratio = elapsedMs / Math.max(1, usual)
    const before = this.getSlowness(upstream, now)
    this._slowness.set(upstream, { ratio: before + SLOWNESS_SMOOTHING * (ratio - before), at: now })
    const deviation = known?.deviation ?? elapsedMs / 2
    const low = known?.low ?? elapsedMs
    this._means.set(stageKey, {
      mean: usual + MEAN_SMOOTHING * (elapsedMs - usual),
      low: low + (elapsedMs < low ? LOW_FALL : LOW_RISE) * (elapsedMs - low),
      deviation: deviation + MEAN_SMOOTHING * (Math.abs(elapsedMs - usual) - deviation)
    })
  }

  /** In milliseconds. */
  getUsual (stageKey: string): number {
    return this._means.get(stageKey)?.mean ?? DEFAULT_USUAL_MS
  }

  /** What only the quickest calls stay under, in milliseconds; 0 before any call. */
  getLow (stageKey: string): number {
    return this._means.get(stageKey)?.low ?? 0
  }

  /** What nearly all calls of the kind stay under, in milliseconds. */
  getHigh (stageKey: string): number {
    const known = this._means.get(stageKey)
    return known === undefined ? DEFAULT_USUAL_MS : known.mean + 3 * known.deviation
  }

  getSlowness (upstream: string, now: number): number {
    const known = this._slowness.get(upstream)
    if (known === undefined) return 1
    return 1 + (known.ratio - 1) * 0.5 ** ((now - known.at) / SLOWNESS_HALF_LIFE_MS)
  }
}
