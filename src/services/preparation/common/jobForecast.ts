/**
 * When a job would be done: how much work of the same or higher rank goes before it, and how long it takes alone.
 */
import type { JobState } from './jobState.ts'
import type { JobRefusal, PreparationJob } from './preparationJob.ts'
import { computeCallMs, computePieceCost } from './pieceUpstream.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'

/** What a role can do. */
export interface RoleCapacity {
  readonly work: PieceWorkSpec
  /** Calls that its usable upstreams make at once, slow ones counted by what they do. */
  readonly calls: number
}

export interface ForecastInputs {
  readonly job: PreparationJob
  readonly capacities: ReadonlyMap<string, RoleCapacity>
  /** Pieces that go before the job, by role. */
  readonly piecesAhead: ReadonlyMap<string, number>
}

export interface JobForecast {
  readonly aloneMs: number
  readonly waitMs: number
}

/** The part of the time to the deadline that preparation may fill; the rest is for the request itself. */
const MAX_DEADLINE_SHARE = 0.6
const MIN_RETRY_MS = 100
const RETRY_WAIT_SHARE = 0.5
const NO_UPSTREAM_RETRY_MS = 500

export function forecastJob (inputs: ForecastInputs): JobForecast {
  const { job, capacities, piecesAhead } = inputs
  const roles = [...new Set(job.stages.filter(stage => stage.pieceCount > 0).map(stage => stage.role))]
  const waitMs = Math.max(0, ...roles.map(role => computeWait(capacities.get(role), piecesAhead.get(role) ?? 0)))
  return { aloneMs: computeAlone(job, capacities), waitMs }
}

/** Refuses what would be too late even for the caller's deadline; what only misses its goal is taken. */
export function decideAdmission (inputs: ForecastInputs): JobRefusal | undefined {
  const { job, capacities } = inputs
  const missing = job.stages.some(stage => stage.pieceCount > 0 && (capacities.get(stage.role)?.calls ?? 0) <= 0)
  if (missing) return { reason: 'noUpstream', retryAfterMs: NO_UPSTREAM_RETRY_MS }
  const { aloneMs, waitMs } = forecastJob(inputs)
  const allowedMs = job.deadlineInMs * MAX_DEADLINE_SHARE
  if (aloneMs + waitMs <= allowedMs) return undefined
  return { reason: 'overloaded', retryAfterMs: computeRetryAfter(waitMs, aloneMs + waitMs - allowedMs) }
}

/**
 * When it makes sense to come back: what is too much must have been done, and since more keeps coming while a burst
 * lasts, half of all that waits.
 */
export function computeRetryAfter (waitMs: number, excessMs: number): number {
  return Math.round(Math.max(MIN_RETRY_MS, excessMs, waitMs * RETRY_WAIT_SHARE))
}

/** Sums what waits or runs, by role. */
export function countPieces (jobs: Iterable<JobState>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const state of jobs) addPieces(state, counts)
  return counts
}

/** Adds what waits or runs of one job. */
export function addPieces (state: JobState, counts: Map<string, number>): void {
  state.job.stages.forEach((stage, index) => {
    const open = (state.pieces[index] ?? []).filter(piece => piece.status === 'waiting' || piece.status === 'running').length
    if (open > 0) counts.set(stage.role, (counts.get(stage.role) ?? 0) + open)
  })
}

/** How long the pieces ahead keep a job waiting: the role that is shortest of upstreams decides. */
export function computeQueueMs (state: JobState, capacities: ReadonlyMap<string, RoleCapacity>, ahead: ReadonlyMap<string, number>): number {
  const roles = state.job.stages.flatMap((stage, index) => state.isComplete(index) ? [] : [stage.role])
  return Math.max(0, ...roles.map(role => computeWait(capacities.get(role), ahead.get(role) ?? 0)))
}

function computeWait (capacity: RoleCapacity | undefined, pieces: number): number {
  if (capacity === undefined || capacity.calls <= 0) return 0
  const { work, calls } = capacity
  return pieces * computePieceCost(work) / calls
}

/** The longest chain of stages, each in one call. */
function computeAlone (job: PreparationJob, capacities: ReadonlyMap<string, RoleCapacity>): number {
  const ends = job.stages.map(() => -1)
  const compute = (index: number): number => {
    const stage = job.stages[index]
    if (stage === undefined) return 0
    if (ends[index] !== -1) return ends[index] ?? 0
    const work = capacities.get(stage.role)?.work
    const own = stage.pieceCount === 0 || work === undefined ? 0 : computeCallMs(work, Math.min(stage.pieceCount, work.maxPiecesPerCall))
    return (ends[index] = own + Math.max(0, ...stage.after.map(compute)))
  }
  return Math.max(0, ...job.stages.map((_, index) => compute(index)))
}
