/**
 * Limits what an upstream is sent after the last proof that it was warm. While the source of upstreams is not current, any
 * upstream may become cold without a node learning of it, and requests that it was sent since then may be too many for it.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { ARRIVAL_WINDOW_S, RateLimitSource } from './rateLimitSource.ts'
import type { ColdStartLimits } from './rateLimitSource.ts'
import type { RateLimit } from './tokenBucket.ts'

const MS_PER_S = 1000
const WINDOW_MS = ARRIVAL_WINDOW_S * MS_PER_S
/** A request may reach its upstream this long after it was granted, and thus after a proof that was requested later. */
const ARRIVAL_DELAY_MS = 50

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
    if ((entry.coldUntil ?? 0) > clock.now()) return undefined
    const maxInWindow = coldStartLimits.computeMaxInWindow(entry.role)
    return maxInWindow === undefined || isSourceCurrent() ? undefined : maxInWindow
  }
}

interface GrantHistory {
  /** Grants within the arrival window that no proof covers, oldest first, in milliseconds on this process's clock. */
  readonly grantedAt: readonly number[]
  /** When the last proof was requested: the upstream was warm then or later. */
  readonly provenAt: number
}

const NO_GRANTS: GrantHistory = { grantedAt: [], provenAt: -Infinity }

/** The grants of a quota's owner to upstreams that may be cold. */
export class UnprovenGrants {
  private readonly _byUpstream = new Map<string, GrantHistory>()

  /** Returns whether one more request may be granted now, and records it if so. */
  tryGrant (upstream: string, maxUnproven: number, now: number): boolean {
    const history = this._getHistory(upstream)
    const grantedAt = listUnproven(history, now)
    if (grantedAt.length + 1 > maxUnproven) return false
    this._byUpstream.set(upstream, { ...history, grantedAt: [...grantedAt, now] })
    return true
  }

  /** Whether so many grants are not covered by a proof that another one should be requested. */
  isProofNeeded (upstream: string, maxUnproven: number, now: number): boolean {
    return listUnproven(this._getHistory(upstream), now).length * 2 >= maxUnproven
  }

  recordProof (upstream: string, requestedAt: number): void {
    const history = this._getHistory(upstream)
    this._byUpstream.set(upstream, { ...history, provenAt: Math.max(history.provenAt, requestedAt) })
  }

  /** Whether the upstream was warm after all requests granted before a time had arrived. */
  isProvenSince (upstream: string, time: number): boolean {
    return this._getHistory(upstream).provenAt >= time + ARRIVAL_DELAY_MS
  }

  remove (upstream: string): void {
    this._byUpstream.delete(upstream)
  }

  clear (): void {
    this._byUpstream.clear()
  }

  private _getHistory (upstream: string): GrantHistory {
    return this._byUpstream.get(upstream) ?? NO_GRANTS
  }
}

function listUnproven ({ grantedAt, provenAt }: GrantHistory, now: number): readonly number[] {
  const from = Math.max(now - WINDOW_MS, provenAt - ARRIVAL_DELAY_MS)
  return grantedAt.filter(at => at > from)
}
