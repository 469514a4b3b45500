/**
 * How many calls this gate keeps open at one upstream.
 */

/** How a call went, as far as a limit cares. */
export type LimitSignal = 'ok' | 'slow' | 'busy' | 'failed'

export abstract class ConcurrencyLimiter {
  /** The most calls that may be open now. */
  abstract get limit (): number
  /** Takes in how a call went, with the calls that were open when it ended. */
  abstract record (signal: LimitSignal, inFlight: number): void
  /** Takes in what the upstream can hold and how many gates share it. */
  abstract setShare (capacity: number, liveGates: number): void
}

/** Baseline: the upstream's configured concurrency, whatever happens. */
export class FixedLimiter extends ConcurrencyLimiter {
  private _limit = 1

  get limit (): number {
    return this._limit
  }

  record (): void {}

  setShare (capacity: number): void {
    this._limit = Math.max(1, capacity)
  }
}

export interface AdaptiveLimiterOptions {
  /** How far above an equal share the limit starts and may grow, since the others' shares are often unused. */
  readonly lendFactor?: number
  readonly increase?: number
  readonly busyDecrease?: number
  readonly slowDecrease?: number
}

/**
 * Additive increase, multiplicative decrease around this gate's part of the upstream: a busy or slow upstream shrinks
 * the limit, use of the full limit grows it, and the bounds follow the number of live gates.
 */
export class AdaptiveLimiter extends ConcurrencyLimiter {
  private readonly _lendFactor: number
  private readonly _increase: number
  private readonly _busyDecrease: number
  private readonly _slowDecrease: number
  private _limit = 1
  private _maximum = 1
  private _capacity = 0
  private _liveGates = 0

  constructor (options: AdaptiveLimiterOptions = {}) {
    super()
    this._lendFactor = options.lendFactor ?? 3
    this._increase = options.increase ?? 0.5
    this._busyDecrease = options.busyDecrease ?? 0.7
    this._slowDecrease = options.slowDecrease ?? 0.9
  }

  get limit (): number {
    return Math.max(1, Math.floor(this._limit))
  }

  record (signal: LimitSignal, inFlight: number): void {
    if (signal === 'busy') this._limit *= this._busyDecrease
    else if (signal === 'slow' || signal === 'failed') this._limit *= this._slowDecrease
    else if (inFlight >= this.limit) this._limit += this._increase / this._limit
    this._limit = Math.min(this._maximum, Math.max(1, this._limit))
  }

  setShare (capacity: number, liveGates: number): void {
    if (capacity === this._capacity && liveGates === this._liveGates) return
    const isFirst = this._capacity === 0
    this._capacity = capacity
    this._liveGates = liveGates
    const equalShare = capacity / Math.max(1, liveGates)
    this._maximum = Math.max(1, Math.min(capacity, equalShare * this._lendFactor))
    this._limit = isFirst ? Math.max(1, Math.min(this._maximum, Math.ceil(equalShare))) : Math.min(this._limit, this._maximum)
  }
}
