/**
 * How many calls this gate keeps open at one upstream.
 */

/** How a call went, as far as a limit cares. */
export type LimitSignal = 'ok' | 'slow' | 'busy' | 'failed'

/** What is known of an upstream when a call asks for room. */
export interface RoomInputs {
  /** Calls of this gate that are open now. */
  readonly inFlight: number
  /** Calls of all gates at the upstream: its report, and what is known to have changed since. */
  readonly backlog: number
  /** The call goes before others at the upstream, which honours priorities: it need not wait for the batch to empty. */
  readonly isPreferred?: boolean
}

export abstract class ConcurrencyLimiter {
  /** The most calls that may be open now, whatever the others do. */
  abstract get limit (): number
  /** How many calls this gate may have open, given what the others seem to have. */
  abstract computeRoom (inputs: RoomInputs): number
  /**
   * This gate's part of the upstream, in calls, waiting ones included: its equal part, or more where the others leave it
   * free. Calls over their usual time, waiting included, give the rate at which the gate is served.
   */
  abstract computePart (inputs: RoomInputs): number
  /** The part that no other gate can take away. */
  abstract get equalPart (): number
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

  get equalPart (): number {
    return this._limit
  }

  computeRoom (): number {
    return this._limit
  }

  computePart (): number {
    return this._limit
  }

  record (): void {}

  setShare (capacity: number): void {
    this._limit = Math.max(1, capacity)
  }
}

/** How much further an upstream is filled for calls that go before others there. */
const PREFERRED_FILL = 1

export interface AdaptiveLimiterOptions {
  readonly increase?: number
  readonly busyDecrease?: number
  readonly slowDecrease?: number
  /** How far above its capacity an upstream may seem filled; it keeps the batch full between reports. */
  readonly fill?: number
}

/**
 * A gate may use what the others leave free, as far as the reports tell, up to a limit that busy, slow and failed calls
 * shrink (additive increase, multiplicative decrease). Its equal part of a whole role is kept for it elsewhere, since a
 * part of a single upstream can be less than one call.
 */
export class AdaptiveLimiter extends ConcurrencyLimiter {
  private readonly _increase: number
  private readonly _busyDecrease: number
  private readonly _slowDecrease: number
  private readonly _fill: number
  private _limit = 1
  private _capacity = 0
  private _equalPart = 1

  constructor (options: AdaptiveLimiterOptions = {}) {
    super()
    this._increase = options.increase ?? 1
    this._busyDecrease = options.busyDecrease ?? 0.7
    this._slowDecrease = options.slowDecrease ?? 0.9
    this._fill = options.fill ?? 1.5
  }

  get limit (): number {
    return Math.max(1, Math.floor(this._limit))
  }

  computeRoom (inputs: RoomInputs): number {
    const others = Math.max(0, inputs.backlog - inputs.inFlight)
    const extra = inputs.isPreferred === true ? this._capacity * PREFERRED_FILL : 0
    const left = Math.floor(this._capacity * this._fill + extra - others)
    return Math.min(Math.floor(this.limit + extra), Math.max(0, left))
  }

  computePart (inputs: RoomInputs): number {
    const others = Math.max(0, inputs.backlog - inputs.inFlight)
    return Math.min(this._limit, Math.max(this._equalPart, this._capacity * this._fill - others))
  }

  get equalPart (): number {
    return Math.min(this._limit, this._equalPart)
  }

  record (signal: LimitSignal, inFlight: number): void {
    if (signal === 'busy') this._limit *= this._busyDecrease
    else if (signal === 'slow' || signal === 'failed') this._limit *= this._slowDecrease
    else if (inFlight >= this.limit) this._limit += this._increase / this._limit
    this._limit = Math.min(this._highest, Math.max(1, this._limit))
  }

  setShare (capacity: number, liveGates: number): void {
    this._equalPart = capacity * this._fill / Math.max(1, liveGates)
    if (capacity === this._capacity) return
    const isFirst = this._capacity === 0
    this._capacity = Math.max(1, capacity)
    this._limit = isFirst ? this._highest : Math.min(this._limit, this._highest)
  }

  private get _highest (): number {
    return Math.max(1, this._capacity * this._fill)
  }
}
