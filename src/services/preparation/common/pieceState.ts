/**
 * State of the pieces of one stage of a job. Counts by status are maintained incrementally, since scheduling reads them for
 * all jobs on every arrival and every call.
 */
import { MAX_CRASHES } from '../../quarantine/common/crashEvidence.ts'
import type { PieceResult } from './preparationJob.ts'

/** With more failures than this, the cause is unlikely to be transient, and each further attempt delays the job. */
const MAX_FAILURES = 4
/** The same limit as for crashes by a request before it is quarantined. */
const MAX_POSSIBLE_CRASHES = MAX_CRASHES

export type PieceStatus = 'waiting' | 'running' | 'made' | 'freed'

type StatusCounts = Record<PieceStatus, number>

export class PieceState {
  result: PieceResult | undefined
  computedAt = 0
  failures = 0
  /** Number of calls with the piece during which the upstream may have crashed. */
  possibleCrashes = 0
  private _status: PieceStatus = 'waiting'

  constructor (private readonly _counts: StatusCounts) {}

  get hasFailedPermanently (): boolean {
    return this.failures > MAX_FAILURES || this.possibleCrashes >= MAX_POSSIBLE_CRASHES
  }

  get status (): PieceStatus {
    return this._status
  }

  set status (status: PieceStatus) {
    this._counts[this._status]--
    this._counts[status]++
    this._status = status
  }
}

export class StagePieces {
  readonly pieces: readonly PieceState[]
  private readonly _counts: StatusCounts

  constructor (pieceCount: number) {
    const counts: StatusCounts = { waiting: pieceCount, running: 0, made: 0, freed: 0 }
    this._counts = counts
    this.pieces = Array.from({ length: pieceCount }, () => new PieceState(counts))
  }

  count (status: PieceStatus): number {
    return this._counts[status]
  }

  /** Number of pieces that are waiting or running. */
  get openCount (): number {
    return this._counts.waiting + this._counts.running
  }

  /** Whether any piece has left the waiting status. */
  get hasStarted (): boolean {
    return this._counts.waiting < this.pieces.length
  }
}
