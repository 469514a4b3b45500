/**
 * Passive health checking of one upstream: a failing upstream is ejected for some time, then probed with one call.
 */

export type HealthState = 'healthy' | 'ejected' | 'probing'

export abstract class HealthTracker {
  abstract getState (now: number): HealthState
  /** Until when the upstream is ejected, in milliseconds on this process's clock; 0 if it is healthy. */
  abstract get ejectedUntil (): number
  abstract record (isOk: boolean, now: number): void
}

/** Baseline for comparisons: considers every upstream healthy. */
export class AlwaysHealthyTracker extends HealthTracker {
  readonly ejectedUntil = 0

  getState (): HealthState {
    return 'healthy'
  }

  record (): void {}
}

export interface EjectingTrackerOptions {
  /** Number of consecutive failures that causes an ejection. */
  readonly maxConsecutiveFailures?: number
  /** Smoothed fraction of failed calls above which the upstream is ejected. */
  readonly maxFailureRate?: number
  /** Duration of the first ejection; each further one without a success in between lasts twice as long. */
  readonly firstEjectionMs?: number
  readonly maxEjectionMs?: number
}

const SMOOTHING_FACTOR = 0.2
const MIN_SAMPLES = 6

export class EjectingTracker extends HealthTracker {
  private readonly _maxConsecutiveFailures: number
  private readonly _maxFailureRate: number
  private readonly _firstEjectionMs: number
  private readonly _maxEjectionMs: number
  private _consecutiveFailures = 0
  private _failureRate = 0
  private _sampleCount = 0
  private _ejectionCount = 0
  private _ejectedUntil = 0

  constructor (options: EjectingTrackerOptions = {}) {
    super()
    this._maxConsecutiveFailures = options.maxConsecutiveFailures ?? 3
    this._maxFailureRate = options.maxFailureRate ?? 0.4
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
    this._sampleCount++
    this._consecutiveFailures = isOk ? 0 : this._consecutiveFailures + 1
    this._failureRate += SMOOTHING_FACTOR * ((isOk ? 0 : 1) - this._failureRate)
    if (state === 'ejected') return
    const hasHighFailureRate = this._sampleCount >= MIN_SAMPLES && this._failureRate > this._maxFailureRate
    if (this._consecutiveFailures >= this._maxConsecutiveFailures || hasHighFailureRate) this._eject(now)
  }

  private _eject (now: number): void {
    this._ejectedUntil = now + Math.min(this._maxEjectionMs, this._firstEjectionMs * 2 ** this._ejectionCount)
    this._ejectionCount++
  }

  private _restore (): void {
    this._ejectedUntil = 0
    this._consecutiveFailures = 0
    this._failureRate = 0
    this._sampleCount = 0
    // Decremented instead of reset, so that the next ejection stays long if the upstream soon fails again.
    this._ejectionCount = Math.max(0, this._ejectionCount - 1)
  }
}
