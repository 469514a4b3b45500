/**
 * Whether a request is taken in at all. It is decided before anything runs, so a refusal here is always `notRun`.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { CommittedWork } from './committedWork.ts'

/** A stage of the request as admission sees it. */
export interface StageForecast {
  readonly role: string
  /** What the stage usually takes, in milliseconds. */
  readonly usualMs: number
  /** Calls that this gate may have open for the role. */
  readonly slots: number
}

export interface AdmissionRequest {
  readonly customer: string
  readonly customerWeight: number
  readonly timeLeftMs: number
  readonly priority: number
  readonly stages: readonly StageForecast[]
}

/** Why a request was refused, and when it makes sense to ask again. */
export interface AdmissionRefusal {
  readonly error: PepperwoodError
  readonly retryAfterMs: number
}

export interface AdmissionGrant {
  /** When the request is expected to be done, in milliseconds from now. */
  readonly predictedMs: number
}

export abstract class AdmissionPolicy {
  abstract decide (request: AdmissionRequest, committed: CommittedWork): Either<AdmissionRefusal, AdmissionGrant>
}

/** Baseline: everything is taken in. */
export class AdmitAll extends AdmissionPolicy {
  decide (): Either<AdmissionRefusal, AdmissionGrant> {
    return Right({ predictedMs: 0 })
  }
}

export interface PredictedFinishOptions {
  /** The part of the time left that the prediction may fill: lower spends less on answers that come too late. */
  readonly fillFactor?: number
}

const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 10_000

/** Takes a request in when it is expected to finish in time behind the work that goes before it. */
export class PredictedFinishAdmission extends AdmissionPolicy {
  private readonly _fillFactor: number

  constructor (options: PredictedFinishOptions = {}) {
    super()
    this._fillFactor = options.fillFactor ?? 0.9
  }

  decide (request: AdmissionRequest, committed: CommittedWork): Either<AdmissionRefusal, AdmissionGrant> {
    const runMs = request.stages.reduce((sum, stage) => sum + stage.usualMs, 0)
    const waitMs = Math.max(0, ...request.stages.map(stage => predictWait(request, stage, committed)))
    const predictedMs = runMs + waitMs
    const allowedMs = request.timeLeftMs * this._fillFactor
    if (predictedMs <= allowedMs) return Right({ predictedMs })
    const error = new PepperwoodError({
      name: waitMs > 0 ? 'overloaded' : 'deadlineTooShort',
      message: `predicted ${Math.round(runMs)} ms to run and ${Math.round(waitMs)} ms to wait`,
      place: 'timeLeftMs',
      value: String(Math.round(request.timeLeftMs))
    })
    const overMs = predictedMs - allowedMs
    return Left({ error, retryAfterMs: Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, overMs))) })
  }
}

/**
 * The wait at the stage that is shortest of slots decides: what waits there keeps the other stages idle, so their
 * waits do not add up.
 */
function predictWait (request: AdmissionRequest, stage: StageForecast, committed: CommittedWork): number {
  const ahead = committed.countAhead(stage.role, request.customer, request.customerWeight, request.priority)
  // Higher priority goes first also when it comes later, so its share of the slots is not this request's to count on.
  const slots = Math.max(1, stage.slots - committed.countOfferedAbove(stage.role, request.priority))
  const waiting = Math.max(0, ahead + 1 - slots)
  return waiting / slots * stage.usualMs
}
