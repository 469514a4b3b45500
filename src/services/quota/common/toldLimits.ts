/**
 * Limits that other nodes told this one when they asked for a request. The owner of a quota may hear later than those who
 * ask it that an upstream is limited, and would give out any number until then.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { LimitSource } from './limitSource.ts'
import type { RateLimit } from './tokenBucket.ts'

/** A limit as it is told: the one who tells it has a clock of its own. */
export type ToldLimit = Pick<RateLimit, 'perS' | 'burst'>

/** Whoever is limited is asked for again and again while there is demand. */
const TOLD_MS = 1000

export class ToldLimits extends LimitSource {
  private readonly _told = new Map<string, RateLimit & { readonly until: number }>()

  constructor (private readonly _clock: IClock) {
    super()
  }

  note (upstream: string, { perS, burst }: ToldLimit): void {
    this._told.set(upstream, { perS, burst, until: this._clock.now() + TOLD_MS })
  }

  find ({ id }: UpstreamEntry): RateLimit | undefined {
    const told = this._told.get(id)
    if (told === undefined || this._clock.now() < told.until) return told
    this._told.delete(id)
    return undefined
  }

  drop (upstream: string): void {
    this._told.delete(upstream)
  }
}
