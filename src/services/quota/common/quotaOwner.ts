/**
 * Gives out the requests that limited upstreams accept. All nodes ask the same one for the upstreams of a hall, so that
 * requests are counted in one place. Nodes that know different members may ask two of them; each gives out only what it
 * takes itself for the owner of, and begins to do so when the one before it has surely ended.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { LimitSource } from './limitSource.ts'
import { TokenBucket } from './tokenBucket.ts'
import type { RateLimit } from './tokenBucket.ts'

export interface QuotaOwnerOptions {
  readonly clock: IClock
  readonly limits: LimitSource
  /** Whether this node gives out the requests of a hall's upstreams, as far as it knows. */
  readonly isOwner: (hall: string) => boolean
  /** How long after it became the owner a node gives out the first request. */
  readonly settleMs?: number
}

/** What became of the wish to send a request. */
export interface QuotaGrant {
  readonly isGranted: boolean
  /** When it makes sense to ask again, in milliseconds. */
  readonly retryInMs: number
}

export const GRANTED: QuotaGrant = { isGranted: true, retryInMs: 0 }
/** What the owner before granted has arrived within this time. */
const DEFAULT_SETTLE_MS = 1400
/** Another node is the owner, or this one will be soon. */
const NOT_OWNER_RETRY_MS = 200

export class QuotaOwner {
  private readonly _options: QuotaOwnerOptions
  private readonly _settleMs: number
  private readonly _ownedSince = new Map<string, number>()
  private readonly _buckets = new Map<string, { readonly hall: string, readonly bucket: TokenBucket }>()
  private _deniedCount = 0

  constructor (options: QuotaOwnerOptions) {
    this._options = options
    this._settleMs = options.settleMs ?? DEFAULT_SETTLE_MS
  }

  /** Requests that were not granted since the start. */
  get deniedCount (): number {
    return this._deniedCount
  }

  /** Takes in which node owns the halls now. */
  refresh (halls: Iterable<string>): void {
    const now = this._options.clock.now()
    for (const hall of halls) this._refreshHall(hall, now)
  }

  /** What is known of former owners may be from long ago. */
  forgetOwned (): void {
    this._ownedSince.clear()
    this._buckets.clear()
  }

  acquire (entry: UpstreamEntry): QuotaGrant {
    const now = this._options.clock.now()
    const limit = this._options.limits.find(entry)
    if (limit === undefined) {
      this._buckets.delete(entry.id)
      return GRANTED
    }
    const ownedSince = this._refreshHall(entry.hall, now)
    if (ownedSince === undefined) return this._refuse(NOT_OWNER_RETRY_MS)
    if (now - ownedSince < this._settleMs) return this._refuse(this._settleMs - (now - ownedSince))
    const bucket = this._getBucket(entry, limit, now)
    return bucket.take(now) ? GRANTED : this._refuse(bucket.getWaitMs(now))
  }

  drop (upstream: string): void {
    this._buckets.delete(upstream)
  }

  private _refuse (retryInMs: number): QuotaGrant {
    this._deniedCount++
    return { isGranted: false, retryInMs }
  }

  /** Since when this node owns the hall; undefined where another one does. */
  private _refreshHall (hall: string, now: number): number | undefined {
    if (!this._options.isOwner(hall)) {
      if (this._ownedSince.delete(hall)) for (const [id, held] of this._buckets) if (held.hall === hall) this._buckets.delete(id)
      return undefined
    }
    const since = this._ownedSince.get(hall) ?? now
    this._ownedSince.set(hall, since)
    return since
  }

  private _getBucket ({ id, hall }: UpstreamEntry, limit: RateLimit, now: number): TokenBucket {
    const held = this._buckets.get(id)
    if (held !== undefined) {
      held.bucket.setLimit(limit, now)
      return held.bucket
    }
    const bucket = new TokenBucket(limit, now)
    this._buckets.set(id, { hall, bucket })
    return bucket
  }
}
