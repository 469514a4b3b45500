/**
 * Grants requests to rate-limited upstreams. All nodes query the same node for the upstreams of a hall, so that requests
 * are counted in one place. Nodes with different views of the membership may query two different nodes; each grants requests
 * only for halls that it regards as its own, and only once the requests granted by the previous owner have arrived.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimitSource } from './rateLimitSource.ts'
import { TokenBucket } from './tokenBucket.ts'
import type { RateLimit } from './tokenBucket.ts'

export interface QuotaOwnerOptions {
  readonly clock: IClock
  readonly limits: RateLimitSource
  /** Returns whether this node owns the quotas of a hall's upstreams, according to its current view of the membership. */
  readonly isOwner: (hall: string) => boolean
  /** How long a new owner waits before it grants the first request. */
  readonly takeoverDelayMs?: number
}

/** The owner's answer to one query. */
export interface QuotaDecision {
  readonly isGranted: boolean
  /** Delay in ms before the next query makes sense. */
  readonly retryInMs: number
}

export const GRANTED: QuotaDecision = { isGranted: true, retryInMs: 0 }
/** Requests granted by the previous owner have arrived at the upstream within this time. */
const DEFAULT_TAKEOVER_DELAY_MS = 1400
/** Another node owns the quota, or this node is about to become the owner. */
const NOT_OWNER_RETRY_MS = 200

export class QuotaOwner {
  private readonly _options: QuotaOwnerOptions
  private readonly _takeoverDelayMs: number
  private readonly _ownedSince = new Map<string, number>()
  private readonly _buckets = new Map<string, { readonly hall: string, readonly bucket: TokenBucket }>()
  private _deniedCount = 0

  constructor (options: QuotaOwnerOptions) {
    this._options = options
    this._takeoverDelayMs = options.takeoverDelayMs ?? DEFAULT_TAKEOVER_DELAY_MS
  }

  /** Requests denied since the process started. */
  get deniedCount (): number {
    return this._deniedCount
  }

  /** Updates which of the halls this node owns. */
  refreshOwnership (halls: Iterable<string>): void {
    const now = this._options.clock.now()
    for (const hall of halls) this._updateOwnership(hall, now)
  }

  /** Drops all ownership state. To be called after a pause of this process, during which other nodes may have become owners. */
  resetOwnership (): void {
    this._ownedSince.clear()
    this._buckets.clear()
  }

  acquire (entry: UpstreamEntry): QuotaDecision {
    const now = this._options.clock.now()
    const limit = this._options.limits.findLimit(entry)
    if (limit === undefined) {
      this._buckets.delete(entry.id)
      return GRANTED
    }
    const ownedSince = this._updateOwnership(entry.hall, now)
    if (ownedSince === undefined) return this._deny(NOT_OWNER_RETRY_MS)
    if (now - ownedSince < this._takeoverDelayMs) return this._deny(this._takeoverDelayMs - (now - ownedSince))
    const bucket = this._getBucket(entry, limit, now)
    return bucket.tryAcquire(now) ? GRANTED : this._deny(bucket.getWaitMs(now))
  }

  removeUpstream (upstream: string): void {
    this._buckets.delete(upstream)
  }

  private _deny (retryInMs: number): QuotaDecision {
    this._deniedCount++
    return { isGranted: false, retryInMs }
  }

  /** Returns since when this node has owned the hall, or undefined if another node owns it. */
  private _updateOwnership (hall: string, now: number): number | undefined {
    if (!this._options.isOwner(hall)) {
      if (this._ownedSince.delete(hall)) for (const [id, entry] of this._buckets) if (entry.hall === hall) this._buckets.delete(id)
      return undefined
    }
    const ownedSince = this._ownedSince.get(hall) ?? now
    this._ownedSince.set(hall, ownedSince)
    return ownedSince
  }

  private _getBucket ({ id, hall }: UpstreamEntry, limit: RateLimit, now: number): TokenBucket {
    const existing = this._buckets.get(id)
    if (existing !== undefined) {
      existing.bucket.setLimit(limit, now)
      return existing.bucket
    }
    const bucket = new TokenBucket(limit, now)
    this._buckets.set(id, { hall, bucket })
    return bucket
  }
}
