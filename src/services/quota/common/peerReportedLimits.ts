/**
 * Limits that other nodes reported along with their quota queries. The owner of a quota may learn of an upstream's limit
 * later than the nodes that query it, and would grant any number of requests until then.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { RateLimitSource } from './rateLimitSource.ts'
import type { RateLimit } from './tokenBucket.ts'

/** A limit as it is sent, without its end: the clocks of two nodes cannot be compared. */
export type PeerReportedLimit = Pick<RateLimit, 'perS' | 'burst'>

/** Nodes query a limited upstream's quota repeatedly while there is demand, so that each report is soon renewed. */
const REPORT_LIFETIME_MS = 1000

export class PeerReportedLimits extends RateLimitSource {
  private readonly _latest = new Map<string, RateLimit & { readonly expiresAt: number }>()

  constructor (private readonly _clock: IClock) {
    super()
  }

  record (upstream: string, { perS, burst }: PeerReportedLimit): void {
    this._latest.set(upstream, { perS, burst, expiresAt: this._clock.now() + REPORT_LIFETIME_MS })
  }

  findLimit ({ id }: UpstreamEntry): RateLimit | undefined {
    const reported = this._latest.get(id)
    if (reported === undefined || this._clock.now() < reported.expiresAt) return reported
    this._latest.delete(id)
    return undefined
  }

  remove (upstream: string): void {
    this._latest.delete(upstream)
  }
}
