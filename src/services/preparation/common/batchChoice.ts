/**
 * Which pieces go together into a call, and to which of the idle upstreams.
 */
import type { JobOrder } from './jobOrder.ts'
import type { JobState } from './jobState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'
import { computeBatchSize, listStartableBeside, listWaiting, takeBatch } from './readyPiece.ts'
import type { ReadyPiece } from './readyPiece.ts'

/** Starts a call; the pieces that are left could have started too. */
export type BatchStart = (upstream: PieceUpstream, pieces: readonly ReadyPiece[], leftWaiting: number) => void

/** How long a piece waits for an upstream in its hall, if its goal leaves the time. */
const HALL_PATIENCE_MS = 250

export class BatchChoice {
  constructor (private readonly _pool: PieceUpstreams, private readonly _order: JobOrder) {}

  /** Pieces that could start at idle upstreams, by role, in the order in which they should, as far as there is room for whole stages. */
  groupReady (jobs: Iterable<JobState>, idle: ReadonlyMap<string, unknown>, now: number): ReadonlyMap<string, readonly ReadyPiece[]> {
    const freeBytes = this._pool.sumFreeBytes(now)
    const begun = new Map<string, ReadyPiece[]>()
    const fresh = new Map<string, ReadyPiece[]>()
    for (const state of this._order.rank(jobs, now)) {
      if (!state.hasWaiting(idle)) continue
      for (const stage of state.listReadyStages()) {
        const spec = state.job.stages[stage]
        if (spec === undefined || !idle.has(spec.role)) continue
        const pieces = listWaiting(state, stage, spec.resultBytes)
        const wantedBytes = pieces.length * spec.resultBytes
        const left = freeBytes.get(spec.role) ?? 0
        // A stage that has begun holds room which only its end gives back, so it goes first, whatever is left.
        const group = state.hasStarted(stage) ? begun : fresh
        if (group === fresh && wantedBytes > left) continue
        freeBytes.set(spec.role, left - wantedBytes)
        const held = group.get(spec.role)
        if (held === undefined) group.set(spec.role, [...pieces])
        else held.push(...pieces)
      }
    }
    return new Map([...idle.keys()].map(role => [role, [...begun.get(role) ?? [], ...fresh.get(role) ?? []]]))
  }

  /** Spreads the ready pieces of a role over its idle upstreams; each call starts before the next is chosen. */
  spread (ready: readonly ReadyPiece[], idle: readonly PieceUpstream[], now: number, onDidChoose: BatchStart): void {
    let rest: readonly ReadyPiece[] = ready
    const hasEmpty = idle.some(upstream => upstream.runningCalls === 0)
    idle.forEach((upstream, index) => {
      if (rest.length === 0 || !this._pool.isWorthwhile(upstream, rest.length, now)) return
      // What a suspect might end is best an upstream where nothing else runs.
      const mayTakeSuspects = upstream.runningCalls === 0 || !hasEmpty
      const allowed = mayTakeSuspects ? rest : rest.filter(piece => !piece.isSuspect)
      const fitting = allowed.filter(piece => this._pool.isNear(upstream, piece.state.getHall(piece.stage), now))
      const size = computeBatchSize(upstream, rest.length, idle.length - index)
      const chosen = takeBatch([...fitting, ...allowed.filter(piece => !fitting.includes(piece) && this._isImpatient(piece, now))], upstream, size, now)
      rest = listStartableBeside(chosen, rest)
      if (chosen.length > 0) onDidChoose(upstream, chosen, rest.length)
    })
  }

  /** Whether a piece has waited long enough for its hall, or cannot wait. */
  private _isImpatient (piece: ReadyPiece, now: number): boolean {
    const { state } = piece
    const slackMs = state.goalAt - now - this._order.estimateRemaining(state, now)
    return now - state.getReadyAt(piece.stage, now) >= Math.min(HALL_PATIENCE_MS, Math.max(0, slackMs))
  }
}
