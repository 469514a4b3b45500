/**
 * How a node ends as planned: callers are sent elsewhere step by step, and what runs is finished.
 */
import type { IClock } from '../base/common/clock.ts'
import { waitFor } from '../base/node/interval.ts'
import type { RelayServer } from '../services/relay/node/relayServer.ts'

export interface PlannedStopOptions {
  readonly clock: IClock
  readonly relay: RelayServer
  /** The process is ended by force after this. */
  readonly graceMs: number
}

/** Requests of callers that come with old answers are taken for this part of the grace time, so that they can end. */
const TAKE_SHARE = 0.3
/** Callers still come with old answers for about this part of the grace time, and are told to go elsewhere. */
const LINGER_SHARE = 0.45
/** What was not sent this long before the end would not be answered any more. */
const LAST_SEND_MS = 1200
/** The end is kept this far from the moment when the process would be ended by force. */
const STOP_MARGIN_MS = 400
const STOP_POLL_MS = 50

export class PlannedStop {
  private readonly _options: PlannedStopOptions
  private readonly _startedAt: number

  constructor (options: PlannedStopOptions) {
    this._options = options
    this._startedAt = options.clock.now()
  }

  /** Resolves when nothing is open any more, or the grace time is over. */
  async run (): Promise<void> {
    const { relay, graceMs } = this._options
    const isIdle = () => relay.activeRequestCount === 0
    await this._waitUntil(graceMs * TAKE_SHARE)
    relay.refuseNew()
    await this._waitUntil(graceMs * LINGER_SHARE)
    relay.close()
    const endMs = graceMs - STOP_MARGIN_MS
    await this._waitUntil(endMs - LAST_SEND_MS, isIdle)
    relay.refuseWaiting()
    await this._waitUntil(endMs, isIdle)
  }

  /** Milliseconds from the start of the stop. */
  get tookMs (): number {
    return this._options.clock.now() - this._startedAt
  }

  private async _waitUntil (ms: number, isDone = () => false): Promise<void> {
    while (this.tookMs < ms && !isDone()) await waitFor(STOP_POLL_MS)
  }
}
