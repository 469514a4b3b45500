/**
 * Brings a process up to date after a pause, or after its machine was suspended. Whether it was suspended, or only the
 * time of day was set, is told by peers: their clocks went on. Only then does this process's clock follow, so that
 * everything that it knows is as old as it really is, and no caller is waited for who has left.
 */
import type { ISuspendableClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { PAUSE_CHECK_PERIOD_MS } from '../common/pauseGuard.ts'
import type { PauseGuard } from '../common/pauseGuard.ts'

export interface PauseRecoveryOptions {
  readonly clock: ISuspendableClock
  readonly log: ILogService
  readonly guard: PauseGuard
  /** Has some peers say what their clocks show; resolves when they have, or do not answer. */
  readonly comparePeers: () => Promise<unknown>
  /** Resolves when what may have changed meanwhile was read, or could not be in time. */
  readonly readAnew: () => Promise<unknown>
}

/** What the way of a message adds to the difference of two clocks, when hosts are busy. */
const TOLERANCE_MS = 500

export class PauseRecovery extends Disposable {
  private readonly _options: PauseRecoveryOptions
  private _isRecovering = false

  constructor (options: PauseRecoveryOptions) {
    super()
    this._options = options
  }

  start (): void {
    this._register(startInterval(PAUSE_CHECK_PERIOD_MS, () => this.observe()))
  }

  /** A peer's clock has gained on this one since the last time; it may be the first sign of a suspension. */
  noteGain (gainMs: number): void {
    const { clock, guard, log } = this._options
    if (gainMs < TOLERANCE_MS) return
    guard.observe()
    const { jumpMs } = guard
    if (jumpMs === 0 || Math.abs(gainMs - jumpMs) > TOLERANCE_MS) return
    clock.addSuspended(jumpMs)
    guard.settleJump()
    log.warn('suspended', { for_ms: Math.round(jumpMs), peer_gain_ms: Math.round(gainMs) })
    this.observe()
  }

  /** Begins to recover where there was a pause. */
  observe (): void {
    const { guard, log } = this._options
    if (!guard.isStale || this._isRecovering) return
    this._isRecovering = true
    log.warn('paused', { pauses: guard.pauseCount, time_of_day_jump_ms: Math.round(guard.jumpMs) })
    void this._catchUp()
  }

  private async _catchUp (): Promise<void> {
    const { guard, log, comparePeers, readAnew } = this._options
    await Promise.all([guard.jumpMs > 0 ? comparePeers() : undefined, readAnew()])
    if (guard.jumpMs > 0) {
      log.info('time_of_day_set', { ahead_ms: Math.round(guard.jumpMs) })
      guard.settleJump()
    }
    this._isRecovering = false
    guard.markRefreshed()
  }
}
