/**
 * Gives results of jobs back, and has lost ones made again.
 */
import type { JobState } from './jobState.ts'
import type { PieceState } from './pieceState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { PendingFrees } from './pendingFrees.ts'
import type { CarriedPiece, PieceResult } from './preparationJob.ts'

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

  /** Takes results of an earlier plan over, as far as they still lie at their makers. */
  restore (state: JobState, carried: readonly CarriedPiece[], now: number): void {
    for (const { stage, index, result, ageMs } of carried) {
      const piece = state.pieces[stage]?.[index]
      const upstream = this._upstreams.get(result.upstreamId)
      if (piece === undefined || piece.status === 'made' || upstream === undefined || ageMs >= upstream.work.resultLifetimeMs) continue
      piece.status = 'made'
      piece.result = result
      piece.madeAt = now - ageMs
      upstream.holdRoom(state.job.stages[stage]?.resultBytes ?? 0)
    }
  }

  /** The results stay where they are and count no more. */
  forgetAll (state: JobState): void {
    state.pieces.forEach((pieces, stage) => {
      const bytes = state.job.stages[stage]?.resultBytes ?? 0
      for (const piece of pieces) if (piece.result !== undefined) this._upstreams.get(piece.result.upstreamId)?.releaseRoom(bytes)
    })
  }

  freeAll (state: JobState): void {
    state.job.stages.forEach((_, stage) => this.freeStage(state, stage))
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
