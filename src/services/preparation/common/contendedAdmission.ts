/**
 * Admission where capacity is scarce: a refused caller learns when it can be served in time, and capacity is reserved for it.
 */
import { findReturnMs } from './capacityOutlook.ts'
import type { RoleOutlook } from './capacityOutlook.ts'
import { ForecastErrors } from './forecastErrors.ts'
import type { JobClass } from './forecastErrors.ts'
import { JobAdmission } from './jobAdmission.ts'
import type { PlanContext } from './jobAdmission.ts'
import { computeRetryAfterMs, decideAdmission, MIN_RETRY_MS } from './jobForecast.ts'
import type { JobForecast, RoleCapacity } from './jobForecast.ts'
import { computeAdmissionMarginMs } from './jobOrder.ts'
import type { JobState } from './jobState.ts'
import { countPiecesByRole } from './preparationJob.ts'
import type { AdmissionOptions, JobDecline, JobRefusal, JobStage, ReservationEntry, ReturnNotice } from './preparationJob.ts'
import { ReturnNotices } from './returnNotices.ts'
import { ReturnReservations } from './returnReservations.ts'
import type { ReturnCounts } from './returnReservations.ts'
import { computeRemainingReturnMs } from './returnWindow.ts'
import { ScarceRoles } from './scarceRoles.ts'

type Capacities = ReadonlyMap<string, RoleCapacity>

const NO_JOBS: ReadonlySet<JobState> = new Set()
/** Bounds the margin: a job that needs most of its goal for itself would never be admitted. */
const MAX_MARGIN_RATIO = 0.35

export class ContendedAdmission extends JobAdmission {
  private readonly _reservations = new ReturnReservations()
  private readonly _notices = new ReturnNotices()
  private readonly _errors = new ForecastErrors()
  private readonly _scarceRoles = new ScarceRoles()

  override get returnCounts (): ReturnCounts {
    return this._reservations.counts
  }

  override decide (state: JobState, now: number, options: AdmissionOptions): JobRefusal | JobDecline | undefined {
    const capacities = this._options.pool.computeCapacities(now)
    const { returnKey } = state.job
    if (returnKey === undefined) return this._decideNew(state, capacities, now, options)
    if (this._reservations.take(returnKey, now) !== undefined) return this._decideReturn(state, returnKey, capacities, now)
    if (options.isOffer && this._notices.take(returnKey, now)) return this._refuseOffer(state, capacities, now)
    const decision = this._decideNew(state, capacities, now, options)
    if (decision === undefined && this._reservations.find(returnKey, now) !== undefined) this._reservations.recordReturn(returnKey, true)
    return decision
  }

  override recordPrepared (state: JobState, now: number): void {
    if (state.forecastEndAt === undefined) return
    this._errors.record(getClass(state), now + state.expectedRequestMs - state.forecastEndAt, now)
    // A job that is blocked or reopened after this says nothing more about its forecast.
    state.forecastEndAt = undefined
  }

  override recordRefused (state: JobState): void {
    if (state.isReturn) this._reservations.recordLaterRefusal()
  }

  protected override refuseWaiting (forecast: JobForecast, context: PlanContext, now: number): JobRefusal {
    const { state } = forecast
    this._recordMiss(state, now)
    return this._refuseWithReturn(state, context, now) ?? { reason: 'overloaded', retryAfterMs: computeRetryAfterMs(forecast, state.deadlineAt) }
  }

  override listReservations (now: number): readonly ReservationEntry[] {
    return this._reservations.list(now).map(({ key, at, pieces }) => ({ key, returnInMs: Math.max(0, at - now), pieces }))
  }

  override adoptReservations (entries: readonly ReservationEntry[], now: number): void {
    for (const entry of entries) this._reservations.adopt(entry, now)
  }

  override addReturnNotice (notice: ReturnNotice, now: number): void {
    this._notices.add(notice, now)
  }

  private _decideNew (state: JobState, capacities: Capacities, now: number, options: AdmissionOptions): JobRefusal | JobDecline | undefined {
    state.admissionMarginMs = Math.min(MAX_MARGIN_RATIO * state.job.goalInMs, this._errors.computeMarginMs(getClass(state), now))
    const reservedPieces = this._reservations.sumPieces(state.goalAt, now, state.job.returnKey)
    const forecast = this._forecastPieces(state, capacities, now, reservedPieces)
    if (forecast === undefined) return undefined
    if (!forecast.isLate) state.forecastEndAt = forecast.endAt - computeAdmissionMarginMs(state)
    const decision = decideAdmission(this._addTargetWait(forecast, now), capacities, now, options)
    // Reserved pieces do not help a caller whose request waits for a rate limited target.
    const lacksPieces = decision?.reason === 'overloaded' && decideAdmission(forecast, capacities, now)?.reason === 'overloaded'
    return lacksPieces ? this._refuseWithReturn(state, { capacities, leaving: NO_JOBS }, now) ?? decision : decision
  }

  /** Leaves the job to the plan that has its caller's reservation, which expires unused if another plan admits the job. */
  private _refuseOffer (state: JobState, capacities: Capacities, now: number): JobDecline {
    const endAt = this._forecastPieces(state, capacities, now)?.endAt ?? now
    return { reason: 'late', endInMs: Math.max(0, endAt - now), isReservedElsewhere: true }
  }

  /** Admits a caller that returned at its reserved time, also if it is late, unless it cannot be served before its deadline. */
  private _decideReturn (state: JobState, returnKey: string, capacities: Capacities, now: number): JobRefusal | JobDecline | undefined {
    state.isReturn = true
    const pieceForecast = this._forecastPieces(state, capacities, now)
    const forecast = pieceForecast === undefined ? undefined : this._addTargetWait(pieceForecast, now)
    const decision = forecast === undefined ? undefined : decideAdmission(forecast, capacities, now)
    // The margin for admission does not count against the deadline.
    const canMeetDeadline = forecast === undefined || forecast.endAt - computeAdmissionMarginMs(state) <= state.deadlineAt
    const isAdmitted = decision === undefined || (canMeetDeadline && decision.reason !== 'noUpstream')
    this._reservations.recordReturn(returnKey, isAdmitted)
    return isAdmitted ? undefined : decision
  }

  /** Jobs that do not complete would otherwise be missing from the errors. They would complete after their goal at best. */
  private _recordMiss (state: JobState, now: number): void {
    if (state.forecastEndAt === undefined) return
    const endAt = Math.max(state.goalAt, now + this._options.jobOrder.estimateRemainingMs(state, now))
    this._errors.record(getClass(state), endAt - state.forecastEndAt, now)
    state.forecastEndAt = undefined
  }

  /** Refuses a job with a time of return, if its caller accepts one. */
  private _refuseWithReturn (state: JobState, context: PlanContext, now: number): JobRefusal | undefined {
    const { job } = state
    if (job.returnKey === undefined || job.returnWithinMs === undefined || state.isStarted || state.isReturn) return undefined
    const existing = this._reservations.find(job.returnKey, now)
    if (existing !== undefined) return { reason: 'overloaded', retryAfterMs: Math.round(Math.max(MIN_RETRY_MS, existing.at - now)), isReserved: true }
    const maxReturnMs = Math.max(MIN_RETRY_MS, computeRemainingReturnMs(job.returnWithinMs, now - state.arrivedAt))
    const returnMs = this._isOutranked(state, now) ? undefined : this._findReturnMs(state, context, maxReturnMs, now)
    if (returnMs === undefined) return { reason: 'overloaded', retryAfterMs: Math.round(maxReturnMs) }
    const isReserved = this._reservations.add({ key: job.returnKey, at: now + returnMs, pieces: countPiecesByRole(job) }, now)
    return { reason: 'overloaded', retryAfterMs: returnMs, ...isReserved ? { isReserved } : {} }
  }

  private _findReturnMs (state: JobState, context: PlanContext, maxReturnMs: number, now: number): number | undefined {
    const { job } = state
    // A caller returns within a third of the time that it has left, so twice that is left then.
    const goalInMs = Math.min(job.goalInMs, 2 * maxReturnMs)
    const maxQueueMs = goalInMs - computeAdmissionMarginMs(state) - this._options.jobOrder.estimateRemainingMs(state, now)
    const roles = this._viewRoles(job.stages, context, now)
    const returnMs = findReturnMs({ roles, expectedWork: this._reservations.listWork(now), maxQueueMs, maxReturnMs }, now)
    // A job without time to spare finds no time of return on an empty plan either.
    if (returnMs === undefined && maxQueueMs >= 0) this._scarceRoles.record(findLongestQueue(roles), job.rank, now)
    return returnMs
  }

  /** Whether the job needs a role that has no capacity for more urgent ones. Patient callers of a low rank would be served more often than these. */
  private _isOutranked ({ job }: JobState, now: number): boolean {
    return job.stages.some(({ role, pieceCount }) => pieceCount > 0 && this._scarceRoles.isScarce(role, job.rank, now))
  }

  private _viewRoles (stages: readonly JobStage[], { capacities, leaving }: PlanContext, now: number): ReadonlyMap<string, RoleOutlook> {
    const { jobs, pool } = this._options
    const queued = new Map<string, number>()
    for (const other of jobs.values()) {
      if (!other.isActive || leaving.has(other)) continue
      other.job.stages.forEach(({ role }, index) => queued.set(role, (queued.get(role) ?? 0) + other.countOpen(index)))
    }
    return new Map(stages.filter(({ pieceCount }) => pieceCount > 0).map(({ role }) => {
      const capacity = capacities.get(role)
      let arrivalsPerMs = 0
      for (const perMs of capacity?.arrivalsPerMs.values() ?? []) arrivalsPerMs += perMs
      return [role, { queuedPieces: queued.get(role) ?? 0, piecesPerMs: capacity?.piecesPerMs ?? 0, arrivalsPerMs, usualArrivalsPerMs: pool.getRate(role).computeUsualArrivalsPerMs(now) }]
    }))
  }
}

function getClass ({ job, heights }: JobState): JobClass {
  return { rank: job.rank, depth: Math.max(0, ...heights) }
}

/** Returns the role whose queue takes longest to work off. */
function findLongestQueue (roles: ReadonlyMap<string, RoleOutlook>): string {
  let longestRole = ''
  let longestMs = -Infinity
  for (const [role, { queuedPieces, piecesPerMs }] of roles) {
    const queueMs = queuedPieces === 0 ? 0 : queuedPieces / piecesPerMs
    if (queueMs <= longestMs) continue
    longestMs = queueMs
    longestRole = role
  }
  return longestRole
}
