/**
 * The planner's state of an upstream that runs pieces: its running calls, the result capacity in use, its speed and its
 * backoffs.
 */
import type { PieceCallOutcome } from './plannedCall.ts'

/** Limits and nominal costs of the upstreams of a role, from the configuration. */
export interface PieceWorkSpec {
  readonly concurrentCalls: number
  readonly maxPiecesPerCall: number
  readonly callMs: number
  readonly pieceMs: number
  readonly resultRoomBytes: number
  readonly resultLifetimeMs: number
}

export interface PieceUpstreamOptions {
  readonly id: string
  readonly role: string
  readonly hall: string
  readonly work: PieceWorkSpec
  /** Returns the slowness that the upstream stated, at this time; without it the upstream states none. */
  readonly getStatedSlowness?: (now: number) => number
}

interface UnavailableCapacity {
  readonly bytes: number
  readonly until: number
}

/** Weight of the newest call in the learned slowness. */
const SLOWNESS_SMOOTHING = 0.4
const SLOWNESS_HALF_LIFE_MS = 2000
const INITIAL_BACKOFF_MS = 400
const MAX_BACKOFF_MS = 3200
const FULL_BACKOFF_MS = 60

export class PieceUpstream {
  readonly id: string
  readonly role: string
  readonly hall: string
  work: PieceWorkSpec
  /** Whether it accepts new calls; results that it holds can be fetched in either case. */
  acceptsWork = true
  runningCalls = 0
  /**
   * Whether a call is running that may crash the upstream. No other call starts until it ends: that would be lost in the
   * crash too, and its pieces would become suspects.
   */
  hasSuspectCall = false
  private readonly _getStatedSlowness: (now: number) => number
  private _learnedSlowness = 1
  private _measuredAt = 0
  private _usedBytes = 0
  /** Capacity for results that the upstream may hold but that cannot be freed; it becomes free at the end of their lifetime. */
  private _unavailableCapacity: readonly UnavailableCapacity[] = []
  private _failureBackoffUntil = 0
  private _failureBackoffMs = INITIAL_BACKOFF_MS
  private _rateLimitedUntil = 0
  private _requestedBackoffUntil = 0

  constructor (options: PieceUpstreamOptions) {
    this.id = options.id
    this.role = options.role
    this.hall = options.hall
    this.work = options.work
    this._getStatedSlowness = options.getStatedSlowness ?? (() => 1)
  }

  /** Ratio of expected to configured call durations. */
  getSlowness (now: number): number {
    return this._getLearnedSlowness(now) * this._getStatedSlowness(now)
  }

  /** Returns the duration that a call with so many pieces would have if only the stated slowness applied. */
  predictCallMs (pieceCount: number, now: number): number {
    return computeCallMs(this.work, pieceCount) * this._getStatedSlowness(now)
  }

  /** Ratio of measured to predicted call durations; old measurements decay towards 1. */
  private _getLearnedSlowness (now: number): number {
    return 1 + (this._learnedSlowness - 1) * 0.5 ** (Math.max(0, now - this._measuredAt) / SLOWNESS_HALF_LIFE_MS)
  }

  canStartCall (now: number): boolean {
    return this.acceptsWork && !this.hasSuspectCall && this.runningCalls < this.work.concurrentCalls && now >= Math.max(this._failureBackoffUntil, this._rateLimitedUntil, this._requestedBackoffUntil)
  }

  /** Whether it counts as capacity in forecasts, even if its calls or its rate limit are used up. */
  isUsable (now: number): boolean {
    return this.acceptsWork && now >= Math.max(this._failureBackoffUntil, this._requestedBackoffUntil)
  }

  /** Returns the remaining time of a backoff that the upstream requested. */
  getRequestedBackoffMs (now: number): number {
    return Math.max(0, this._requestedBackoffUntil - now)
  }

  getFreeBytes (now: number): number {
    this._unavailableCapacity = this._unavailableCapacity.filter(reserved => reserved.until > now)
    const unavailableBytes = this._unavailableCapacity.reduce((sum, reserved) => sum + reserved.bytes, 0)
    return this.work.resultRoomBytes - this._usedBytes - unavailableBytes
  }

  reserveCapacity (bytes: number): void {
    this._usedBytes += bytes
  }

  releaseCapacity (bytes: number): void {
    this._usedBytes = Math.max(0, this._usedBytes - bytes)
  }

  /** Keeps capacity reserved until the lifetime of its results ends, since they may still be stored but cannot be freed. */
  retainCapacity (bytes: number, now: number): void {
    this.releaseCapacity(bytes)
    this._unavailableCapacity = [...this._unavailableCapacity, { bytes, until: now + this.work.resultLifetimeMs }]
  }

  /** Regards the free capacity as used for a short time, since the upstream reported that it has none. */
  recordFull (now: number): void {
    const free = this.getFreeBytes(now)
    if (free > 0) this._unavailableCapacity = [...this._unavailableCapacity, { bytes: free, until: now + INITIAL_BACKOFF_MS }]
  }

  /** Starts no call for a while because of a rate limit; the upstream still counts as usable. */
  recordRateLimit (now: number, forMs: number): void {
    this._rateLimitedUntil = Math.max(this._rateLimitedUntil, now + forMs)
  }

  /** Records a backoff that the upstream requested; the upstream is not usable until that ends. */
  recordRequestedBackoff (now: number, forMs: number): void {
    this._requestedBackoffUntil = Math.max(this._requestedBackoffUntil, now + forMs)
  }

  /** Records the duration of a call, and the one that was predicted at its start. */
  recordCall (tookMs: number, expectedMs: number, now: number): void {
    const previous = this._getLearnedSlowness(now)
    this._learnedSlowness = previous + SLOWNESS_SMOOTHING * (tookMs / Math.max(1, expectedMs) - previous)
    this._measuredAt = now
    this._failureBackoffMs = INITIAL_BACKOFF_MS
  }

  /** Backs off after a failed call; the time doubles with each failure until a call succeeds. */
  applyFailureBackoff (now: number): void {
    this._failureBackoffUntil = now + this._failureBackoffMs
    this._failureBackoffMs = Math.min(MAX_BACKOFF_MS, this._failureBackoffMs * 2)
  }

  /** Backs off as the outcome of a call requires that has computed nothing. */
  recordFailedCall (outcome: PieceCallOutcome, now: number): void {
    if (outcome.kind === 'notRun' && (outcome.reason === 'full' || outcome.reason === 'withheld')) this.applyBriefBackoff(now, FULL_BACKOFF_MS)
    else if (outcome.kind === 'notRun' && outcome.reason === 'backingOff') this.recordRequestedBackoff(now, outcome.retryInMs)
    else if (outcome.kind === 'notRun' && outcome.reason === 'limited') this.recordRateLimit(now, outcome.retryInMs)
    else this.applyFailureBackoff(now)
  }

  describe (now: number): object {
    return { id: this.id, role: this.role, runningCalls: this.runningCalls, slowness: this.getSlowness(now), freeBytes: this.getFreeBytes(now), isUsable: this.isUsable(now) }
  }

  /** Backs off briefly, without increasing later backoffs: the upstream is busy, but has not failed. */
  applyBriefBackoff (now: number, forMs: number): void {
    this._failureBackoffUntil = Math.max(this._failureBackoffUntil, now + forMs)
  }
}

/** Returns the nominal duration of a call with so many pieces. */
export function computeCallMs (work: PieceWorkSpec, pieceCount: number): number {
  return work.callMs + work.pieceMs * pieceCount
}

/** Returns the nominal duration per piece when calls are full. */
export function computeMsPerPiece (work: PieceWorkSpec): number {
  return work.callMs / work.maxPiecesPerCall + work.pieceMs
}
