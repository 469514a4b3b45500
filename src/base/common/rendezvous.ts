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

/** Returns the candidates in their order of preference for the key. */
export function rankByRendezvous (key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(candidate => ({ candidate, score: hashText(`${key}\u0000${candidate}`) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(entry => entry.candidate)
}
