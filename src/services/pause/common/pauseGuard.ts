/**
 * Notices that the process was paused. A process that wakes up late still believes what it knew before,
 * so it reads anew before it sends any new work.
 */
import type { IClock } from '../../../base/common/clock.ts'

/** How often the process should look at the clock. */
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
  private readonly _maxGapMs: number
  private _lastSeenAt: number
  private _isStale = false
  private _pauses = 0

  constructor ({ clock, maxGapMs = DEFAULT_MAX_GAP_MS }: PauseGuardOptions) {
    this._clock = clock
    this._maxGapMs = maxGapMs
    this._lastSeenAt = clock.now()
  }

  /** Called by a timer, and again before anything is sent, since the timer may not have run yet after a pause. */
  observe (): void {
    const now = this._clock.now()
    if (now - this._lastSeenAt > this._maxGapMs) {
      this._isStale = true
      this._pauses++
    }
    this._lastSeenAt = now
  }

  /** Whether what the process knows may be from before a pause. */
  get isStale (): boolean {
    this.observe()
    return this._isStale
  }

  get pauseCount (): number {
    return this._pauses
  }

  /** What the process knows was read anew. */
  markRefreshed (): void {
    this._isStale = false
  }
}
