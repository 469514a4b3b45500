/**
 * Limits of upstreams that may have become cold without a node learning of it, because its source of upstreams is not current.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { RateLimitSource } from './rateLimitSource.ts'
import type { ColdStartLimits } from './rateLimitSource.ts'
import type { RateLimit } from './tokenBucket.ts'
import { ARRIVAL_DELAY_MS } from './unprovenGrants.ts'

const MS_PER_S = 1000

export interface UnconfirmedLimitsOptions {
  readonly clock: IClock
  /** Whether this node would learn at once from the source that an upstream has become cold. */
  readonly isSourceCurrent: () => boolean
  readonly coldStartLimits: ColdStartLimits
}

/** Limits upstreams that are not known to be cold, but may be. */
export class UnconfirmedLimits extends RateLimitSource {
  constructor (private readonly _options: UnconfirmedLimitsOptions) {
    super()
  }

  /** The rate is the highest that proofs allow; the owner of the quota grants less without them. */
  findLimit (entry: UpstreamEntry): RateLimit | undefined {
    const maxUnproven = this.findMaxUnproven(entry)
    return maxUnproven === undefined ? undefined : { perS: maxUnproven * MS_PER_S / ARRIVAL_DELAY_MS, burst: maxUnproven }
  }

  /** The most requests that may be granted to an upstream within the arrival window without a proof that it is warm. */
  findMaxUnproven (entry: UpstreamEntry): number | undefined {
    const { clock, isSourceCurrent, coldStartLimits } = this._options
    if (isSourceCurrent() || (entry.coldUntil ?? 0) > clock.now()) return undefined
    return coldStartLimits.computeMaxInWindow(entry.role)
  }
}
