/**
 * Sources of the rate limits that apply to an upstream across all nodes.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimit } from './tokenBucket.ts'

export abstract class RateLimitSource {
  /** Returns undefined if the source sets no limit for the upstream. */
  abstract findLimit (entry: UpstreamEntry): RateLimit | undefined
}

/**
 * Lower limit for stated rates. An upstream announces a new limit only in its answers, so one that stated 0 must still
 * receive a request from time to time to be able to raise it.
 */
const MIN_REQUESTS_PER_S = 0.25
/** The burst lets requests that arrive unevenly use the full rate: the base plus this many seconds' worth of the rate. */
const BASE_BURST = 1.5
const BURST_WINDOW_S = 0.5

export interface NodeCounts {
  /** Counts the nodes known to this one, including those that cannot be reached. */
  readonly countKnownNodes: () => number
  readonly countLiveNodes: () => number
}

/**
 * Returns the fraction of a limit of all nodes that an owner may grant. In a network partition, each side has its own owner,
 * which grants the fraction of the nodes on its side.
 */
export function computeReachableShare ({ countKnownNodes, countLiveNodes }: NodeCounts): number {
  return Math.min(1, countLiveNodes() / Math.max(1, countKnownNodes()))
}

export interface StatedLimitsOptions {
  readonly findStatedPerS: (upstream: string) => number | undefined
  /** Returns the fraction of a stated rate that this node may grant as an owner. */
  readonly computeShare?: () => number
}

/** Limits that upstreams state in their answers. */
export class StatedLimits extends RateLimitSource {
  private readonly _findStatedPerS: (upstream: string) => number | undefined
  private readonly _computeShare: () => number

  constructor ({ findStatedPerS, computeShare = () => 1 }: StatedLimitsOptions) {
    super()
    this._findStatedPerS = findStatedPerS
    this._computeShare = computeShare
  }

  findLimit ({ id }: UpstreamEntry): RateLimit | undefined {
    const statedPerS = this._findStatedPerS(id)
    if (statedPerS === undefined) return undefined
    const share = this._computeShare()
    // With a burst below 1, a bucket would never grant anything.
    return { perS: Math.max(MIN_REQUESTS_PER_S, statedPerS) * share, burst: Math.max(1, (BASE_BURST + statedPerS * BURST_WINDOW_S) * share), initialTokens: share }
  }
}

export interface ColdStartLimitsOptions extends NodeCounts {
  readonly clock: IClock
  /** The most requests that one cold upstream of a role may receive in any second from all nodes; Infinity for no limit. */
  readonly getMaxRequestsPerS: (role: string) => number
}

/** Requests sent within this span may arrive within one second, because slow connection setup delays some of them. */
export const ARRIVAL_WINDOW_S = 1.4
/** Two nodes may briefly both act as owner of a quota; with less than half of the limit each, they stay within it together. */
const OWNER_SHARE = 0.45
const MAX_COLD_BURST = 2

/** Limits for upstreams that have just started or have empty caches, which would be overloaded by more requests. */
export class ColdStartLimits extends RateLimitSource {
  private readonly _options: ColdStartLimitsOptions

  constructor (options: ColdStartLimitsOptions) {
    super()
    this._options = options
  }

  findLimit ({ coldUntil = 0, role }: UpstreamEntry): RateLimit | undefined {
    if (coldUntil <= this._options.clock.now()) return undefined
    const maxInWindow = this.computeMaxInWindow(role)
    if (maxInWindow === undefined) return undefined
    const burst = Math.min(MAX_COLD_BURST, maxInWindow)
    return { burst, perS: (maxInWindow - burst) / ARRIVAL_WINDOW_S, expiresAt: coldUntil }
  }

  /** The most requests that an owner may grant to a cold upstream within the arrival window; undefined if there is no limit. */
  computeMaxInWindow (role: string): number | undefined {
    const maxPerS = this._options.getMaxRequestsPerS(role)
    return Number.isFinite(maxPerS) ? maxPerS * OWNER_SHARE * computeReachableShare(this._options) : undefined
  }
}

/** Combines several sources: the lowest rate and the smallest burst apply. */
export class CombinedLimits extends RateLimitSource {
  constructor (private readonly _sources: readonly RateLimitSource[]) {
    super()
  }

  findLimit (entry: UpstreamEntry): RateLimit | undefined {
    return this._sources.reduce<RateLimit | undefined>((tightest, source) => {
      const limit = source.findLimit(entry)
      if (tightest === undefined || limit === undefined) return tightest ?? limit
      const expiresAt = limit.expiresAt === undefined || tightest.expiresAt === undefined ? undefined : Math.max(limit.expiresAt, tightest.expiresAt)
      const initialTokens = Math.min(limit.initialTokens ?? 1, tightest.initialTokens ?? 1)
      return { perS: Math.min(limit.perS, tightest.perS), burst: Math.min(limit.burst, tightest.burst), expiresAt, initialTokens }
    }, undefined)
  }
}
