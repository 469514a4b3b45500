/**
 * How long work would wait in each hall, and which hall a job's chain of stages should be made in.
 */
import type { JobState, StagePlace } from './jobState.ts'
import { computePieceCost } from './pieceUpstream.ts'
import type { PieceUpstream, PieceWorkSpec } from './pieceUpstream.ts'

/** A hall that lacks a role of the chain counts as if the job waited so much longer there, in milliseconds. */
const LACK_MS = 250

export class HallLoads {
  constructor (
    private readonly _upstreams: ReadonlyMap<string, PieceUpstream>,
    private readonly _jobs: ReadonlyMap<string, JobState>,
    private readonly _works: ReadonlyMap<string, PieceWorkSpec>
  ) {}

  /** How long the pieces of a job that should be made in one place would wait for it, by hall. */
  computeWaits (state: JobState, place: StagePlace, now: number): ReadonlyMap<string, number> {
    const roles = new Set(state.job.stages.flatMap((stage, index) => state.places[index] === place ? [stage.role] : []))
    const waits = new Map<string, number>()
    for (const role of roles) {
      const work = this._works.get(role)
      if (work === undefined) continue
      for (const [hall, calls] of this._countCalls(role, now)) {
        const waitMs = this._countPieces(role, hall) * computePieceCost(work) / calls
        waits.set(hall, Math.max(waits.get(hall) ?? 0, waitMs))
      }
    }
    return waits
  }

  private _countCalls (role: string, now: number): ReadonlyMap<string, number> {
    const calls = new Map<string, number>()
    for (const upstream of this._upstreams.values()) {
      if (upstream.role !== role || !upstream.isUsable(now)) continue
      calls.set(upstream.hall, (calls.get(upstream.hall) ?? 0) + upstream.work.concurrentCalls / Math.max(1, upstream.getSlowness(now)))
    }
    return calls
  }

  /** Pieces of a role that wait or run for a hall. */
  private _countPieces (role: string, hall: string): number {
    let count = 0
    for (const state of this._jobs.values()) {
      if (state.isHandedOver) continue
      state.job.stages.forEach((stage, index) => {
        if (stage.role === role && state.getHall(index) === hall) count += state.countOpen(index)
      })
    }
    return count
  }

  /** The hall where the job's chain would wait least; halls that lack a role of it are left out while another has all. */
  chooseChainHall (state: JobState, now: number): string {
    const roles = new Set(state.job.stages.flatMap((stage, index) => state.places[index] === 'chain' ? [stage.role] : []))
    const waits = this.computeWaits(state, 'chain', now)
    const isWhole = (hall: string) => [...roles].every(role => this._countCalls(role, now).has(hall))
    let best = ''
    let bestMs = Infinity
    for (const [hall, waitMs] of waits) {
      const scoreMs = waitMs + (isWhole(hall) ? 0 : LACK_MS) + (hall === state.targetHall ? 0 : 1)
      if (scoreMs >= bestMs) continue
      best = hall
      bestMs = scoreMs
    }
    return best
  }
}
