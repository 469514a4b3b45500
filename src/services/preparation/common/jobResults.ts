/**
 * Tracks the results of jobs at upstreams: restores, frees and recomputes them.
 */
import type { JobState } from './jobState.ts'
import type { PieceState } from './pieceState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { PendingFrees } from './pendingFrees.ts'
import type { CarriedPiece, PieceResult } from './preparationJob.ts'

export class JobResults {
  constructor (
    private readonly _upstreams: ReadonlyMap<string, PieceUpstream>,
    private readonly _pendingFrees: PendingFrees
  ) {}

  /** Returns pieces with lost results to waiting, so that they are computed again. */
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

  /** Adopts results of an earlier plan if their upstream is known and their lifetime has not ended. */
  restore (state: JobState, carried: readonly CarriedPiece[], now: number): void {
    for (const { stage, index, result, ageMs } of carried) {
      const piece = state.pieces[stage]?.[index]
      const upstream = this._upstreams.get(result.upstreamId)
      if (piece === undefined || piece.status === 'made' || upstream === undefined || ageMs >= upstream.work.resultLifetimeMs) continue
      piece.status = 'made'
      piece.result = result
      piece.computedAt = now - ageMs
      upstream.reserveCapacity(state.job.stages[stage]?.resultBytes ?? 0)
    }
  }

  /** Releases the reserved capacity of the job's results without freeing the results. */
  forgetAll (state: JobState): void {
    state.pieces.forEach((pieces, stage) => {
      const bytes = state.job.stages[stage]?.resultBytes ?? 0
      for (const piece of pieces) if (piece.result !== undefined) this._upstreams.get(piece.result.upstreamId)?.releaseCapacity(bytes)
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
    this._pendingFrees.add(result, bytes)
  }
}
