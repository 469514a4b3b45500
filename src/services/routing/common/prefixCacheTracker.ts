/**
 * Tracks which prefixes the upstreams probably have in their caches. Cache events arrive late and with gaps, and entries are
 * evicted as the memory of an engine is limited, so the probability decays with time.
 */
const MAX_PREFIXES_PER_UPSTREAM = 512

export class PrefixCacheTracker {
  /** When the prefix was last used or reported, by upstream and prefix; least recently recorded first. */
  private readonly _lastSeenAt = new Map<string, Map<string, number>>()

  constructor (private readonly _halfLifeMs = 20_000) {}

  /** Records that a prefix was used at, or reported by, an upstream. */
  record (upstream: string, prefixKey: string, at: number): void {
    const prefixes = this._lastSeenAt.get(upstream) ?? new Map<string, number>()
    this._lastSeenAt.set(upstream, prefixes)
    const previousAt = prefixes.get(prefixKey)
    if (previousAt !== undefined && previousAt >= at) return
    prefixes.delete(prefixKey)
    prefixes.set(prefixKey, at)
    if (prefixes.size <= MAX_PREFIXES_PER_UPSTREAM) return
    const oldest = prefixes.keys().next().value
    if (oldest !== undefined) prefixes.delete(oldest)
  }

  /** From 0 to 1; halves with each half-life since the prefix was last seen. */
  getProbability (upstream: string, prefixKey: string, now: number): number {
    const at = this._lastSeenAt.get(upstream)?.get(prefixKey)
    return at === undefined ? 0 : 0.5 ** (Math.max(0, now - at) / this._halfLifeMs)
  }
}
