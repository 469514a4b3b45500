/**
 * The pieces of one stage of a job. How many are in each state is kept as they change: the order and the forecast of all
 * jobs ask for it at every arrival and every call.
 */
import { MAX_ENDS } from '../../quarantine/common/crashEvidence.ts'
import type { PieceResult } from './preparationJob.ts'

/** A piece that failed so often does not fail by chance, and each further try holds up its job. */
const MAX_FAILURES = 4
/** As many as a request may end before it is no longer sent. */
const MAX_CUTS = MAX_ENDS

export type PieceStatus = 'waiting' | 'running' | 'made' | 'freed'

type StatusCounts = Record<PieceStatus, number>

export class PieceState {
  result: PieceResult | undefined
  madeAt = 0
  failures = 0
  /** Calls with it that were cut off. */
  cuts = 0
  private _status: PieceStatus = 'waiting'

  constructor (private readonly _counts: StatusCounts) {}

  get hasFailedForGood (): boolean {
    return this.failures > MAX_FAILURES || this.cuts >= MAX_CUTS
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

  /** Pieces that wait or run. */
  get openCount (): number {
    return this._counts.waiting + this._counts.running
  }

  /** Whether work was done for the stage. */
  get hasStarted (): boolean {
    return this._counts.waiting < this.pieces.length
  }
}
