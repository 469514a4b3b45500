/**
 * Whether a request that was written to an upstream may still arrive there. An upstream that does not read, or a link that
 * holds bytes up, receives it later than it was written, possibly after the attempt was given up.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { Event } from '../../../base/common/event.ts'

export interface IAttemptArrival {
  readonly isSettled: boolean
  /** Fires once, when the request has arrived or never will. */
  readonly onDidSettle: Event<void>
}

export class AttemptArrival implements IAttemptArrival {
  private _isSettled = false
  private readonly _onDidSettle = new Emitter<void>()
  readonly onDidSettle = this._onDidSettle.event

  get isSettled (): boolean {
    return this._isSettled
  }

  settle (): void {
    if (this._isSettled) return
    this._isSettled = true
    this._onDidSettle.fire()
    this._onDidSettle.dispose()
  }
}
