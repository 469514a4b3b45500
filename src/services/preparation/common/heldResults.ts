/**
 * Gives results of jobs back, and has lost ones made again.
 */
import type { JobState, PieceState } from './jobState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { PendingFrees } from './pendingFrees.ts'
import type { PieceResult } from './preparationJob.ts'

export class HeldResults {
  constructor (
    private readonly _upstreams: ReadonlyMap<string, PieceUpstream>,
    private readonly _frees: PendingFrees
  ) {}

  /** Has pieces made again whose results are lost. */
  reopenLost (state: JobState, isLost: (result: PieceResult, piece: PieceState) => boolean): void {
    state.pieces.forEach((pieces, stage) => {
      const bytes = state.job.stages[stage]?.resultBytes ?? 0
      for (const piece of pieces) {
        if (piece.status !== 'made' || piece.result === undefined || !isLost(piece.result, piece)) continue
        this.freePiece(piece, bytes)
        state.reopen(stage, piece)
      }
    })
  }

  freeStage (state: JobState, stage: number): void {
    const bytes = state.job.stages[stage]?.resultBytes ?? 0
    for (const piece of state.pieces[stage] ?? []) if (piece.status === 'made') this.freePiece(piece, bytes)
  }

  freePiece (piece: PieceState, bytes: number): void {
    const { result } = piece
    piece.status = 'freed'
    piece.result = undefined
    if (result === undefined || !this._upstreams.has(result.upstreamId)) return
    this._frees.add(result, bytes)
  }
}
