/**
 * Selects the preferred upstreams of a prefix by rendezvous hashing, so that its requests reach the same prefix caches.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/** Returns the first `count` candidates in the rendezvous order of the prefix, which is the same for every gate. */
export function findPreferred<T extends { readonly name: string }> (prefixKey: string, candidates: readonly T[], count: number): readonly T[] {
  const keyHash = hashText(prefixKey)
  const top: { readonly candidate: T, readonly score: number }[] = []
  for (const candidate of candidates) {
    const score = computeScore(keyHash, hashName(candidate.name))
    if (top.length === count && score <= (top.at(-1)?.score ?? 0)) continue
    top.push({ candidate, score })
    top.sort((a, b) => b.score - a.score)
    top.length = Math.min(top.length, count)
  }
  return top.map(entry => entry.candidate)
}

const nameHashes = new Map<string, number>()
const MAX_NAME_HASHES = 10_000

function hashName (name: string): number {
  let hash = nameHashes.get(name)
  if (hash === undefined) {
    hash = hashText(name)
    if (nameHashes.size >= MAX_NAME_HASHES) nameHashes.clear()
    nameHashes.set(name, hash)
  }
  return hash
}

function computeScore (keyHash: number, nameHash: number): number {
  let hash = Math.imul(keyHash ^ nameHash, 0x9e3779b1)
  hash ^= hash >>> 15
  hash = Math.imul(hash, 0x85ebca77)
  return (hash ^ (hash >>> 13)) >>> 0
}
