/**
 * The upstreams that a prefix prefers, in a rendezvous order that is the same for every gate.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/** The first candidates in the prefix's rendezvous order; the same for every gate. */
export function findPreferred<T extends { readonly name: string }> (prefixKey: string, candidates: readonly T[], count: number): readonly T[] {
  const keyHash = hashText(prefixKey)
  const best: { readonly candidate: T, readonly score: number }[] = []
  for (const candidate of candidates) {
    const score = mixHashes(keyHash, hashName(candidate.name))
    if (best.length === count && score <= (best.at(-1)?.score ?? 0)) continue
    best.push({ candidate, score })
    best.sort((a, b) => b.score - a.score)
    best.length = Math.min(best.length, count)
  }
  return best.map(entry => entry.candidate)
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

function mixHashes (a: number, b: number): number {
  let hash = Math.imul(a ^ b, 0x9e3779b1)
  hash ^= hash >>> 15
  hash = Math.imul(hash, 0x85ebca77)
  return (hash ^ (hash >>> 13)) >>> 0
}
