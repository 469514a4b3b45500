/**
 * Grants requests to rate-limited upstreams. All nodes query the same node for the upstreams of a hall, so that requests
 * are counted in one place. Nodes with different views of the membership may query two different nodes; each grants requests
 * only for halls that it regards as its own, and only once the requests granted by the previous owner have arrived.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RateLimitSource } from './rateLimitSource.ts'
import { TokenBucket } from './tokenBucket.ts'
import type { RateLimit } from './tokenBucket.ts'
import { UnprovenGrants } from './unprovenGrants.ts'
import type { UnconfirmedLimits } from './unconfirmedLimits.ts'

export interface QuotaOwnerOptions {
  readonly clock: IClock
  readonly limits: RateLimitSource
  /** Returns whether this node owns the quotas of a hall's upstreams, according to its current view of the membership. */
  readonly isOwner: (hall: string) => boolean
  /** Limits of upstreams that may be cold; without it, all upstreams that are not known to be cold are regarded as warm. */
  readonly unconfirmed?: UnconfirmedLimits
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
/** A proof that an upstream is warm usually arrives within this time. */
const PROOF_RETRY_MS = 25

export class QuotaOwner extends Disposable {
  private readonly _options: QuotaOwnerOptions
  private readonly _takeoverDelayMs: number
  private readonly _ownedSince = new Map<string, number>()
  private readonly _buckets = new Map<string, { readonly hall: string, readonly bucket: TokenBucket }>()
  private readonly _unprovenGrants = new UnprovenGrants()
  private readonly _onDidNeedProof = this._register(new Emitter<UpstreamEntry>())
  /** Fired when further grants to an upstream need a proof that it is warm. */
  readonly onDidNeedProof = this._onDidNeedProof.event
  private _deniedCount = 0

  constructor (options: QuotaOwnerOptions) {
    super()
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
    this._unprovenGrants.clear()
  }

  /** Records that an upstream was warm at some time after `requestedAt`. */
  recordProof (upstream: string, requestedAt: number): void {
    this._unprovenGrants.recordProof(upstream, requestedAt)
  }

  acquire (entry: UpstreamEntry): QuotaDecision {
    const now = this._options.clock.now()
    const limit = this._options.limits.findLimit(entry)
    const maxUnproven = this._options.unconfirmed?.findMaxUnproven(entry)
    if (limit === undefined) this._buckets.delete(entry.id)
    if (limit === undefined && maxUnproven === undefined) return GRANTED
    const ownedSince = this._updateOwnership(entry.hall, now)
    if (ownedSince === undefined) return this._deny(NOT_OWNER_RETRY_MS)
    const takeoverLeftMs = this._takeoverDelayMs - (now - ownedSince)
    if (limit !== undefined && takeoverLeftMs > 0) return this._deny(takeoverLeftMs)
    const bucket = limit === undefined ? undefined : this._getBucket(entry, limit, now)
    const bucketWaitMs = bucket?.getWaitMs(now) ?? 0
    if (bucketWaitMs > 0) return this._deny(bucketWaitMs)
    if (maxUnproven !== undefined && !this._tryGrantUnproven(entry, maxUnproven, ownedSince, now)) return this._deny(PROOF_RETRY_MS)
    bucket?.tryAcquire(now)
    return GRANTED
  }

  /** A new owner does not know what the previous one granted, so it needs a proof from after that. */
  private _tryGrantUnproven (entry: UpstreamEntry, maxUnproven: number, ownedSince: number, now: number): boolean {
    const isTakeoverComplete = now - ownedSince >= this._takeoverDelayMs || this._unprovenGrants.isProvenSince(entry.id, ownedSince)
    const isGranted = isTakeoverComplete && this._unprovenGrants.tryGrant(entry.id, maxUnproven, now)
    if (!isGranted || this._unprovenGrants.isProofNeeded(entry.id, maxUnproven, now)) this._onDidNeedProof.fire(entry)
    return isGranted
  }

  removeUpstream (upstream: string): void {
    this._buckets.delete(upstream)
    this._unprovenGrants.remove(upstream)
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
