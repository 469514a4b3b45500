/**
 * Load of one plan, by role. Comparing the loads of two plans at the same time shows whether work is queued in one while
 * upstreams of the other are idle.
 */
import type { RoleCapacity } from './jobForecast.ts'
import type { JobState } from './jobState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'

export interface RoleLoad {
  readonly role: string
  /** Concurrent calls of all usable upstreams; slow upstreams count in proportion to their speed. */
  readonly calls: number
  readonly runningCalls: number
  /** Pieces that are waiting, with or without computed inputs, or running. */
  readonly openPieces: number
  /** Time to work off the open pieces at the observed throughput. */
  readonly queueMs: number
}

export interface PlanLoad {
  readonly jobs: number
  /** Jobs that miss their goal according to the latest forecast. */
  readonly lateJobs: number
  readonly roles: readonly RoleLoad[]
}

export function measurePlanLoad (jobs: Iterable<JobState>, upstreams: Iterable<PieceUpstream>, capacities: ReadonlyMap<string, RoleCapacity>): PlanLoad {
  const activeJobs = [...jobs].filter(state => state.isActive)
  const openPieces = new Map<string, number>()
  for (const state of activeJobs) state.job.stages.forEach(({ role }, index) => openPieces.set(role, (openPieces.get(role) ?? 0) + state.countOpen(index)))
  const runningCalls = new Map<string, number>()
  for (const upstream of upstreams) runningCalls.set(upstream.role, (runningCalls.get(upstream.role) ?? 0) + upstream.runningCalls)
  const roles = [...capacities].map(([role, { calls, piecesPerMs }]) => {
    const open = openPieces.get(role) ?? 0
    return { role, calls, runningCalls: runningCalls.get(role) ?? 0, openPieces: open, queueMs: open === 0 ? 0 : open / piecesPerMs }
  })
  return { jobs: activeJobs.length, lateJobs: activeJobs.filter(state => state.isLate).length, roles }
}
