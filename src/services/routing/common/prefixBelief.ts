/**
 * What a gate believes about prefixes cached at engines. Cache events come late and with gaps, and memory is limited,
 * so belief fades with time.
 */
const MAX_PREFIXES_PER_UPSTREAM = 512

export class PrefixBelief {
  /** When the gate last had a reason to believe it, by upstream and prefix. */
  private readonly _seenAt = new Map<string, Map<string, number>>()

  constructor (private readonly _halfLifeMs = 20_000) {}

  /** Takes in that a prefix was used or reported at an upstream. */
  record (upstream: string, prefixKey: string, at: number): void {
    const prefixes = this._seenAt.get(upstream) ?? new Map<string, number>()
    this._seenAt.set(upstream, prefixes)
    const known = prefixes.get(prefixKey)
    if (known !== undefined && known >= at) return
    prefixes.delete(prefixKey)
    prefixes.set(prefixKey, at)
    if (prefixes.size <= MAX_PREFIXES_PER_UPSTREAM) return
    const oldest = prefixes.keys().next().value
    if (oldest !== undefined) prefixes.delete(oldest)
  }

  /** From 0 to 1. */
  get (upstream: string, prefixKey: string, now: number): number {
    const at = this._seenAt.get(upstream)?.get(prefixKey)
    return at === undefined ? 0 : 0.5 ** (Math.max(0, now - at) / this._halfLifeMs)
  }
}
