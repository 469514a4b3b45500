/**
 * Tracks which upstreams are likely to have which prompt prefixes in their prefix cache. Prefixes nest: two prompts that
 * differ in their second shared part may still have the first one in common.
 */

/** A prefix that several prompts have in common. */
export interface SharedPrefix {
  readonly key: string
  /** Tokens from the start of the prompt to the end of the prefix. */
  readonly tokens: number
}

/** Prefixes that were sent to an upstream, in the form that is exchanged between nodes. */
export interface PrefixEntry {
  readonly shared: readonly SharedPrefix[]
  readonly targetId: string
  readonly ageMs: number
}

/** An upstream and the number of tokens of a prompt in its cache. */
export interface PrefixHolder {
  readonly id: string
  readonly tokens: number
}

interface IndexedPrefix {
  readonly shared: readonly SharedPrefix[]
  readonly lastSentAt: Map<string, number>
}

/** A prefix that was not used for this long has probably been evicted by the upstream. */
const RETENTION_MS = 60_000
const MAX_PREFIXES = 5000

export class PrefixIndex {
  /** By key, the least recently used first. */
  private readonly _prefixes = new Map<string, IndexedPrefix>()

  /** Records that a prompt with these prefixes, the shortest first, was sent to an upstream. */
  add (shared: readonly SharedPrefix[], targetId: string, now: number): void {
    shared.forEach(({ key }, index) => {
      const indexed = this._prefixes.get(key) ?? { shared: shared.slice(0, index + 1), lastSentAt: new Map<string, number>() }
      this._prefixes.delete(key)
      this._prefixes.set(key, indexed)
      indexed.lastSentAt.set(targetId, Math.max(now, indexed.lastSentAt.get(targetId) ?? -Infinity))
    })
    while (this._prefixes.size > MAX_PREFIXES) this._evictOldest()
  }

  /** Returns the tokens of the longest prefix that the upstream most likely still has cached. */
  countCachedTokens (shared: readonly SharedPrefix[], targetId: string, now: number): number {
    return this._countLongest(shared, key => now - (this._prefixes.get(key)?.lastSentAt.get(targetId) ?? -Infinity) < RETENTION_MS)
  }

  /** Returns a candidate with the longest cached prefix. */
  findHolder (shared: readonly SharedPrefix[], candidateIds: ReadonlySet<string>, now: number): PrefixHolder | undefined {
    for (let index = shared.length - 1; index >= 0; index--) {
      const prefix = shared[index]
      if (prefix === undefined) continue
      for (const [id, sentAt] of this._prefixes.get(prefix.key)?.lastSentAt ?? []) if (candidateIds.has(id) && now - sentAt < RETENTION_MS) return { id, tokens: prefix.tokens }
    }
    return undefined
  }

  /** Whether one of the prefixes was sent to an upstream that is still known. */
  isKnown (shared: readonly SharedPrefix[]): boolean {
    return shared.some(({ key }) => (this._prefixes.get(key)?.lastSentAt.size ?? 0) > 0)
  }

  removeTarget (targetId: string): void {
    for (const { lastSentAt } of this._prefixes.values()) lastSentAt.delete(targetId)
  }

  /** Returns the most recently used entries, up to `maxCount`. */
  list (maxCount: number, now: number): readonly PrefixEntry[] {
    const entries = [...this._prefixes.values()].slice(-maxCount)
    return entries.flatMap(({ shared, lastSentAt }) => [...lastSentAt].map(([targetId, at]) => ({ shared, targetId, ageMs: Math.max(0, now - at) }))).slice(-maxCount)
  }

  private _countLongest (shared: readonly SharedPrefix[], isCached: (key: string) => boolean): number {
    for (let index = shared.length - 1; index >= 0; index--) {
      const prefix = shared[index]
      if (prefix !== undefined && isCached(prefix.key)) return prefix.tokens
    }
    return 0
  }

  private _evictOldest (): void {
    const [oldest] = this._prefixes.keys()
    if (oldest !== undefined) this._prefixes.delete(oldest)
  }
}
