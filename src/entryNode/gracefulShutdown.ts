/**
 * The graceful shutdown of a node: it stops accepting requests step by step and completes those in progress.
 */
import type { IClock } from '../base/common/clock.ts'
import { waitFor } from '../base/node/interval.ts'
import type { RelayServer } from '../services/relay/node/relayServer.ts'

export interface GracefulShutdownOptions {
  readonly clock: IClock
  readonly relay: RelayServer
  /** Number of connections that the node carries for its peers. */
  readonly countRelayed: () => number
  /** The process is killed after this time. */
  readonly graceMs: number
}

/** Requests of callers with cached addresses are accepted for this fraction of the grace time, which leaves time to complete them. */
const ACCEPT_FRACTION = 0.3
/** Callers with cached addresses arrive until about this fraction of the grace time; after ACCEPT_FRACTION they are redirected. */
const REDIRECT_FRACTION = 0.45
/** Requests not yet sent this long before the end would not be answered in time. */
const LAST_SEND_MARGIN_MS = 1200
/** The shutdown ends this long before the process would be killed. */
const KILL_MARGIN_MS = 400
/** Time for which the answers to requests that the end of the shutdown abandons are written. */
const FLUSH_MS = 200
const POLL_PERIOD_MS = 50

export class GracefulShutdown {
  private readonly _options: GracefulShutdownOptions
  private readonly _startedAt: number

  constructor (options: GracefulShutdownOptions) {
    this._options = options
    this._startedAt = options.clock.now()
  }

  /** Resolves when no request is in progress any more and all answers are on their way. Those in progress at the end are abandoned. */
  async run (): Promise<void> {
    const { relay, countRelayed, graceMs } = this._options
    const isIdle = () => relay.isIdle && countRelayed() === 0
    await this._waitUntil(graceMs * ACCEPT_FRACTION)
    relay.refuseNew()
    await this._waitUntil(graceMs * REDIRECT_FRACTION)
    relay.close()
    const endMs = this.abandonAfterMs
    await this._waitUntil(endMs - LAST_SEND_MARGIN_MS, isIdle)
    relay.refuseWaiting()
    await this._waitUntil(endMs, isIdle)
    relay.abandonRequests()
    await this._waitUntil(endMs + FLUSH_MS, () => relay.isIdle)
    relay.cutAnswers()
  }

  /** Requests in progress are abandoned this long after the start of the shutdown. */
  get abandonAfterMs (): number {
    return this._options.graceMs - KILL_MARGIN_MS
  }

  /** Milliseconds since the start of the shutdown. */
  get elapsedMs (): number {
    return this._options.clock.now() - this._startedAt
  }

  private async _waitUntil (ms: number, isDone = () => false): Promise<void> {
    while (this.elapsedMs < ms && !isDone()) await waitFor(POLL_PERIOD_MS)
  }
}
