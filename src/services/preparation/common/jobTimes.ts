/**
 * How the time of a job was spent at its coordinator, for logs: a late request is explained by what it waited for.
 */

/** All in milliseconds; together they are the time from the job's arrival to its last result. */
export interface JobTimes {
  /** Until the first piece started. */
  readonly queuedMs: number
  /** While at least one piece was being made. */
  readonly madeMs: number
  /** Between stages: results were there, and nothing was being made. */
  readonly betweenMs: number
}

/** Follows one job from its arrival. */
export class JobClock {
  private _startedAt: number | undefined
  private _runningPieces = 0
  private _busySince = 0
  private _madeMs = 0

  constructor (private readonly _arrivedAt: number) {}

  recordStart (now: number): void {
    this._startedAt ??= now
    if (this._runningPieces++ === 0) this._busySince = now
  }

  recordEnd (now: number): void {
    if (--this._runningPieces === 0) this._madeMs += now - this._busySince
  }

  measure (now: number): JobTimes {
    const startedAt = this._startedAt ?? now
    const madeMs = this._madeMs + (this._runningPieces > 0 ? now - this._busySince : 0)
    return { queuedMs: startedAt - this._arrivedAt, madeMs, betweenMs: now - startedAt - madeMs }
  }
}
