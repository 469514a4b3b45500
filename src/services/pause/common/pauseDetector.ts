/**
 * Detects that the process was paused or its machine suspended. The state of a process that resumes after a pause is
 * outdated, so it must be refreshed before any new work is sent.
 */
import type { IClock } from '../../../base/common/clock.ts'

/** How often a process should check the clocks. */
export const PAUSE_CHECK_PERIOD_MS = 50

const DEFAULT_MAX_GAP_MS = 750

export interface PauseDetectorOptions {
  readonly clock: IClock
  /** Returns the wall time in ms, which includes time that the monotonic clock leaves out while the machine is suspended. */
  readonly getTimeOfDay: () => number
  readonly maxGapMs?: number
}

export class PauseDetector {
  private readonly _clock: IClock
  private readonly _getTimeOfDay: () => number
  private readonly _maxGapMs: number
  private _lastCheckedAt: number
  private _lastOffsetMs: number
  private _isStale = false
  private _pauseCount = 0
  private _timeOfDayJumpMs = 0

  constructor ({ clock, getTimeOfDay, maxGapMs = DEFAULT_MAX_GAP_MS }: PauseDetectorOptions) {
    this._clock = clock
    this._getTimeOfDay = getTimeOfDay
    this._maxGapMs = maxGapMs
    this._lastCheckedAt = clock.now()
    this._lastOffsetMs = getTimeOfDay() - this._lastCheckedAt
  }

  /** To be called by a timer, and before anything is sent, since the timer may not have fired yet after a pause. */
  checkClocks (): void {
    const now = this._clock.now()
    const offsetMs = this._getTimeOfDay() - now
    const timeOfDayJumpMs = offsetMs - this._lastOffsetMs
    if (now - this._lastCheckedAt > this._maxGapMs || timeOfDayJumpMs > this._maxGapMs) {
      this._isStale = true
      this._pauseCount++
    }
    if (timeOfDayJumpMs > this._maxGapMs) this._timeOfDayJumpMs = timeOfDayJumpMs
    this._lastCheckedAt = now
    this._lastOffsetMs = offsetMs
  }

  /** Whether the state of the process may be from before a pause. */
  get isStale (): boolean {
    this.checkClocks()
    return this._isStale
  }

  get pauseCount (): number {
    return this._pauseCount
  }

  /**
   * By how many ms the wall time jumped ahead of the monotonic clock, until the jump is cleared; 0 if it did not. Either the
   * machine was suspended for that long, or the time of day was set.
   */
  get timeOfDayJumpMs (): number {
    return this._timeOfDayJumpMs
  }

  /** To be called when the cause of the jump is known or cannot be determined. */
  clearTimeOfDayJump (): void {
    this._timeOfDayJumpMs = 0
    this._lastCheckedAt = this._clock.now()
    this._lastOffsetMs = this._getTimeOfDay() - this._lastCheckedAt
  }

  /** To be called when the state of the process has been refreshed. */
  markRefreshed (): void {
    this._isStale = false
  }
}
