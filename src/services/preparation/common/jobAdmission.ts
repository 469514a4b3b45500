/**
 * Decides which jobs a plan admits, and when the callers of refused jobs should return.
 */
import { computeRetryAfterMs, decideAdmission } from './jobForecast.ts'
import type { JobForecast, RoleCapacity } from './jobForecast.ts'
import type { JobOrder } from './jobOrder.ts'
import type { JobState } from './jobState.ts'
import type { JobTargets } from './jobTargets.ts'
import type { PieceUpstreams } from './pieceUpstreams.ts'
import type { AdmissionOptions, JobDecline, JobRefusal, ReservationEntry, ReturnNotice } from './preparationJob.ts'
import type { ReturnCounts } from './returnReservations.ts'

export interface JobAdmissionOptions {
  readonly pool: PieceUpstreams
  readonly jobOrder: JobOrder
  readonly targets: JobTargets
  readonly jobs: ReadonlyMap<string, JobState>
}

/** The state of a plan for which several jobs are refused at once. */
export interface PlanContext {
  readonly capacities: ReadonlyMap<string, RoleCapacity>
  /** Jobs that are about to leave the plan, so that their pieces no longer count. */
  readonly leaving: ReadonlySet<JobState>
}

export abstract class JobAdmission {
  abstract readonly returnCounts: ReturnCounts

  constructor (protected readonly _options: JobAdmissionOptions) {}

  /** Returns undefined if the job is admitted. */
  abstract decide (state: JobState, now: number, options: AdmissionOptions): JobRefusal | JobDecline | undefined

  /** Called when all results of a job are computed, so that later forecasts can be corrected. */
  recordPrepared (_state: JobState, _now: number): void {}

  /** Called when a job that was admitted is refused. */
  recordRefused (_state: JobState): void {}

  /** Returns the refusal of an admitted job that misses its deadline. */
  protected abstract refuseWaiting (forecast: JobForecast, context: PlanContext, now: number): JobRefusal

  abstract listReservations (now: number): readonly ReservationEntry[]

  abstract adoptReservations (entries: readonly ReservationEntry[], now: number): void

  /** Records that another plan has reserved capacity for a refused caller. */
  abstract addReturnNotice (notice: ReturnNotice, now: number): void

  /**
   * Updates which jobs are late, and returns refusals of those that the forecast shows to miss their deadline: any further
   * work on them would be wasted.
   */
  updateForecasts (now: number): readonly { readonly state: JobState, readonly refusal: JobRefusal }[] {
    const { jobOrder, pool, jobs } = this._options
    const capacities = pool.computeCapacities(now)
    const missed = jobOrder.forecast(jobs.values(), capacities, now).filter(forecast => {
      const { state } = forecast
      state.isLate = forecast.isLate
      const isUnstartedAndLate = forecast.endAt > state.deadlineAt && !state.isStarted
      const isInfeasible = now + jobOrder.estimateRemainingMs(state, now) > state.deadlineAt
      return isUnstartedAndLate || isInfeasible
    })
    const leaving = new Set(missed.map(({ state }) => state))
    return missed.map(forecast => ({ state: forecast.state, refusal: this.refuseWaiting(forecast, { capacities, leaving }, now) }))
  }

  /** Forecasts the pieces of a new job behind the admitted ones and `reservedPieces`. */
  protected _forecastPieces (state: JobState, capacities: ReadonlyMap<string, RoleCapacity>, now: number, reservedPieces?: ReadonlyMap<string, number>): JobForecast | undefined {
    const { jobOrder, jobs } = this._options
    return jobOrder.forecast([...jobs.values(), state], capacities, now, state, reservedPieces).find(other => other.state === state)
  }

  protected _addTargetWait (forecast: JobForecast, now: number): JobForecast {
    const { targets, jobs } = this._options
    return targets.addTargetWait(forecast, jobs.values(), now)
  }
}

/** Admits every job that can be done within its caller's patience; reserves nothing. */
export class PatientAdmission extends JobAdmission {
  override readonly returnCounts: ReturnCounts = { reserved: 0, kept: 0, expired: 0, missed: 0 }

  override decide (state: JobState, now: number, options: AdmissionOptions): JobRefusal | JobDecline | undefined {
    const capacities = this._options.pool.computeCapacities(now)
    const forecast = this._forecastPieces(state, capacities, now)
    return forecast === undefined ? undefined : decideAdmission(this._addTargetWait(forecast, now), capacities, now, options)
  }

  protected override refuseWaiting (forecast: JobForecast): JobRefusal {
    return { reason: 'overloaded', retryAfterMs: computeRetryAfterMs(forecast, forecast.state.deadlineAt) }
  }

  override listReservations (): readonly ReservationEntry[] {
    return []
  }

  override adoptReservations (): void {}

  override addReturnNotice (): void {}
}
