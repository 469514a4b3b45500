/**
 * Digests of callers' keys. They are cached, since callers send the same key with every request.
 */
import { hashSha256 } from '../../../base/node/digest.ts'

const MAX_CACHED_DIGESTS = 1000
/** Longer keys are not cached: whoever sends a new one with each request would fill the cache with them. */
const MAX_CACHED_KEY_LENGTH = 256

export class KeyDigests {
  private readonly _cache = new Map<string, string>()

  get cachedCount (): number {
    return this._cache.size
  }

  digest (key: string): string {
    const cached = this._cache.get(key)
    if (cached !== undefined) return cached
    const digest = hashSha256(key)
    if (key.length > MAX_CACHED_KEY_LENGTH) return digest
    if (this._cache.size >= MAX_CACHED_DIGESTS) this._cache.clear()
    this._cache.set(key, digest)
    return digest
  }
}
