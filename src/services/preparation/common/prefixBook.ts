/**
 * Which upstreams have read which shared beginnings of prompts. Beginnings nest: two prompts that differ in their second
 * shared part may still have the first one in common.
 */

/** A beginning that other prompts have as well. */
export interface SharedPrefix {
  /** Tells it apart from other beginnings. */
  readonly key: string
  /** Tokens from the start of the prompt to the end of this beginning. */
  readonly tokens: number
}

/** What one upstream was sent, for another book. */
export interface PrefixNote {
  readonly shared: readonly SharedPrefix[]
  readonly targetId: string
  readonly ageMs: number
}

/** An upstream and the tokens that it keeps of a prompt. */
export interface PrefixKeeper {
  readonly id: string
  readonly tokens: number
}

interface HeldNote {
  readonly shared: readonly SharedPrefix[]
  readonly readAt: Map<string, number>
}

/** What was read so long ago and not used since has probably given way. */
const KEPT_MS = 60_000
const MAX_PREFIXES = 5000

export class PrefixBook {
  /** By key, the one unused for longest first. */
  private readonly _notes = new Map<string, HeldNote>()

  /** An upstream was sent a prompt with these beginnings, the shortest first. */
  add (shared: readonly SharedPrefix[], targetId: string, now: number): void {
    shared.forEach(({ key }, index) => {
      const held = this._notes.get(key) ?? { shared: shared.slice(0, index + 1), readAt: new Map<string, number>() }
      this._notes.delete(key)
      this._notes.set(key, held)
      held.readAt.set(targetId, Math.max(now, held.readAt.get(targetId) ?? -Infinity))
    })
    while (this._notes.size > MAX_PREFIXES) this._dropOldest()
  }

  /** Tokens of the longest beginning that the upstream still keeps. */
  countKept (shared: readonly SharedPrefix[], targetId: string, now: number): number {
    return this._countLongest(shared, key => now - (this._notes.get(key)?.readAt.get(targetId) ?? -Infinity) < KEPT_MS)
  }

  /** The other upstream that keeps most, of those that may be asked. */
  findKeeper (shared: readonly SharedPrefix[], candidateIds: ReadonlySet<string>, now: number): PrefixKeeper | undefined {
    for (let index = shared.length - 1; index >= 0; index--) {
      const prefix = shared[index]
      if (prefix === undefined) continue
      for (const [id, readAt] of this._notes.get(prefix.key)?.readAt ?? []) if (candidateIds.has(id) && now - readAt < KEPT_MS) return { id, tokens: prefix.tokens }
    }
    return undefined
  }

  /** Whether any upstream was sent one of the beginnings. */
  isKnown (shared: readonly SharedPrefix[]): boolean {
    return shared.some(({ key }) => (this._notes.get(key)?.readAt.size ?? 0) > 0)
  }

  /** The upstream is gone, and what it kept. */
  drop (targetId: string): void {
    for (const { readAt } of this._notes.values()) readAt.delete(targetId)
  }

  /** The newest notes, at most so many. */
  list (maxCount: number, now: number): readonly PrefixNote[] {
    const notes = [...this._notes.values()].slice(-maxCount)
    return notes.flatMap(({ shared, readAt }) => [...readAt].map(([targetId, at]) => ({ shared, targetId, ageMs: Math.max(0, now - at) }))).slice(-maxCount)
  }

  private _countLongest (shared: readonly SharedPrefix[], holds: (key: string) => boolean): number {
    for (let index = shared.length - 1; index >= 0; index--) {
      const prefix = shared[index]
      if (prefix !== undefined && holds(prefix.key)) return prefix.tokens
    }
    return 0
  }

  private _dropOldest (): void {
    const [oldest] = this._notes.keys()
    if (oldest !== undefined) this._notes.delete(oldest)
  }
}
