/**
 * Jobs, planners and call outcomes for tests of preparation.
 */
import type { JobStage, PreparationJob } from '../common/preparationJob.ts'
import type { PieceWorkSpec } from '../common/pieceUpstream.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import type { JobEnd, PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'
import type { TargetCandidate } from '../common/targetPlanner.ts'

export const WORK: PieceWorkSpec = { concurrentCalls: 1, maxPiecesPerCall: 4, callMs: 100, pieceMs: 10, resultRoomBytes: 1000, resultLifetimeMs: 4000 }

export function createStage (role: string, pieceCount: number, after: readonly number[] = [], resultBytes = 10): JobStage {
  return { role, pieceCount, after, resultBytes }
}

export function createJob (id: string, stages: readonly JobStage[], options: Partial<PreparationJob> = {}): PreparationJob {
  return {
    id,
    key: `key of ${id}`,
    stages,
    request: { role: 'model', shared: [], inputTokens: 0 },
    rank: 0,
    goalInMs: 1000,
    deadlineInMs: 8000,
    ...options
  }
}

export interface PlannerOptions {
  /** The number of upstreams of each role. */
  readonly upstreams: Readonly<Record<string, number>>
  readonly work?: Partial<PieceWorkSpec>
  readonly targets?: readonly TargetCandidate[]
  readonly hasContention?: boolean
}

/** Upstreams are named `role-0`, `role-1`, each in the hall of its number. */
export function createPlanner (options: PlannerOptions): PreparationPlanner {
  const planner = new PreparationPlanner(() => options.targets ?? [], undefined, { hasContention: options.hasContention ?? false })
  for (const [role, count] of Object.entries(options.upstreams)) {
    for (let index = 0; index < count; index++) planner.setUpstream({ id: `${role}-${index}`, role, hall: `h${index}`, work: { ...WORK, ...options.work } })
  }
  return planner
}

export function createSuccess (call: PlannedCall): PieceCallOutcome {
  return { kind: 'answered', pieces: call.pieces.map(piece => ({ kind: 'made', handle: `${call.upstreamId}/${call.id}.${piece.stage}.${piece.index}` })) }
}

/** Runs all calls to completion, each for its expected time multiplied by `slowdown`. Returns the time of the end. */
export function runToCompletion (planner: PreparationPlanner, startAt: number, onDidStart: (call: PlannedCall, now: number) => void = () => {}, { slowness: slowdown = 1 } = {}): number {
  let now = startAt
  const running: { readonly call: PlannedCall, readonly endAt: number }[] = []
  const start = () => {
    for (const call of planner.startCalls(now)) {
      onDidStart(call, now)
      running.push({ call, endAt: now + call.expectedMs * slowdown })
    }
  }
  for (start(); running.length > 0; start()) {
    running.sort((a, b) => a.endAt - b.endAt)
    const next = running.shift()
    if (next === undefined) break
    now = next.endAt
    planner.completeCall(next.call.id, createSuccess(next.call), now)
    for (const free of planner.dequeueFrees()) planner.completeFree(free, true, now)
  }
  return now
}

/** Takes all pending updates and returns those that end a job. */
export function takeJobEnds (planner: PreparationPlanner): readonly JobEnd[] {
  return planner.dequeueUpdates().flatMap(update => update.kind === 'prepared' || update.kind === 'refused' ? [update] : [])
}
