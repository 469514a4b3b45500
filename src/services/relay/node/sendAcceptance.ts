/**
 * Reports to the throttle whether an upstream accepted a request that was written to it. Refusals arrive at once, while the
 * answer of an accepted request may take much longer.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { TRIAL_TIMEOUT_MS } from '../../backoff/common/backoffTable.ts'
import { isRefusedForRoom } from '../common/attemptDecision.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import type { PreparationThrottle } from '../common/preparationThrottle.ts'

export interface SendAcceptanceOptions {
  readonly clock: IClock
  readonly throttle: PreparationThrottle
  readonly role: string
}

export class SendAcceptance {
  private readonly _options: SendAcceptanceOptions
  private readonly _timer: IDisposable
  private _isReported = false

  /** To be created when the request is written. */
  constructor (options: SendAcceptanceOptions) {
    this._options = options
    this._timer = options.clock.schedule(TRIAL_TIMEOUT_MS, () => this._report(true))
  }

  /** Reports how the attempt ended, unless the upstream has accepted the request before. */
  end (outcome: AttemptOutcome): void {
    this._timer.dispose()
    if (isRefusedForRoom(outcome)) this._report(false)
    else if (outcome.kind === 'delivered' || outcome.kind === 'failed') this._report(true)
  }

  private _report (isAccepted: boolean): void {
    if (this._isReported) return
    this._isReported = true
    this._options.throttle.recordSend(this._options.role, isAccepted)
  }
}
