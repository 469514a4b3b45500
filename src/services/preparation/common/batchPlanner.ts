/**
 * Batches ready pieces into calls and assigns the calls to available upstreams.
 */
import type { JobOrder } from './jobOrder.ts'
import type { JobState } from './jobState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'
import { computeBatchSize, listStartableInParallel, listReadyPieces, selectBatch } from './readyPiece.ts'
import type { ReadyPiece } from './readyPiece.ts'

/** Called for each batch; `leftWaiting` counts the ready pieces that are not assigned to a call yet. */
export type BatchListener = (upstream: PieceUpstream, pieces: readonly ReadyPiece[], leftWaiting: number) => void

/** How long a piece waits for an upstream in its preferred hall, as long as it can still meet its goal. */
const MAX_HALL_WAIT_MS = 250

export class BatchPlanner {
  constructor (private readonly _pool: PieceUpstreams, private readonly _jobOrder: JobOrder) {}

  /** Returns the pieces that can start at available upstreams, by role and in scheduling order. A stage starts only if all its results fit. */
  groupReady (jobs: Iterable<JobState>, availableByRole: ReadonlyMap<string, unknown>, now: number): ReadonlyMap<string, readonly ReadyPiece[]> {
    const freeBytes = this._pool.sumFreeBytes(now)
    const startedStages = new Map<string, ReadyPiece[]>()
    const newStages = new Map<string, ReadyPiece[]>()
    for (const state of this._jobOrder.rank(jobs, now)) {
      if (!state.hasWaiting(availableByRole)) continue
      for (const stage of state.listReadyStages()) {
        const spec = state.job.stages[stage]
        if (spec === undefined || !availableByRole.has(spec.role)) continue
        const pieces = listReadyPieces(state, stage, spec.resultBytes)
        const requiredBytes = pieces.length * spec.resultBytes
        const remainingBytes = freeBytes.get(spec.role) ?? 0
        // A started stage uses result capacity until it is complete, so it goes first, even if not all of it fits.
        const group = state.hasStarted(stage) ? startedStages : newStages
        if (group === newStages && requiredBytes > remainingBytes) continue
        freeBytes.set(spec.role, remainingBytes - requiredBytes)
        const existing = group.get(spec.role)
        if (existing === undefined) group.set(spec.role, [...pieces])
        else existing.push(...pieces)
      }
    }
    return new Map([...availableByRole.keys()].map(role => [role, [...startedStages.get(role) ?? [], ...newStages.get(role) ?? []]]))
  }

  /** Distributes the ready pieces of a role over its available upstreams; the listener starts each call before the next is planned. */
  assignBatches (ready: readonly ReadyPiece[], available: readonly PieceUpstream[], now: number, onDidChoose: BatchListener): void {
    let rest: readonly ReadyPiece[] = ready
    const hasUnusedUpstream = available.some(upstream => upstream.runningCalls === 0)
    available.forEach((upstream, index) => {
      if (rest.length === 0 || !this._pool.isWorthwhile(upstream, rest.length, now)) return
      // Suspect pieces may crash the upstream, so they preferably go to one without other calls.
      const canRunSuspects = upstream.runningCalls === 0 || !hasUnusedUpstream
      const allowed = canRunSuspects ? rest : rest.filter(piece => !piece.isSuspect)
      const inHall = allowed.filter(piece => this._pool.isEligibleForHall(upstream, piece.state.getPreferredHall(piece.stage), now))
      const size = computeBatchSize(upstream, rest.length, available.length - index)
      const chosen = selectBatch([...inHall, ...allowed.filter(piece => !inHall.includes(piece) && this._canUseOtherHall(piece, now))], upstream, size, now)
      rest = listStartableInParallel(chosen, rest)
      if (chosen.length > 0) onDidChoose(upstream, chosen, rest.length)
    })
  }

  /** Whether a piece has waited long enough for its preferred hall, or would miss its goal by waiting. */
  private _canUseOtherHall (piece: ReadyPiece, now: number): boolean {
    const { state } = piece
    const slackMs = state.goalAt - now - this._jobOrder.estimateRemainingMs(state, now)
    return now - state.getReadyAt(piece.stage, now) >= Math.min(MAX_HALL_WAIT_MS, Math.max(0, slackMs))
  }
}
