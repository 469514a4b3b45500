/**
 * Decides whether a request is admitted. The decision is made before any stage runs, so the outcome of a refused request
 * is always `notRun`.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { CommittedWork } from './committedWork.ts'

/** Expected cost and available concurrency of one stage of a request. */
export interface StageForecast {
  readonly role: string
  /** Mean duration of calls of this stage, in milliseconds. */
  readonly expectedMs: number
  /** Number of calls that this gate may have open for the role. */
  readonly slotCount: number
}

export interface AdmissionRequest {
  readonly customer: string
  readonly customerWeight: number
  readonly timeLeftMs: number
  readonly priority: number
  readonly stages: readonly StageForecast[]
}

/** Why a request was refused, and after what time a retry may succeed. */
export interface AdmissionRefusal {
  readonly error: PepperwoodError
  readonly retryAfterMs: number
}

export interface AdmissionGrant {
  /** Expected time until the request is finished, in milliseconds from now. */
  readonly predictedMs: number
}

export abstract class AdmissionPolicy {
  abstract decide (request: AdmissionRequest, committed: CommittedWork): Either<AdmissionRefusal, AdmissionGrant>
}

/** Baseline: admits every request. */
export class AdmitAll extends AdmissionPolicy {
  decide (): Either<AdmissionRefusal, AdmissionGrant> {
    return Right({ predictedMs: 0 })
  }
}

export interface PredictedFinishOptions {
  /** Fraction of the time left that the predicted duration may use. Lower values waste less work on results that miss the deadline. */
  readonly fillFactor?: number
}

const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 10_000

/** Admits a request if it is expected to meet its deadline after the work that is served before it. */
export class PredictedFinishAdmission extends AdmissionPolicy {
  private readonly _fillFactor: number

  constructor (options: PredictedFinishOptions = {}) {
    super()
    this._fillFactor = options.fillFactor ?? 0.9
  }

  decide (request: AdmissionRequest, committed: CommittedWork): Either<AdmissionRefusal, AdmissionGrant> {
    const runMs = request.stages.reduce((sum, stage) => sum + stage.expectedMs, 0)
    const waitMs = Math.max(0, ...request.stages.map(stage => predictWaitMs(request, stage, committed)))
    const predictedMs = runMs + waitMs
    const allowedMs = request.timeLeftMs * this._fillFactor
    if (predictedMs <= allowedMs) return Right({ predictedMs })
    const error = new PepperwoodError({
      name: waitMs > 0 ? 'overloaded' : 'deadlineTooShort',
      message: `predicted ${Math.round(runMs)} ms to run and ${Math.round(waitMs)} ms to wait`,
      place: 'timeLeftMs',
      value: String(Math.round(request.timeLeftMs))
    })
    const excessMs = predictedMs - allowedMs
    return Left({ error, retryAfterMs: Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessMs))) })
  }
}

/**
 * Predicts the wait for one stage, in milliseconds. The caller uses the longest of these waits and not their sum, because
 * requests that queue at the bottleneck stage leave the other stages idle.
 */
function predictWaitMs (request: AdmissionRequest, stage: StageForecast, committed: CommittedWork): number {
  const ahead = committed.countAhead(stage.role, request.customer, request.customerWeight, request.priority)
  // Requests of higher priority that arrive later are still served first, so the slots that they use on average are not available.
  const slots = Math.max(1, stage.slotCount - committed.estimateHigherPriorityCalls(stage.role, request.priority))
  const waiting = Math.max(0, ahead + 1 - slots)
  return waiting / slots * stage.expectedMs
}
