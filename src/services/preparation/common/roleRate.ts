/**
 * Measures the throughput of the upstreams of one role during a backlog. The nominal throughput from the configuration is
 * a third higher than what is reached in practice: calls are not full, result capacity is limited, and pieces wait for their hall.
 */
import { computeCallMs, computeMsPerPiece } from './pieceUpstream.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'

/** Half-life of observations, in view of bursts that last a few seconds. */
const HALF_LIFE_MS = 1000
/** Half-life of the usual arrival rate, several times the length of a burst. */
const USUAL_HALF_LIFE_MS = 10_000
/** With less observed time, the usual rate would depend on single arrivals. */
const MIN_USUAL_MS = 1000
/** The nominal throughput is weighted like an observation over this time. */
const PRIOR_MS = 400

export class RoleRate {
  private _observedAt: number | undefined
  private _backlogMs = 0
  private _completedPieces = 0
  /** By rank. */
  private readonly _arrivedPieces = new Map<number, number>()
  private _usualPieces = 0
  private _usualMs = 0
  private _callMs = 0
  private _calls = 0
  private _hasBacklog = false

  /** Sets whether pieces are waiting that no upstream has capacity for. */
  setBacklog (hasBacklog: boolean, now: number): void {
    this._advance(now)
    this._hasBacklog = hasBacklog
  }

  recordArrival (rank: number, pieces: number, now: number): void {
    this._advance(now)
    this._arrivedPieces.set(rank, (this._arrivedPieces.get(rank) ?? 0) + pieces)
    this._usualPieces += pieces
  }

  recordCall (computedPieces: number, tookMs: number, now: number): void {
    this._advance(now)
    if (this._hasBacklog) this._completedPieces += computedPieces
    this._callMs += tookMs
    this._calls++
  }

  /** Returns the throughput in pieces per millisecond during a backlog. */
  computePiecesPerMs (work: PieceWorkSpec, calls: number, now: number): number {
    this._advance(now)
    const nominalPiecesPerMs = calls / computeMsPerPiece(work)
    return (this._completedPieces + nominalPiecesPerMs * PRIOR_MS) / (this._backlogMs + PRIOR_MS)
  }

  /** Returns the arrival rate in pieces per millisecond, by rank. */
  computeArrivalsPerMs (now: number): ReadonlyMap<number, number> {
    this._advance(now)
    return new Map([...this._arrivedPieces].map(([rank, pieces]) => [rank, pieces * Math.LN2 / HALF_LIFE_MS]))
  }

  /** Returns the arrival rate of all ranks over a longer time, in pieces per millisecond. */
  computeUsualArrivalsPerMs (now: number): number {
    this._advance(now)
    return this._usualPieces / Math.max(MIN_USUAL_MS, this._usualMs)
  }

  /** Returns the usual duration of a call, which may contain pieces of other jobs. */
  computeUsualCallMs (work: PieceWorkSpec, pieceCount: number, now: number): number {
    this._advance(now)
    const aloneMs = computeCallMs(work, Math.min(pieceCount, work.maxPiecesPerCall))
    return Math.max(aloneMs, (this._callMs + aloneMs) / (this._calls + 1))
  }

  private _advance (now: number): void {
    // The process may have run for long before the first observation, which is not time without arrivals.
    this._observedAt ??= now
    const elapsedMs = Math.max(0, now - this._observedAt)
    if (elapsedMs === 0) return
    this._observedAt = now
    const decay = 0.5 ** (elapsedMs / HALF_LIFE_MS)
    this._backlogMs = this._backlogMs * decay + (this._hasBacklog ? elapsedMs : 0)
    this._completedPieces *= decay
    for (const [rank, pieces] of this._arrivedPieces) this._arrivedPieces.set(rank, pieces * decay)
    const usualDecay = 0.5 ** (elapsedMs / USUAL_HALF_LIFE_MS)
    this._usualPieces *= usualDecay
    this._usualMs = this._usualMs * usualDecay + elapsedMs
    this._callMs *= decay
    this._calls *= decay
  }
}
