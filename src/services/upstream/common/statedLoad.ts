/**
 * The load that an upstream states with its answers, and how slow it states to be.
 */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes relative to the usual time, 1 being usual; undefined if the upstream does not state it. */
  readonly slowness: number | undefined
}

/** Upstreams state new values many times per second, so a value says little after some hundred milliseconds. */
const HALF_LIFE_MS = 150
/** Older statements have no effect. */
export const MAX_STATEMENT_AGE_MS = 1000
/** Values beyond these are clamped: one wrong statement must neither attract all work nor extend timeouts without bound. */
const MIN_SLOWNESS = 0.25
const MAX_SLOWNESS = 10

/** The slowness that an upstream stated last, which decays towards 1 with age. */
export class StatedSlowness {
  private _value = 1
  private _statedAt = -Infinity

  record (value: number, now: number): void {
    this._value = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, value))
    this._statedAt = now
  }

  get (now: number): number {
    const ageMs = Math.max(0, now - this._statedAt)
    return ageMs > MAX_STATEMENT_AGE_MS ? 1 : 1 + (this._value - 1) * 0.5 ** (ageMs / HALF_LIFE_MS)
  }
}
