/**
 * Limits that other nodes reported along with their quota queries. The owner of a quota may learn of an upstream's limit
 * later than the nodes that query it, and would grant any number of requests until then.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { LimitSource } from './limitSource.ts'
import type { RateLimit } from './tokenBucket.ts'

/** A limit as it is sent, without its end: the clocks of two nodes cannot be compared. */
export type ToldLimit = Pick<RateLimit, 'perS' | 'burst'>

/** Nodes query a limited upstream's quota repeatedly while there is demand, so that each report is soon renewed. */
const REPORT_LIFETIME_MS = 1000

export class ToldLimits extends LimitSource {
  private readonly _latest = new Map<string, RateLimit & { readonly until: number }>()

  constructor (private readonly _clock: IClock) {
    super()
  }

  note (upstream: string, { perS, burst }: ToldLimit): void {
    this._latest.set(upstream, { perS, burst, until: this._clock.now() + REPORT_LIFETIME_MS })
  }

  find ({ id }: UpstreamEntry): RateLimit | undefined {
    const reported = this._latest.get(id)
    if (reported === undefined || this._clock.now() < reported.until) return reported
    this._latest.delete(id)
    return undefined
  }

  drop (upstream: string): void {
    this._latest.delete(upstream)
  }
}
