/**
 * How much waits at one plan, by role: two plans of the same moment, put side by side, tell whether work waits in one
 * while upstreams of another have nothing to do.
 */
import type { RoleCapacity } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'

export interface RoleLoad {
  readonly role: string
  /** Calls that its usable upstreams make at once, slow ones counted by what they do. */
  readonly calls: number
  readonly runningCalls: number
  /** Pieces that wait, whether or not their inputs are there, or run. */
  readonly openPieces: number
  /** How long the open pieces take at the observed rate, in milliseconds. */
  readonly queueMs: number
}

export interface PlanLoad {
  readonly jobs: number
  /** Jobs that can only be late, as when they were last forecast. */
  readonly lateJobs: number
  readonly roles: readonly RoleLoad[]
}

export function measurePlanLoad (jobs: Iterable<JobState>, upstreams: Iterable<PieceUpstream>, capacities: ReadonlyMap<string, RoleCapacity>): PlanLoad {
  const wanted = [...jobs].filter(state => state.isWanted)
  const openPieces = new Map<string, number>()
  for (const state of wanted) state.job.stages.forEach(({ role }, index) => openPieces.set(role, (openPieces.get(role) ?? 0) + state.countOpen(index)))
  const runningCalls = new Map<string, number>()
  for (const upstream of upstreams) runningCalls.set(upstream.role, (runningCalls.get(upstream.role) ?? 0) + upstream.runningCalls)
  const roles = [...capacities].map(([role, { calls, piecesPerMs }]) => {
    const open = openPieces.get(role) ?? 0
    return { role, calls, runningCalls: runningCalls.get(role) ?? 0, openPieces: open, queueMs: open === 0 ? 0 : open / piecesPerMs }
  })
  return { jobs: wanted.length, lateJobs: wanted.filter(state => state.isLate).length, roles }
}
