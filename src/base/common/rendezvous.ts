/**
 * Rendezvous hashing: every process ranks the same candidates for a key in the same order, and the removal of a candidate
 * moves only the keys that were assigned to it.
 */

/** FNV-1a over UTF-16 code units with a finalizer for better distribution; not a cryptographic hash. */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, 0x01000193)
  }
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

const HASH_RANGE = 2 ** 32

/**
 * Returns the candidates in their order of preference for the key. Each is first for a share of the keys that is proportional
 * to its weight, and a change of one weight moves only keys to or from that candidate. Weights are above 0.
 */
export function rankByWeightedRendezvous (key: string, weights: ReadonlyMap<string, number>): readonly string[] {
  return [...weights]
    .map(([candidate, weight]) => ({ candidate, score: -Math.log((hashText(`${key}\u0000${candidate}`) + 0.5) / HASH_RANGE) / weight }))
    .sort((a, b) => a.score - b.score || (a.candidate < b.candidate ? -1 : 1))
    .map(entry => entry.candidate)
}

/** Returns the candidates in their order of preference for the key. */
export function rankByRendezvous (key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(candidate => ({ candidate, score: hashText(`${key}\u0000${candidate}`) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(entry => entry.candidate)
}
