/**
 * Limits the calls that this gate has in flight at one upstream.
 */

/** The outcome of a call, as an input for the limit. */
export type LimitSignal = 'ok' | 'slow' | 'busy' | 'failed'

/** The tracked state of an upstream when a call is to be started. */
export interface LimiterInputs {
  /** Calls of this gate that are in flight. */
  readonly inFlight: number
  /** Calls of all gates at the upstream: the number it last reported, corrected by the changes known since. */
  readonly backlog: number
  /** The upstream honours priorities and will run the call before others, so it need not wait for the current batch to end. */
  readonly isPreferred?: boolean
}

export abstract class ConcurrencyLimiter {
  /** The most calls that this gate may have in flight, regardless of the other gates. */
  abstract get limit (): number
  /** Returns how many calls this gate may have in flight, given the estimated calls of the other gates. */
  abstract computeAllowedCalls (inputs: LimiterInputs): number
  /**
   * Returns this gate's share of the upstream's capacity, in calls, queued ones included: an equal part of it, or more if
   * the other gates leave capacity unused. Divided by the usual duration of a call, time in the queue included, it gives the
   * rate at which the gate's calls are served.
   */
  abstract computeShare (inputs: LimiterInputs): number
  /** The part of the capacity, in calls, that is guaranteed to this gate whatever the other gates use. */
  abstract get equalShare (): number
  /** Records the outcome of a call, and the number of calls that were in flight when it ended. */
  abstract record (signal: LimitSignal, inFlight: number): void
  /** Sets the number of calls that the upstream can run at once, and the number of gates that share it. */
  abstract updateCapacity (capacity: number, liveGates: number): void
}

/** Baseline for comparison: always the upstream's configured concurrency. */
export class FixedLimiter extends ConcurrencyLimiter {
  private _limit = 1

  get limit (): number {
    return this._limit
  }

  get equalShare (): number {
    return this._limit
  }

  computeAllowedCalls (): number {
    return this._limit
  }

  computeShare (): number {
    return this._limit
  }

  record (): void {}

  updateCapacity (capacity: number): void {
    this._limit = Math.max(1, capacity)
  }
}

/** Extra calls allowed for preferred calls, as a fraction of the upstream's capacity. */
const PREFERRED_EXTRA_RATIO = 1

export interface AdaptiveLimiterOptions {
  readonly increase?: number
  readonly busyDecreaseFactor?: number
  readonly slowDecreaseFactor?: number
  /** Estimated calls allowed at an upstream, relative to its capacity. Values above 1 keep its batch full between reports. */
  readonly fillFactor?: number
}

/**
 * Lets a gate use the capacity that the others leave unused according to the upstream's reports, up to a limit that busy,
 * slow and failed calls reduce (additive increase, multiplicative decrease). The gate's equal part of the capacity of a role
 * is guaranteed by the pool, across upstreams, since its part of a single upstream can be less than one call.
 */
export class AdaptiveLimiter extends ConcurrencyLimiter {
  private readonly _increase: number
  private readonly _busyDecreaseFactor: number
  private readonly _slowDecreaseFactor: number
  private readonly _fillFactor: number
  private _limit = 1
  private _capacity = 0
  private _equalShare = 1

  constructor (options: AdaptiveLimiterOptions = {}) {
    super()
    this._increase = options.increase ?? 1
    this._busyDecreaseFactor = options.busyDecreaseFactor ?? 0.7
    this._slowDecreaseFactor = options.slowDecreaseFactor ?? 0.9
    this._fillFactor = options.fillFactor ?? 1.5
  }

  get limit (): number {
    return Math.max(1, Math.floor(this._limit))
  }

  computeAllowedCalls (inputs: LimiterInputs): number {
    const otherCalls = Math.max(0, inputs.backlog - inputs.inFlight)
    const preferredExtra = inputs.isPreferred === true ? this._capacity * PREFERRED_EXTRA_RATIO : 0
    const available = Math.floor(this._capacity * this._fillFactor + preferredExtra - otherCalls)
    return Math.min(Math.floor(this.limit + preferredExtra), Math.max(0, available))
  }

  computeShare (inputs: LimiterInputs): number {
    const otherCalls = Math.max(0, inputs.backlog - inputs.inFlight)
    return Math.min(this._limit, Math.max(this._equalShare, this._capacity * this._fillFactor - otherCalls))
  }

  get equalShare (): number {
    return Math.min(this._limit, this._equalShare)
  }

  record (signal: LimitSignal, inFlight: number): void {
    if (signal === 'busy') this._limit *= this._busyDecreaseFactor
    else if (signal === 'slow' || signal === 'failed') this._limit *= this._slowDecreaseFactor
    else if (inFlight >= this.limit) this._limit += this._increase / this._limit
    this._limit = Math.min(this._maxLimit, Math.max(1, this._limit))
  }

  updateCapacity (capacity: number, liveGates: number): void {
    this._equalShare = capacity * this._fillFactor / Math.max(1, liveGates)
    if (capacity === this._capacity) return
    const isFirst = this._capacity === 0
    this._capacity = Math.max(1, capacity)
    this._limit = isFirst ? this._maxLimit : Math.min(this._limit, this._maxLimit)
  }

  private get _maxLimit (): number {
    return Math.max(1, this._capacity * this._fillFactor)
  }
}
