/**
 * Breaks down the time of a job at its coordinator, to explain late requests in the logs.
 */

/** The sum is the time from the job's arrival to its last result. */
export interface JobTimes {
  /** Until the first piece started. */
  readonly queuedMs: number
  /** While at least one piece was running. */
  readonly madeMs: number
  /** Between stages: no piece was running after the first one had started. */
  readonly betweenMs: number
}

/** Measures one job from its arrival. */
export class JobTimer {
  private _startedAt: number | undefined
  private _runningPieces = 0
  private _runningSince = 0
  private _runningMs = 0

  constructor (private readonly _arrivedAt: number) {}

  recordStart (now: number): void {
    this._startedAt ??= now
    if (this._runningPieces++ === 0) this._runningSince = now
  }

  recordEnd (now: number): void {
    if (--this._runningPieces === 0) this._runningMs += now - this._runningSince
  }

  measure (now: number): JobTimes {
    const startedAt = this._startedAt ?? now
    const madeMs = this._runningMs + (this._runningPieces > 0 ? now - this._runningSince : 0)
    return { queuedMs: startedAt - this._arrivedAt, madeMs, betweenMs: now - startedAt - madeMs }
  }
}
