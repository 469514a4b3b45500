/**
 * The latest rate limit that each upstream instance has stated, whichever node received it. Statements may arrive more than
 * once, late and out of order; the one whose answer was received last applies.
 */
export interface ObservedRateLimit {
  readonly upstream: string
  /** Requests per second; undefined if there is no limit. */
  readonly perS: number | undefined
  /** When the answer was received, in ms on this process's clock. */
  readonly observedAt: number
}

/** Upstream instances that are tracked; the oldest entry is evicted first. */
const MAX_TRACKED_UPSTREAMS = 2000

export class RateLimitTable {
  private readonly _latest = new Map<string, ObservedRateLimit>()

  /** Returns false if a later statement of the same upstream is known already. */
  record (observed: ObservedRateLimit): boolean {
    const previous = this._latest.get(observed.upstream)
    if (previous !== undefined && observed.observedAt < previous.observedAt) return false
    this._latest.set(observed.upstream, observed)
    if (this._latest.size > MAX_TRACKED_UPSTREAMS) for (const oldest of [...this._latest.keys()].slice(0, 1)) this._latest.delete(oldest)
    return true
  }

  get (upstream: string): ObservedRateLimit | undefined {
    return this._latest.get(upstream)
  }

  /** Returns the limit in requests per second, or undefined if none is known. */
  findLimit (upstream: string): number | undefined {
    return this._latest.get(upstream)?.perS
  }

  /** Lists the limits in force, without the upstreams that stated that they have none. */
  listLimits (): readonly ObservedRateLimit[] {
    return [...this._latest.values()].filter(({ perS }) => perS !== undefined)
  }
}
