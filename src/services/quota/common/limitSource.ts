/**
 * Sources of the rate limits that apply to an upstream across all nodes.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimit } from './tokenBucket.ts'

export abstract class LimitSource {
  /** Returns undefined if the source sets no limit for the upstream. */
  abstract find (entry: UpstreamEntry): RateLimit | undefined
}

/**
 * Lower limit for stated rates. An upstream announces a new limit only in its answers, so one that stated 0 must still
 * receive a request from time to time to be able to raise it.
 */
const MIN_REQUESTS_PER_S = 0.25
/** The burst lets requests that arrive unevenly use the full rate: the base plus this many seconds' worth of the rate. */
const BASE_BURST = 1.5
const BURST_WINDOW_S = 0.5

/** Limits that upstreams state in their answers. */
export class StatedLimits extends LimitSource {
  constructor (private readonly _findStatedPerS: (upstream: string) => number | undefined) {
    super()
  }

  find ({ id }: UpstreamEntry): RateLimit | undefined {
    const statedPerS = this._findStatedPerS(id)
    return statedPerS === undefined ? undefined : { perS: Math.max(MIN_REQUESTS_PER_S, statedPerS), burst: BASE_BURST + statedPerS * BURST_WINDOW_S }
  }
}

export interface ColdLimitsOptions {
  readonly clock: IClock
  /** The most requests that one cold upstream of a role may receive in any second from all nodes; Infinity for no limit. */
  readonly getBound: (role: string) => number
  /** Counts the nodes known to this one, including those that cannot be reached. */
  readonly countKnown: () => number
  readonly countLive: () => number
}

/** Requests sent within this span may arrive within one second, because slow connection setup delays some of them. */
const ARRIVAL_WINDOW_S = 1.4
/** Two nodes may briefly both act as owner of a quota; with less than half of the limit each, they stay within it together. */
const OWNER_SHARE = 0.45
const MAX_COLD_BURST = 2

/** Limits for upstreams that have just started or have empty caches, which would be overloaded by more requests. */
export class ColdLimits extends LimitSource {
  private readonly _options: ColdLimitsOptions

  constructor (options: ColdLimitsOptions) {
    super()
    this._options = options
  }

  find ({ coldUntil = 0, role }: UpstreamEntry): RateLimit | undefined {
    const { clock, getBound, countKnown, countLive } = this._options
    if (coldUntil <= clock.now()) return undefined
    const maxPerS = getBound(role)
    if (!Number.isFinite(maxPerS)) return undefined
    // In a network partition, each side has its own owner. An owner grants only the fraction of the limit that corresponds
    // to the fraction of nodes on its side.
    const reachableRatio = Math.min(1, countLive() / Math.max(1, countKnown()))
    const maxInWindow = maxPerS * OWNER_SHARE * reachableRatio
    const burst = Math.min(MAX_COLD_BURST, maxInWindow)
    return { burst, perS: (maxInWindow - burst) / ARRIVAL_WINDOW_S, until: coldUntil }
  }
}

/** Combines several sources: the lowest rate and the smallest burst apply. */
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
