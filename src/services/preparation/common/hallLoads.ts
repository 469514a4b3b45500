/**
 * Estimates queueing times by hall, and chooses the hall for the chain of stages of a job.
 */
import type { JobState, StagePlacement } from './jobState.ts'
import { computeMsPerPiece } from './pieceUpstream.ts'
import type { PieceUpstream, PieceWorkSpec } from './pieceUpstream.ts'

/** Added to the queueing time of a hall that has no upstream for a role of the chain. */
const MISSING_ROLE_PENALTY_MS = 250

export class HallLoads {
  constructor (
    private readonly _upstreams: ReadonlyMap<string, PieceUpstream>,
    private readonly _jobs: ReadonlyMap<string, JobState>,
    private readonly _workSpecs: ReadonlyMap<string, PieceWorkSpec>
  ) {}

  /** Estimates, by hall, how long the stages of a job with the given placement would be queued. */
  computeWaitsMs (state: JobState, placement: StagePlacement, now: number): ReadonlyMap<string, number> {
    const roles = new Set(state.job.stages.flatMap((stage, index) => state.placements[index] === placement ? [stage.role] : []))
    const waitsMs = new Map<string, number>()
    for (const role of roles) {
      const work = this._workSpecs.get(role)
      if (work === undefined) continue
      for (const [hall, calls] of this._countCalls(role, now)) {
        const waitMs = this._countOpenPieces(role, hall) * computeMsPerPiece(work) / calls
        waitsMs.set(hall, Math.max(waitsMs.get(hall) ?? 0, waitMs))
      }
    }
    return waitsMs
  }

  private _countCalls (role: string, now: number): ReadonlyMap<string, number> {
    const calls = new Map<string, number>()
    for (const upstream of this._upstreams.values()) {
      if (upstream.role !== role || !upstream.isUsable(now)) continue
      calls.set(upstream.hall, (calls.get(upstream.hall) ?? 0) + upstream.work.concurrentCalls / Math.max(1, upstream.getSlowness(now)))
    }
    return calls
  }

  /** Counts the waiting and running pieces of a role that prefer a hall. */
  private _countOpenPieces (role: string, hall: string): number {
    let count = 0
    for (const state of this._jobs.values()) {
      if (state.isHandedOver) continue
      state.job.stages.forEach((stage, index) => {
        if (stage.role === role && state.getPreferredHall(index) === hall) count += state.countOpen(index)
      })
    }
    return count
  }

  /** Returns the hall with the shortest queueing time for the job's chain, penalizing halls that lack a role; ties go to the target's hall. */
  chooseChainHall (state: JobState, now: number): string {
    const roles = new Set(state.job.stages.flatMap((stage, index) => state.placements[index] === 'chain' ? [stage.role] : []))
    const waitsMs = this.computeWaitsMs(state, 'chain', now)
    const hasAllRoles = (hall: string) => [...roles].every(role => this._countCalls(role, now).has(hall))
    let best = ''
    let bestMs = Infinity
    for (const [hall, waitMs] of waitsMs) {
      const scoreMs = waitMs + (hasAllRoles(hall) ? 0 : MISSING_ROLE_PENALTY_MS) + (hall === state.targetHall ? 0 : 1)
      if (scoreMs >= bestMs) continue
      best = hall
      bestMs = scoreMs
    }
    return best
  }
}
