/**
 * Refreshes the state of a process after a pause, or after its machine was suspended. A suspension is distinguished from a
 * change of the time of day by the clocks of peers, which continued to run. Only after a suspension is this process's clock
 * advanced, so that the age of its state is correct and requests whose callers have left time out.
 */
import type { ISuspendableClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { PAUSE_CHECK_PERIOD_MS } from '../common/pauseDetector.ts'
import type { PauseDetector } from '../common/pauseDetector.ts'

export interface PauseRecoveryOptions {
  readonly clock: ISuspendableClock
  readonly log: ILogService
  readonly detector: PauseDetector
  /** Queries the clocks of some peers; resolves when they have answered or failed to do so. */
  readonly comparePeerClocks: () => Promise<unknown>
  /** Reads the state that may have changed during the pause; resolves when this is done or has timed out. */
  readonly refreshState: () => Promise<unknown>
}

/** Message delay on busy hosts may change the measured offset of two clocks by this much. */
const CLOCK_TOLERANCE_MS = 500

export class PauseRecovery extends Disposable {
  private readonly _options: PauseRecoveryOptions
  private _isRecovering = false

  constructor (options: PauseRecoveryOptions) {
    super()
    this._options = options
  }

  start (): void {
    this._register(startInterval(PAUSE_CHECK_PERIOD_MS, () => this.checkForPause()))
  }

  /** Records that a peer's clock has gained on this one. This may be the first sign that this machine was suspended. */
  recordPeerClockGain (gainMs: number): void {
    const { clock, detector, log } = this._options
    if (gainMs < CLOCK_TOLERANCE_MS) return
    detector.checkClocks()
    const { timeOfDayJumpMs } = detector
    if (timeOfDayJumpMs === 0 || Math.abs(gainMs - timeOfDayJumpMs) > CLOCK_TOLERANCE_MS) return
    clock.addSuspendedTime(timeOfDayJumpMs)
    detector.clearTimeOfDayJump()
    log.warn('suspended', { for_ms: Math.round(timeOfDayJumpMs), peer_gain_ms: Math.round(gainMs) })
    this.checkForPause()
  }

  /** Starts the recovery if a pause was detected. */
  checkForPause (): void {
    const { detector, log } = this._options
    if (!detector.isStale || this._isRecovering) return
    this._isRecovering = true
    log.warn('paused', { pauses: detector.pauseCount, time_of_day_jump_ms: Math.round(detector.timeOfDayJumpMs) })
    void this._completeRecovery()
  }

  private async _completeRecovery (): Promise<void> {
    const { detector, log, comparePeerClocks, refreshState } = this._options
    await Promise.all([detector.timeOfDayJumpMs > 0 ? comparePeerClocks() : undefined, refreshState()])
    if (detector.timeOfDayJumpMs > 0) {
      log.info('time_of_day_set', { ahead_ms: Math.round(detector.timeOfDayJumpMs) })
      detector.clearTimeOfDayJump()
    }
    this._isRecovering = false
    detector.markRefreshed()
  }
}
