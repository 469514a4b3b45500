/**
 * Passive health of one upstream: failing ones are ejected for a while, then probed with one call.
 */

export type HealthState = 'healthy' | 'ejected' | 'probing'

export abstract class HealthTracker {
  abstract getState (now: number): HealthState
  /** Until when the upstream is ejected, on the process's clock. */
  abstract get ejectedUntil (): number
  abstract record (isOk: boolean, now: number): void
}

/** Baseline: every upstream is healthy. */
export class TrustingTracker extends HealthTracker {
  readonly ejectedUntil = 0

  getState (): HealthState {
    return 'healthy'
  }

  record (): void {}
}

export interface EjectingTrackerOptions {
  /** Failures in a row that eject. */
  readonly maxFailuresInRow?: number
  /** The share of failed calls, smoothed, that ejects. */
  readonly maxFailureShare?: number
  /** The first ejection; each further one without a success between lasts twice as long. */
  readonly firstEjectionMs?: number
  readonly maxEjectionMs?: number
}

const SMOOTHING = 0.2
const MIN_SAMPLES = 6

export class EjectingTracker extends HealthTracker {
  private readonly _maxFailuresInRow: number
  private readonly _maxFailureShare: number
  private readonly _firstEjectionMs: number
  private readonly _maxEjectionMs: number
  private _failuresInRow = 0
  private _failureShare = 0
  private _samples = 0
  private _ejections = 0
  private _ejectedUntil = 0

  constructor (options: EjectingTrackerOptions = {}) {
    super()
    this._maxFailuresInRow = options.maxFailuresInRow ?? 3
    this._maxFailureShare = options.maxFailureShare ?? 0.4
    this._firstEjectionMs = options.firstEjectionMs ?? 1000
    this._maxEjectionMs = options.maxEjectionMs ?? 16_000
  }

  get ejectedUntil (): number {
    return this._ejectedUntil
  }

  getState (now: number): HealthState {
    if (this._ejectedUntil === 0) return 'healthy'
    return now < this._ejectedUntil ? 'ejected' : 'probing'
  }

  record (isOk: boolean, now: number): void {
    const state = this.getState(now)
    if (state === 'probing') return isOk ? this._restore() : this._eject(now)
    this._samples++
    this._failuresInRow = isOk ? 0 : this._failuresInRow + 1
    this._failureShare += SMOOTHING * ((isOk ? 0 : 1) - this._failureShare)
    if (state === 'ejected') return
    const failsOften = this._samples >= MIN_SAMPLES && this._failureShare > this._maxFailureShare
    if (this._failuresInRow >= this._maxFailuresInRow || failsOften) this._eject(now)
  }

  private _eject (now: number): void {
    this._ejectedUntil = now + Math.min(this._maxEjectionMs, this._firstEjectionMs * 2 ** this._ejections)
    this._ejections++
  }

  private _restore (): void {
    this._ejectedUntil = 0
    this._failuresInRow = 0
    this._failureShare = 0
    this._samples = 0
    // The next ejection stays long for an upstream that fails soon again.
    this._ejections = Math.max(0, this._ejections - 1)
  }
}
