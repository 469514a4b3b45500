/**
 * Decides whether this node connects to upstreams directly or through peers. A failed connection may be caused by the upstream or
 * by the network between it and this node. If a peer reaches an upstream that this node cannot reach, the network is the cause.
 * Failures alone prove nothing, because all upstreams of a role may have ended, and neither does a majority of nodes, because most
 * nodes may be partitioned at once.
 */

/**
 * `direct`: this node connects to upstreams itself. `fallback`: it also uses peers where its own connection fails. `peers`: this
 * node is partitioned from the upstreams, and connects through its peers.
 */
export type ConnectionMode = 'direct' | 'fallback' | 'peers'

/** What a peer found when it connected to an upstream for this node. */
export type PeerResult = 'opened' | 'unreachable'

export abstract class ConnectionPolicy {
  /** When the first connection failed that the partition explains; undefined if there is no partition. */
  abstract get partitionedSince (): number | undefined
  abstract getMode (now: number): ConnectionMode
  /** Records whether this node's own connection to an upstream was opened. */
  abstract recordDirect (upstream: string, isOpened: boolean, now: number): void
  abstract recordPeerResult (upstream: string, result: PeerResult, now: number): void
  /** Whether a partitioned node should also try a direct connection now. Limits the rate of these trials. */
  abstract tryAcquireTrial (now: number): boolean
}

/** Baseline for comparisons: every upstream is reached directly or not at all. */
export class DirectConnectionPolicy extends ConnectionPolicy {
  readonly partitionedSince = undefined

  getMode (): ConnectionMode {
    return 'direct'
  }

  recordDirect (): void {}
  recordPeerResult (): void {}

  tryAcquireTrial (): boolean {
    return false
  }
}

export interface PartitionDetectorOptions {
  /** Failed connections to so many upstreams, without a success in between, make a partition possible. */
  readonly minFailedUpstreams?: number
  /** Failures and results of peers count for this time. */
  readonly memoryMs?: number
  readonly trialPeriodMs?: number
  /** Connections fall back to peers for this time after a partition, which may return soon. */
  readonly cautionMs?: number
  /** No fallback for this time after a peer did not reach an upstream either. */
  readonly refutedMs?: number
}

export class PartitionDetector extends ConnectionPolicy {
  private readonly _minFailedUpstreams: number
  private readonly _memoryMs: number
  private readonly _trialPeriodMs: number
  private readonly _cautionMs: number
  private readonly _refutedMs: number
  /** Failures since the last direct success, by upstream. */
  private readonly _failedAt = new Map<string, number>()
  private readonly _openedByPeerAt = new Map<string, number>()
  private _partitionedSince: number | undefined
  private _endedAt = -Infinity
  private _refutedAt = -Infinity
  private _triedAt = -Infinity

  constructor ({ minFailedUpstreams = 2, memoryMs = 2000, trialPeriodMs = 300, cautionMs = 5000, refutedMs = 500 }: PartitionDetectorOptions = {}) {
    super()
    this._minFailedUpstreams = minFailedUpstreams
    this._memoryMs = memoryMs
    this._trialPeriodMs = trialPeriodMs
    this._cautionMs = cautionMs
    this._refutedMs = refutedMs
  }

  get partitionedSince (): number | undefined {
    return this._partitionedSince
  }

  getMode (now: number): ConnectionMode {
    if (this._partitionedSince !== undefined) return 'peers'
    const isCautious = now - this._endedAt < this._cautionMs
    const isSuspect = this._failedAt.size >= this._minFailedUpstreams && this._countFailed(now) >= this._minFailedUpstreams
    return isCautious || (isSuspect && now - this._refutedAt >= this._refutedMs) ? 'fallback' : 'direct'
  }

  recordDirect (upstream: string, isOpened: boolean, now: number): void {
    if (isOpened) {
      this._failedAt.clear()
      if (this._partitionedSince === undefined) return
      this._partitionedSince = undefined
      this._endedAt = now
    } else {
      this._failedAt.delete(upstream)
      this._failedAt.set(upstream, now)
      this._compare(upstream, now)
    }
  }

  recordPeerResult (upstream: string, result: PeerResult, now: number): void {
    if (result === 'unreachable') {
      this._refutedAt = now
      return
    }
    this._openedByPeerAt.set(upstream, now)
    this._compare(upstream, now)
  }

  tryAcquireTrial (now: number): boolean {
    if (now - this._triedAt < this._trialPeriodMs) return false
    this._triedAt = now
    return true
  }

  /** The direct result and the peer's result for one upstream arrive in any order. */
  private _compare (upstream: string, now: number): void {
    this._expire(now)
    if (this._partitionedSince !== undefined || !this._failedAt.has(upstream) || !this._openedByPeerAt.has(upstream)) return
    if (this._failedAt.size < this._minFailedUpstreams) return
    this._partitionedSince = Math.min(...this._failedAt.values())
    this._triedAt = now
  }

  private _countFailed (now: number): number {
    let count = 0
    for (const at of this._failedAt.values()) if (now - at < this._memoryMs) count++
    return count
  }

  private _expire (now: number): void {
    for (const times of [this._failedAt, this._openedByPeerAt]) for (const [upstream, at] of times) if (now - at >= this._memoryMs) times.delete(upstream)
  }
}
