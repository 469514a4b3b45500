/**
 * When each job would be done, given all that goes before it: which jobs can be in time, which can only be late, and
 * which would outlast their callers' patience.
 */
import type { JobState } from './jobState.ts'
import type { AdmissionTerms, JobDecline, JobRefusal } from './preparationJob.ts'
import type { PieceWorkSpec } from './pieceUpstream.ts'

/** What a role can do. */
export interface RoleCapacity {
  readonly work: PieceWorkSpec
  /** Calls that its usable upstreams make at once, slow ones counted by what they do. */
  readonly calls: number
  /** Until the first of them that asked for a pause takes calls again; 0 where one of them did not, Infinity where none takes work. */
  readonly backoffMs: number
  /** Pieces that they make in a millisecond while others wait. */
  readonly piecesPerMs: number
  /** Pieces that are asked for in a millisecond, by rank. */
  readonly arrivalsPerMs: ReadonlyMap<number, number>
}

/** A job and what it still needs when nothing keeps it waiting, the request itself included. */
export interface ForecastEntry {
  readonly state: JobState
  readonly remainingMs: number
  /** How much later its goal counts when it misses it. */
  readonly lateMs: number
}

export interface JobForecast {
  readonly state: JobState
  /** When its request would show its first event. */
  readonly endAt: number
  readonly waitMs: number
  readonly isLate: boolean
}

/** A lower rank counts like a goal this much later. */
export const RANK_MS = 4000
/**
 * The part of a caller's patience that may pass until the first event; the rest is for the answer. A job that was taken
 * may come nearer to the end, since its forecast is not exact.
 */
const ADMITTED_PATIENCE_SHARE = 0.75
const MIN_RETRY_MS = 100
const NO_UPSTREAM_RETRY_MS = 500
/** Late jobs get at least this part of a role, however much keeps coming that can be in time: with less they are refused. */
const MIN_LATE_SHARE = 0.3

/**
 * Forecasts all jobs, given in the order in which they should go. A job that would miss its goal goes behind those that
 * can meet theirs, so that it makes none of them late.
 */
export function forecastJobs (entries: readonly ForecastEntry[], capacities: ReadonlyMap<string, RoleCapacity>, now: number): readonly JobForecast[] {
  const ahead = new Map<string, number>()
  const forecasts: JobForecast[] = []
  const late: ForecastEntry[] = []
  for (const entry of entries) {
    const waitMs = computeQueueMs(entry.state, capacities, ahead, computeWaitMs)
    const endAt = now + waitMs + entry.remainingMs
    if (endAt > entry.state.goalAt) {
      late.push(entry)
      continue
    }
    forecasts.push({ state: entry.state, endAt, waitMs, isLate: false })
    addPieces(entry.state, ahead)
  }
  for (const entry of late) {
    const { state, remainingMs } = entry
    const waitMs = computeQueueMs(state, capacities, ahead, (capacity, pieces) => computeLateWaitMs(capacity, pieces, entry, now))
    forecasts.push({ state, endAt: now + waitMs + remainingMs, waitMs, isLate: true })
    addPieces(state, ahead)
  }
  return forecasts
}

/** Refuses what nobody can make, and what would be too late even for the caller's patience. */
export function decideAdmission (forecast: JobForecast, capacities: ReadonlyMap<string, RoleCapacity>, now: number, { isOffer }: AdmissionTerms = { isOffer: false }): JobRefusal | JobDecline | undefined {
  const { state } = forecast
  const missing = state.job.stages.filter(stage => stage.pieceCount > 0 && (capacities.get(stage.role)?.calls ?? 0) <= 0)
  if (missing.length > 0) return { reason: 'noUpstream', retryAfterMs: Math.max(...missing.map(({ role }) => computeMissingMs(capacities.get(role)))) }
  if (isOffer && forecast.isLate) return { reason: 'late', endInMs: Math.max(0, forecast.endAt - now) }
  const latestEndAt = now + state.job.deadlineInMs * ADMITTED_PATIENCE_SHARE
  if (!forecast.isLate || forecast.endAt <= latestEndAt) return undefined
  return { reason: 'overloaded', retryAfterMs: computeRetryAfter(forecast, latestEndAt) }
}

/** When a role that nobody can be counted on for may have somebody again. */
function computeMissingMs (capacity: RoleCapacity | undefined): number {
  const backoffMs = capacity?.backoffMs ?? Infinity
  return Number.isFinite(backoffMs) ? Math.max(NO_UPSTREAM_RETRY_MS, backoffMs) : NO_UPSTREAM_RETRY_MS
}

/** It makes sense to come back when what is too much now has been done. */
export function computeRetryAfter ({ endAt }: JobForecast, latestEndAt: number): number {
  return Math.round(Math.max(MIN_RETRY_MS, endAt - latestEndAt))
}

/** Adds what waits or runs of one job. */
function addPieces (state: JobState, counts: Map<string, number>): void {
  state.job.stages.forEach((stage, index) => {
    const open = state.countOpen(index)
    if (open > 0) counts.set(stage.role, (counts.get(stage.role) ?? 0) + open)
  })
}

/** How long the pieces ahead keep a job waiting: the role that is shortest of upstreams decides. */
function computeQueueMs (state: JobState, capacities: ReadonlyMap<string, RoleCapacity>, ahead: ReadonlyMap<string, number>, computeMs: (capacity: RoleCapacity, pieces: number) => number): number {
  let longestMs = 0
  state.job.stages.forEach(({ role }, index) => {
    const pieces = ahead.get(role) ?? 0
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
 * What keeps coming goes before a late job as well, but only until that has waited for so long that it comes before new
 * ones: a late job of a high rank soon does.
 */
function computeLateWaitMs ({ piecesPerMs, arrivalsPerMs }: RoleCapacity, pieces: number, { state: { job, goalAt }, lateMs }: ForecastEntry, now: number): number {
  let comingPerMs = 0
  let comingPieces = 0
  for (const [rank, perMs] of arrivalsPerMs) {
    const passedForMs = lateMs + (job.rank - rank) * RANK_MS - Math.max(0, now - goalAt)
    if (passedForMs <= 0) continue
    comingPerMs += perMs
    comingPieces += perMs * passedForMs
  }
  const spareRate = Math.max(piecesPerMs * MIN_LATE_SHARE, piecesPerMs - comingPerMs)
  return Math.min(pieces / spareRate, (pieces + comingPieces) / piecesPerMs)
}
