/**
 * Checks right before a request is written that its upstream still accepts work. The state may have changed since the
 * upstream was chosen, while the request was prepared, waited for a quota, or waited for a connection.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IBackoffService } from '../../backoff/common/backoff.ts'
import { formatPosition } from '../../feed/common/sourcePosition.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamRegistry } from '../common/upstreamRegistry.ts'

/** Why a request is not sent to an upstream. */
export type WithholdReason = 'gone' | 'leaving' | 'evacuated' | 'backingOff'

export interface SendGuardOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  /** Backoffs that upstreams asked for; not checked if missing. */
  readonly backoffs?: Pick<IBackoffService, 'beginSend'>
}

export class SendGuard {
  private readonly _options: SendGuardOptions
  private _withheldCount = 0

  constructor (options: SendGuardOptions) {
    this._options = options
  }

  /** Number of sends that were withheld since process start. */
  get withheldSendCount (): number {
    return this._withheldCount
  }

  /**
   * Returns whether the request may be sent; true is recorded as a send by the backoff service. `request` is the id to log,
   * the first one if a call contains several requests.
   */
  maySend (upstream: string, request: string): boolean {
    const obstacle = this._findWithholdReason(upstream)
    if (obstacle === undefined) return true
    const { clock, log, registry } = this._options
    const { revision, ageMs } = registry.computeFreshness(clock.now())
    this._withheldCount++
    log.info('send_withheld', { request, upstream, obstacle, known_revision: formatPosition(revision), known_age_ms: Math.round(ageMs) })
    return false
  }

  private _findWithholdReason (upstream: string): WithholdReason | undefined {
    const { registry, backoffs } = this._options
    const entry = registry.get(upstream)
    if (entry === undefined) return 'gone'
    if (entry.isLeaving) return 'leaving'
    if (!registry.isAvailable(entry)) return 'evacuated'
    return backoffs?.beginSend(upstream) === false ? 'backingOff' : undefined
  }
}
