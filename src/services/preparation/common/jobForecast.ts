/**
 * Forecasts when each job completes, given the work queued before it, to distinguish jobs that meet their goal from those that
 * miss it and from those that would exceed their deadline.
 */
import type { JobState } from './jobState.ts'
import type { AdmissionOptions, JobDecline, JobRefusal } from './preparationJob.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'

export interface RoleCapacity {
  readonly work: PieceWorkSpec
  /** Concurrent calls of all usable upstreams; slow upstreams count in proportion to their speed. */
  readonly calls: number
  /** Time until the first upstream ends the backoff that it requested; 0 if one requested none, Infinity if none accepts calls. */
  readonly backoffMs: number
  /** Throughput in pieces per millisecond while there is a backlog. */
  readonly piecesPerMs: number
  /** Pieces that arrive per millisecond, by rank. */
  readonly arrivalsPerMs: ReadonlyMap<number, number>
}

/** A job and its remaining time without queueing, the request itself included. */
export interface ForecastEntry {
  readonly state: JobState
  readonly remainingMs: number
  /** How much later the goal is assumed to be in scheduling once the job misses it. */
  readonly latenessPenaltyMs: number
}

export interface ForecastOptions {
  /** Minimum share of a role's capacity that is assumed for late jobs, whatever the arrival rate of others. */
  readonly minLateCapacityRatio?: number
}

/** A job that is not admitted yet, and the work that is reserved before it: pieces by role. */
export interface NewJobEntry {
  readonly state: JobState
  readonly reservedPieces: ReadonlyMap<string, number>
}

export interface JobForecast {
  readonly state: JobState
  /** When the first event of the request is expected. */
  readonly endAt: number
  readonly waitMs: number
  readonly isLate: boolean
}

/** Each step down in rank is equivalent to a goal this much later. */
export const RANK_STEP_MS = 4000
/**
 * Share of the deadline that may pass before the first event for a job to be admitted; the rest is for the answer. Admitted
 * jobs may exceed the share, since the forecast is not exact.
 */
const ADMISSION_DEADLINE_RATIO = 0.75
export const MIN_RETRY_MS = 100
const NO_UPSTREAM_RETRY_MS = 500
/** Minimum share of a role's capacity for late jobs, whatever the arrival rate of jobs that can be in time: with less they would be refused. */
const MIN_LATE_CAPACITY_RATIO = 0.3

/**
 * Forecasts all jobs, given in scheduling order. A job that would miss its goal is placed behind those that can meet
 * theirs, so that it makes none of them late. A caller that returned at its reserved time keeps its place, since it was promised the capacity.
 */
export function forecastJobs (entries: readonly ForecastEntry[], capacities: ReadonlyMap<string, RoleCapacity>, now: number, { minLateCapacityRatio = MIN_LATE_CAPACITY_RATIO }: ForecastOptions = {}, newJob?: NewJobEntry): readonly JobForecast[] {
  const piecesAhead = new Map<string, number>()
  const forecasts: JobForecast[] = []
  const late: ForecastEntry[] = []
  for (const entry of entries) {
    const waitMs = computeQueueMs(entry.state, capacities, addReserved(piecesAhead, entry.state, newJob), computeWaitMs)
    const endAt = now + waitMs + entry.remainingMs
    const isLate = endAt > entry.state.goalAt
    if (isLate && !entry.state.isReturn) {
      late.push(entry)
      continue
    }
    forecasts.push({ state: entry.state, endAt, waitMs, isLate })
    addOpenPieces(entry.state, piecesAhead)
  }
  for (const entry of late) {
    const { state, remainingMs } = entry
    const waitMs = computeQueueMs(state, capacities, addReserved(piecesAhead, state, newJob), (capacity, pieces) => computeLateWaitMs(capacity, pieces, { ...entry, minLateCapacityRatio }, now))
    forecasts.push({ state, endAt: now + waitMs + remainingMs, waitMs, isLate: true })
    addOpenPieces(state, piecesAhead)
  }
  return forecasts
}

/** Refuses a job if a role has no usable upstream or the deadline would not be met; declines an offer that would miss its goal. */
export function decideAdmission (forecast: JobForecast, capacities: ReadonlyMap<string, RoleCapacity>, now: number, { isOffer }: AdmissionOptions = { isOffer: false }): JobRefusal | JobDecline | undefined {
  const { state } = forecast
  const unavailableStages = state.job.stages.filter(stage => stage.pieceCount > 0 && (capacities.get(stage.role)?.calls ?? 0) <= 0)
  if (unavailableStages.length > 0) return { reason: 'noUpstream', retryAfterMs: Math.max(...unavailableStages.map(({ role }) => computeNoUpstreamRetryMs(capacities.get(role)))) }
  if (isOffer && forecast.isLate) return { reason: 'late', endInMs: Math.max(0, forecast.endAt - now) }
  const latestEndAt = now + state.job.deadlineInMs * ADMISSION_DEADLINE_RATIO
  if (!forecast.isLate || forecast.endAt <= latestEndAt) return undefined
  return { reason: 'overloaded', retryAfterMs: computeRetryAfterMs(forecast, latestEndAt) }
}

/** Returns the delay after which a role without usable upstreams may have one again. */
function computeNoUpstreamRetryMs (capacity: RoleCapacity | undefined): number {
  const backoffMs = capacity?.backoffMs ?? Infinity
  return Number.isFinite(backoffMs) ? Math.max(NO_UPSTREAM_RETRY_MS, backoffMs) : NO_UPSTREAM_RETRY_MS
}

/** Returns the time in which the excess work will be done, so that a retry can succeed. */
export function computeRetryAfterMs ({ endAt }: JobForecast, latestEndAt: number): number {
  return Math.round(Math.max(MIN_RETRY_MS, endAt - latestEndAt))
}

/** Returns the pieces before a job, with the reserved ones if it is the new job. */
function addReserved (piecesAhead: ReadonlyMap<string, number>, state: JobState, newJob: NewJobEntry | undefined): ReadonlyMap<string, number> {
  if (newJob?.state !== state || newJob.reservedPieces.size === 0) return piecesAhead
  const sums = new Map(piecesAhead)
  for (const [role, count] of newJob.reservedPieces) sums.set(role, (sums.get(role) ?? 0) + count)
  return sums
}

/** Adds the open pieces of a job to the counts by role. */
function addOpenPieces (state: JobState, counts: Map<string, number>): void {
  state.job.stages.forEach((stage, index) => {
    const open = state.countOpen(index)
    if (open > 0) counts.set(stage.role, (counts.get(stage.role) ?? 0) + open)
  })
}

/** Estimates how long a job is queued behind the pieces of others; the role with the longest queue determines the result. */
function computeQueueMs (state: JobState, capacities: ReadonlyMap<string, RoleCapacity>, piecesByRole: ReadonlyMap<string, number>, computeMs: (capacity: RoleCapacity, pieces: number) => number): number {
  let longestMs = 0
  state.job.stages.forEach(({ role }, index) => {
    const pieces = piecesByRole.get(role) ?? 0
    const capacity = capacities.get(role)
    if (pieces === 0 || capacity === undefined || capacity.calls <= 0 || state.isComplete(index)) return
    longestMs = Math.max(longestMs, computeMs(capacity, pieces))
  })
  return longestMs
}

function computeWaitMs ({ piecesPerMs }: RoleCapacity, pieces: number): number {
  return pieces / piecesPerMs
}

/**
 * Jobs that arrive later also go before a late job, but only until the late job has waited long enough to be ahead of new
 * ones. A late job of a more urgent rank reaches that point sooner.
 */
function computeLateWaitMs ({ piecesPerMs, arrivalsPerMs }: RoleCapacity, pieces: number, { state: { job, goalAt }, latenessPenaltyMs, minLateCapacityRatio }: ForecastEntry & Required<ForecastOptions>, now: number): number {
  let arrivalsAheadPerMs = 0
  let arrivingPieces = 0
  for (const [rank, perMs] of arrivalsPerMs) {
    const aheadForMs = latenessPenaltyMs + (job.rank - rank) * RANK_STEP_MS - Math.max(0, now - goalAt)
    if (aheadForMs <= 0) continue
    arrivalsAheadPerMs += perMs
    arrivingPieces += perMs * aheadForMs
  }
  const sparePiecesPerMs = Math.max(piecesPerMs * minLateCapacityRatio, piecesPerMs - arrivalsAheadPerMs)
  return Math.min(pieces / sparePiecesPerMs, (pieces + arrivingPieces) / piecesPerMs)
}
