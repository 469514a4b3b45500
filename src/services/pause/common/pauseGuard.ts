/**
 * Notices that the process was paused, or its machine suspended. A process that wakes up late still believes what it
 * knew before, so it reads anew before it sends any new work.
 */
import type { IClock } from '../../../base/common/clock.ts'

/** How often the process should look at the clocks. */
export const PAUSE_CHECK_PERIOD_MS = 50

const DEFAULT_MAX_GAP_MS = 750

export interface PauseGuardOptions {
  readonly clock: IClock
  /** Milliseconds by the time of day, which counts what the clock of a suspended machine leaves out. */
  readonly getTimeOfDay: () => number
  readonly maxGapMs?: number
}

export class PauseGuard {
  private readonly _clock: IClock
  private readonly _getTimeOfDay: () => number
  private readonly _maxGapMs: number
  private _lastSeenAt: number
  private _lastAheadMs: number
  private _isStale = false
  private _pauses = 0
  private _jumpMs = 0

  constructor ({ clock, getTimeOfDay, maxGapMs = DEFAULT_MAX_GAP_MS }: PauseGuardOptions) {
    this._clock = clock
    this._getTimeOfDay = getTimeOfDay
    this._maxGapMs = maxGapMs
    this._lastSeenAt = clock.now()
    this._lastAheadMs = getTimeOfDay() - this._lastSeenAt
  }

  /** Called by a timer, and again before anything is sent, since the timer may not have run yet after a pause. */
  observe (): void {
    const now = this._clock.now()
    const aheadMs = this._getTimeOfDay() - now
    const jumpMs = aheadMs - this._lastAheadMs
    if (now - this._lastSeenAt > this._maxGapMs || jumpMs > this._maxGapMs) {
      this._isStale = true
      this._pauses++
    }
    if (jumpMs > this._maxGapMs) this._jumpMs = jumpMs
    this._lastSeenAt = now
    this._lastAheadMs = aheadMs
  }

  /** Whether what the process knows may be from before a pause. */
  get isStale (): boolean {
    this.observe()
    return this._isStale
  }

  get pauseCount (): number {
    return this._pauses
  }

  /**
   * By how much the time of day went ahead of the clock at once, until that is settled; 0 where it did not. The machine
   * was suspended for so long, or somebody set the time of day.
   */
  get jumpMs (): number {
    return this._jumpMs
  }

  /** It is known which of the two it was, or cannot be found out. */
  settleJump (): void {
    this._jumpMs = 0
    this._lastSeenAt = this._clock.now()
    this._lastAheadMs = this._getTimeOfDay() - this._lastSeenAt
  }

  /** What the process knows was read anew. */
  markRefreshed (): void {
    this._isStale = false
  }
}
