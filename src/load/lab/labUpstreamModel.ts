/**
 * Simulates an upstream that computes pieces, in virtual time: it runs one call at a time with a short queue, and stores
 * results in limited space until they expire.
 */
import type { PieceCallOutcome, PieceOutcome, PlannedCall } from '../../services/preparation/common/plannedCall.ts'
import type { LabSlowdown, LabUpstream } from './labDeployment.ts'

/** Properties of a piece that the planned call does not carry. */
export interface LabPiece {
  readonly bytes: number
  readonly costFactor: number
}

export interface LabCallResult {
  readonly outcome: PieceCallOutcome
  readonly endAt: number
  readonly workMs: number
}

interface StoredResult {
  readonly bytes: number
  readonly expiresAt: number
}

const MAX_QUEUED_MS = 800
const NETWORK_DELAY_MS = 3

export class LabUpstreamModel {
  readonly hall: string
  private readonly _results = new Map<string, StoredResult>()
  private _busyUntil = 0
  private _resultCount = 0

  constructor (private readonly _upstream: LabUpstream, private readonly _slowdowns: readonly LabSlowdown[]) {
    this.hall = _upstream.hall
  }

  hasResult (handle: string, now: number): boolean {
    return (this._results.get(handle)?.expiresAt ?? -1) > now
  }

  free (handles: readonly string[]): void {
    for (const handle of handles) this._results.delete(handle)
  }

  /** Computes the whole call's outcome at once. Space for its results is occupied from now on, not from when the call starts. */
  run (call: PlannedCall, pieces: readonly LabPiece[], isInputAvailable: (handle: string) => boolean, now: number): LabCallResult {
    const startAt = Math.max(now + NETWORK_DELAY_MS, this._busyUntil)
    if (startAt - now > MAX_QUEUED_MS) return { outcome: { kind: 'notRun', reason: 'full' }, endAt: now + 2 * NETWORK_DELAY_MS, workMs: 0 }
    for (const [handle, stored] of this._results) if (stored.expiresAt <= startAt) this._results.delete(handle)
    const { work } = this._upstream
    let usedBytes = 0
    for (const stored of this._results.values()) usedBytes += stored.bytes
    let totalCostFactor = 0
    const failures: (PieceOutcome | undefined)[] = call.pieces.map((piece, index) => {
      const spec = pieces[index]
      if (spec === undefined || !piece.inputs.every(isInputAvailable)) return { kind: 'failed', reason: 'inputGone' }
      if (usedBytes + spec.bytes > work.resultRoomBytes) return { kind: 'failed', reason: 'noRoom' }
      usedBytes += spec.bytes
      totalCostFactor += spec.costFactor
      return undefined
    })
    const workMs = (work.callMs + work.pieceMs * totalCostFactor) * this._computeSlowdownFactor(startAt)
    this._busyUntil = startAt + workMs
    const outcomes = failures.map((outcome, index): PieceOutcome => {
      if (outcome !== undefined) return outcome
      const handle = `${this._upstream.id}/${++this._resultCount}`
      this._results.set(handle, { bytes: pieces[index]?.bytes ?? 0, expiresAt: this._busyUntil + work.resultLifetimeMs })
      return { kind: 'made', handle }
    })
    return { outcome: { kind: 'answered', pieces: outcomes }, endAt: this._busyUntil + NETWORK_DELAY_MS, workMs }
  }

  private _computeSlowdownFactor (at: number): number {
    const slowdown = this._slowdowns.find(candidate => candidate.upstreamId === this._upstream.id && at >= candidate.startAt && at < candidate.startAt + candidate.durationMs)
    return slowdown?.factor ?? 1
  }
}
