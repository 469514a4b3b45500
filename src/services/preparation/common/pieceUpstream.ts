/**
 * An upstream that makes pieces, as the planner sees it: its calls, the room that results take there, and how it does.
 */

/** What upstreams of a role do, from the configuration. */
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
}

interface HeldRoom {
  readonly bytes: number
  readonly until: number
}

/** Weight of the newest call in the smoothed slowness. */
const SLOWNESS_SMOOTHING = 0.4
const SLOWNESS_HALF_LIFE_MS = 2000
const FIRST_AVOID_MS = 400
const MAX_AVOID_MS = 3200

export class PieceUpstream {
  readonly id: string
  readonly role: string
  readonly hall: string
  work: PieceWorkSpec
  /** Whether new calls may go there; results that lie there can be fetched all the same. */
  takesWork = true
  runningCalls = 0
  /** A call runs that may be what ends upstreams: whatever ran beside it would be lost, and be suspected as well. */
  hasSuspectCall = false
  private _slowness = 1
  private _measuredAt = 0
  private _usedBytes = 0
  /** Results that may lie there and cannot be freed: they go when their lifetime ends. */
  private _strayed: readonly HeldRoom[] = []
  private _avoidUntil = 0
  private _avoidMs = FIRST_AVOID_MS
  private _limitedUntil = 0
  private _backoffUntil = 0

  constructor (options: PieceUpstreamOptions) {
    this.id = options.id
    this.role = options.role
    this.hall = options.hall
    this.work = options.work
  }

  /** How long calls take against what the configuration says; what was measured long ago counts less. */
  getSlowness (now: number): number {
    return 1 + (this._slowness - 1) * 0.5 ** (Math.max(0, now - this._measuredAt) / SLOWNESS_HALF_LIFE_MS)
  }

  /** Whether a call may start now. */
  canStart (now: number): boolean {
    return this.takesWork && !this.hasSuspectCall && this.runningCalls < this.work.concurrentCalls && now >= Math.max(this._avoidUntil, this._limitedUntil, this._backoffUntil)
  }

  /** Whether it can be counted on for work to come. */
  isUsable (now: number): boolean {
    return this.takesWork && now >= Math.max(this._avoidUntil, this._backoffUntil)
  }

  /** Until the end of a pause that it asked for, in milliseconds. */
  getBackoffMs (now: number): number {
    return Math.max(0, this._backoffUntil - now)
  }

  getFreeBytes (now: number): number {
    this._strayed = this._strayed.filter(room => room.until > now)
    const strayed = this._strayed.reduce((sum, room) => sum + room.bytes, 0)
    return this.work.resultRoomBytes - this._usedBytes - strayed
  }

  holdRoom (bytes: number): void {
    this._usedBytes += bytes
  }

  releaseRoom (bytes: number): void {
    this._usedBytes = Math.max(0, this._usedBytes - bytes)
  }

  /** What was held may still be there, but nobody can free it. */
  loseRoom (bytes: number, now: number): void {
    this.releaseRoom(bytes)
    this._strayed = [...this._strayed, { bytes, until: now + this.work.resultLifetimeMs }]
  }

  /** The upstream says that it has no room, whatever was counted here. */
  noteFull (now: number): void {
    const free = this.getFreeBytes(now)
    if (free > 0) this._strayed = [...this._strayed, { bytes: free, until: now + FIRST_AVOID_MS }]
  }

  /** It accepts no call for a while, and is as good as before after that. */
  noteLimited (now: number, forMs: number): void {
    this._limitedUntil = Math.max(this._limitedUntil, now + forMs)
  }

  /** It wants nothing for a while, so nobody can count on it until then. */
  noteBackoff (now: number, forMs: number): void {
    this._backoffUntil = Math.max(this._backoffUntil, now + forMs)
  }

  recordCall (tookMs: number, expectedMs: number, now: number): void {
    const held = this.getSlowness(now)
    this._slowness = held + SLOWNESS_SMOOTHING * (tookMs / Math.max(1, expectedMs) - held)
    this._measuredAt = now
    this._avoidMs = FIRST_AVOID_MS
  }

  /** Leaves the upstream alone for a while, longer each time until a call succeeds. */
  avoid (now: number): void {
    this._avoidUntil = now + this._avoidMs
    this._avoidMs = Math.min(MAX_AVOID_MS, this._avoidMs * 2)
  }

  /** Leaves it alone for a moment: it has enough to do. */
  avoidBriefly (now: number, forMs: number): void {
    this._avoidUntil = Math.max(this._avoidUntil, now + forMs)
  }
}

/** How long a call with so many pieces should take. */
export function computeCallMs (work: PieceWorkSpec, pieceCount: number): number {
  return work.callMs + work.pieceMs * pieceCount
}

/** What a piece costs in full calls. */
export function computePieceCost (work: PieceWorkSpec): number {
  return work.callMs / work.maxPiecesPerCall + work.pieceMs
}
