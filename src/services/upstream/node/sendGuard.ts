/**
 * Asked right before anything is written to an upstream: what was true when it was chosen may have changed while the
 * request was prepared, waited for a quota, or waited for a connection.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IBackoffService } from '../../backoff/common/backoff.ts'
import { formatPosition } from '../../feed/common/sourcePosition.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamRegistry } from '../common/upstreamRegistry.ts'

/** Why nothing is sent to an upstream. */
export type SendObstacle = 'gone' | 'leaving' | 'evacuated' | 'backingOff'

export interface SendGuardOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  /** Pauses that upstreams asked for; none without it. */
  readonly backoffs?: Pick<IBackoffService, 'beginSend'>
}

export class SendGuard {
  private readonly _options: SendGuardOptions
  private _withheldCount = 0

  constructor (options: SendGuardOptions) {
    this._options = options
  }

  /** Sends that were held back since the start. */
  get withheldCount (): number {
    return this._withheldCount
  }

  /** What may be sent counts as sent. The log names the request, or the first one of a call. */
  maySend (upstream: string, request: string): boolean {
    const obstacle = this._findObstacle(upstream)
    if (obstacle === undefined) return true
    const { clock, log, registry } = this._options
    const { revision, ageMs } = registry.computeAge(clock.now())
    this._withheldCount++
    log.info('send_withheld', { request, upstream, obstacle, known_revision: formatPosition(revision), known_age_ms: Math.round(ageMs) })
    return false
  }

  private _findObstacle (upstream: string): SendObstacle | undefined {
    const { registry, backoffs } = this._options
    const entry = registry.get(upstream)
    if (entry === undefined) return 'gone'
    if (entry.isLeaving) return 'leaving'
    if (!registry.mayUse(entry)) return 'evacuated'
    return backoffs?.beginSend(upstream) === false ? 'backingOff' : undefined
  }
}
