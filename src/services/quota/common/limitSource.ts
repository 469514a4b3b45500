/**
 * Why an upstream may get only so many requests a second from all nodes together.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimit } from './tokenBucket.ts'

export abstract class LimitSource {
  /** Undefined where the upstream accepts any number. */
  abstract find (entry: UpstreamEntry): RateLimit | undefined
}

/** An upstream that is limited to less gets a request now and then, or it could not take its word back. */
const MIN_PER_S = 0.25
/** With a burst, requests that come unevenly use up the rate. */
const STATED_BURST = 1.5
const STATED_BURST_S = 0.5

/** The upstream says so itself. */
export class StatedLimits extends LimitSource {
  constructor (private readonly _findStated: (upstream: string) => number | undefined) {
    super()
  }

  find ({ id }: UpstreamEntry): RateLimit | undefined {
    const stated = this._findStated(id)
    return stated === undefined ? undefined : { perS: Math.max(MIN_PER_S, stated), burst: STATED_BURST + stated * STATED_BURST_S }
  }
}

export interface ColdLimitsOptions {
  readonly clock: IClock
  /** What one cold upstream of a role may get in any second from all nodes together; Infinity where nothing bounds it. */
  readonly getBound: (role: string) => number
  /** All nodes that are known to this one, those included that cannot be reached. */
  readonly countKnown: () => number
  readonly countLive: () => number
}

/** What is sent within this time may arrive within a second: a connection that is slow to open holds some of it up. */
const ARRIVAL_WINDOW_S = 1.4
/** Two nodes may take themselves for the owner of a quota for a moment; together they keep the bound. */
const OWNER_SHARE = 0.45
const COLD_BURST = 2

/** The upstream has just started, or its caches are empty, and it collapses under more. */
export class ColdLimits extends LimitSource {
  private readonly _options: ColdLimitsOptions

  constructor (options: ColdLimitsOptions) {
    super()
    this._options = options
  }

  find ({ coldUntil = 0, role }: UpstreamEntry): RateLimit | undefined {
    const { clock, getBound, countKnown, countLive } = this._options
    if (coldUntil <= clock.now()) return undefined
    const bound = getBound(role)
    if (!Number.isFinite(bound)) return undefined
    // Parts of a fleet that cannot reach each other have an owner each, which gives out what its part is of the whole.
    const reach = Math.min(1, countLive() / Math.max(1, countKnown()))
    const inWindow = bound * OWNER_SHARE * reach
    const burst = Math.min(COLD_BURST, inWindow)
    return { burst, perS: (inWindow - burst) / ARRIVAL_WINDOW_S, until: coldUntil }
  }
}

/** The tightest of several limits. */
export class AllLimits extends LimitSource {
  constructor (private readonly _sources: readonly LimitSource[]) {
    super()
  }

  find (entry: UpstreamEntry): RateLimit | undefined {
    return this._sources.reduce<RateLimit | undefined>((tightest, source) => {
      const limit = source.find(entry)
      if (tightest === undefined || limit === undefined) return tightest ?? limit
      const until = limit.until === undefined || tightest.until === undefined ? undefined : Math.max(limit.until, tightest.until)
      return { perS: Math.min(limit.perS, tightest.perS), burst: Math.min(limit.burst, tightest.burst), until }
    }, undefined)
  }
}
