/**
 * Accepts requests: checks the session, whether this gate may run the request, and whether it can finish in time; then runs it.
 */
import { Left } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { IClock } from '../base/common/clock.ts'
import type { AttachRequest, LocateRequest, OpenSessionRequest, Pipeline, SubmitRequest } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AdmissionPolicy, StageForecast } from '../services/admission/common/admissionPolicy.ts'
import type { CommittedWork } from '../services/admission/common/committedWork.ts'
import { compareConfigurationNumbers, formatConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import type { IConfigurationService } from '../services/configuration/common/configurationService.ts'
import type { DecisionLog } from '../services/inspect/common/decisionLog.ts'
import type { LocatedGate } from '../services/locate/common/locatePolicy.ts'
import { derivePrefixKey, formatStageKey } from '../services/pipeline/common/requestPlan.ts'
import type { RequestPlan } from '../services/pipeline/common/requestPlan.ts'
import { listRepeatablePipelines } from '../services/pipeline/common/resolvePipeline.ts'
import type { IRequestRunner } from '../services/pipeline/node/requestRunner.ts'
import { toPepperwoodError } from '../services/result/common/pepperwoodError.ts'
import type { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import type { ResultName } from '../services/result/common/resultCodes.ts'
import type { UpstreamScheduler } from '../services/scheduling/common/upstreamScheduler.ts'
import { deriveExecutionState } from '../services/session/common/attemptLog.ts'
import type { RequestRun } from '../services/session/common/requestRun.ts'
import type { ISessionService } from '../services/session/common/sessionService.ts'
import type { CheckpointSigner } from '../services/session/node/checkpointSigner.ts'
import { checkCustomerKey, checkSessionUpToDate, checkSubmission, createError, digestContent } from './requestChecks.ts'

/** The answer to a caller whose request has no run at this gate. */
export interface RefusedRequest {
  readonly error: PepperwoodError
  readonly retryAfterMs: number
  /** Gates to use instead. */
  readonly gates: readonly LocatedGate[]
}

/** A new session as it is returned to the caller. */
export interface OpenedSession {
  readonly id: string
  readonly home: string
  readonly incarnation: string
  readonly expiresInMs: number
  readonly configuration: ConfigurationNumber
  readonly repeatablePipelines: string[]
}

export interface GateRequestsOptions {
  readonly clock: IClock
  readonly address: string
  readonly incarnation: string
  readonly configuration: IConfigurationService
  readonly sessions: ISessionService
  readonly scheduler: UpstreamScheduler
  readonly admission: AdmissionPolicy
  readonly committedWork: CommittedWork
  readonly checkpointSigner: CheckpointSigner
  readonly runner: IRequestRunner
  readonly decisions: DecisionLog
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
  readonly listGates: (customer: string) => readonly LocatedGate[]
  /** Waits for a configuration at least as new as the number; resolves to false if none arrives in time. */
  readonly waitForConfiguration: (number: ConfigurationNumber) => Promise<boolean>
  /** Called before the gate processes a request that it has not seen before. */
  readonly onWillProcessRequest: () => void
  readonly onDidFinishRequest: (pipeline: string, run: RequestRun) => void
}

const RETRY_AFTER_MS = 100
const NOT_READY_RETRY_AFTER_MS = 500

/** Results that concern this gate only: another gate may accept the request now. */
const GATE_SPECIFIC_RESULTS: ReadonlySet<ResultName> = new Set(['gateDraining', 'gateNotReady', 'configurationBehind', 'overloaded', 'sessionLimit'])

export class GateRequests {
  constructor (private readonly _options: GateRequestsOptions) {}

  /** The number of the configuration in force at this gate. */
  get configurationNumber (): ConfigurationNumber {
    return this._options.configuration.number
  }

  locate (request: LocateRequest) {
    return { gates: [...this._options.listGates(request.customer)], configuration: this._options.configuration.number }
  }

  async openSession (request: OpenSessionRequest): Promise<Either<RefusedRequest, OpenedSession>> {
    const { clock, address, incarnation, sessions, configuration } = this._options
    const availabilityError = await this._findAvailabilityError(request.seenConfiguration)
    if (availabilityError !== undefined) return Left(this._createRefusedRequest(availabilityError, request.customer))
    const repeatablePipelines = configuration.current === undefined ? [] : listRepeatablePipelines(configuration.current.configuration)
    return checkCustomerKey(request, configuration.current)
      .chain(customer => sessions.open(customer.name, repeatablePipelines))
      .map(session => ({
        id: session.id,
        home: address,
        incarnation,
        expiresInMs: Math.floor(session.expiresAt - clock.now()),
        configuration: configuration.number,
        repeatablePipelines: [...repeatablePipelines]
      }))
      .mapLeft(error => this._createRefusedRequest(error, request.customer))
  }

  /**
   * Returns the run that answers the request. This consumes the request number even if the request is refused as not
   * run: a duplicate that arrives later must not run once the caller has received that refusal.
   */
  submit (request: SubmitRequest): Either<RefusedRequest, RequestRun> {
    const routingError = this._findRoutingError(request)
    if (routingError !== undefined) return Left(this._createRefusedRequest(routingError, ''))
    const { sessions } = this._options
    const contentDigest = digestContent(request)
    return sessions.submit({ sessionId: request.session, number: request.number, contentDigest, isUnrepeatable: request.unrepeatable })
      .mapLeft(error => this._createRefusedRequest(error, ''))
      .map(submission => {
        if (submission.kind === 'run') void this._processRequest(request, submission.run)
        return submission.run
      })
  }

  findRun (request: Pick<AttachRequest, 'session' | 'home' | 'incarnation' | 'number'>): Either<RefusedRequest, RequestRun> {
    const routingError = this._findRoutingError(request)
    if (routingError !== undefined) return Left(this._createRefusedRequest(routingError, ''))
    return this._options.sessions.findRun(request.session, request.number).mapLeft(error => this._createRefusedRequest(error, ''))
  }

  /** Finishes the run in every case, since its callers wait for it. */
  private async _processRequest (request: SubmitRequest, run: RequestRun): Promise<void> {
    try {
      this._options.onWillProcessRequest()
      await this._tryRun(request, run)
    } catch (thrown) {
      const error = toPepperwoodError(thrown)
      run.finish({ kind: 'refused', error, retryAfterMs: 0, gates: [], execution: deriveExecutionState(run.attemptLog.attempts), costs: [] })
      this._options.decisions.record({ subject: run.requestId, kind: 'end', choice: error.resultName, reason: error.message, inputs: '' })
    }
    this._options.sessions.retain(run)
    this._options.onDidFinishRequest(request.pipeline, run)
  }

  private async _tryRun (request: SubmitRequest, run: RequestRun): Promise<void> {
    const availabilityError = await this._findAvailabilityError(request.seenConfiguration)
    const admitted = availabilityError === undefined ? this._admit(request, run) : Left(this._createRefusedRequest(availabilityError, run.customer))
    if (admitted.isRight()) await this._options.runner.run(admitted.extract(), run)
    else admitted.ifLeft(refused => run.finish({ kind: 'refused', ...refused, execution: 'notRun', costs: [] }))
  }

  /** No stage has been sent yet, so every refusal from here is `notRun`. */
  private _admit (request: SubmitRequest, run: RequestRun): Either<RefusedRequest, RequestPlan> {
    const session = this._options.sessions.find(request.session).toMaybe().extract()
    const checkResult = checkSubmission(request, run, this._options.configuration.current, this._options.checkpointSigner)
      .chain(submission => checkSessionUpToDate(request, submission.pipeline, session).map(() => submission))
    return checkResult.mapLeft(error => this._createRefusedRequest(error, run.customer)).chain(submission => {
      const { clock, admission, committedWork, decisions } = this._options
      const { accepted, customer, pipeline, checkpoint } = submission
      const timeLeftMs = Math.min(request.timeLeftMs === 0 ? pipeline.deadlineMs : request.timeLeftMs, pipeline.deadlineMs)
      const stagesDone = checkpoint?.stagesDone ?? 0
      const customerWeight = customer.weight === 0 ? 1 : customer.weight
      const decision = admission.decide({ customer: customer.name, customerWeight, timeLeftMs, priority: pipeline.priority, stages: this._forecast(pipeline, stagesDone) }, committedWork)
      const inputs = `customer=${customer.name} pipeline=${pipeline.name} timeLeftMs=${timeLeftMs} configuration=${formatConfigurationNumber(accepted.number)}`
      return decision.bimap(
        ({ error, retryAfterMs }) => {
          decisions.record({ subject: run.requestId, kind: 'refuse', choice: error.resultName, reason: error.message, inputs })
          return { ...this._createRefusedRequest(error, customer.name), retryAfterMs }
        },
        grant => {
          decisions.record({ subject: run.requestId, kind: 'admit', choice: 'run', reason: `predicted ${Math.round(grant.predictedMs)} ms`, inputs })
          return {
            requestId: run.requestId,
            customer: customer.name,
            customerWeight,
            pipeline,
            input: request.input,
            contentDigest: run.contentDigest,
            prefixKey: derivePrefixKey(customer.name, request.input),
            isUnrepeatable: request.unrepeatable,
            deadlineAt: clock.now() + timeLeftMs,
            stagesDone,
            lastStageResult: checkpoint?.result ?? ''
          }
        }
      )
    })
  }

  private _forecast (pipeline: Pipeline, stagesDone: number): readonly StageForecast[] {
    const { scheduler } = this._options
    return pipeline.stages.slice(stagesDone).map(stage => ({
      role: stage.role,
      expectedMs: scheduler.latencies.getMeanMs(formatStageKey(pipeline, stage)),
      slotCount: scheduler.countSlots(stage.role)
    }))
  }

  private _findRoutingError (request: Pick<AttachRequest, 'session' | 'home' | 'incarnation'>): PepperwoodError | undefined {
    const { address, incarnation } = this._options
    if (request.home !== address) return createError('sessionElsewhere', 'the session is held by another gate', 'home', request.home)
    if (request.incarnation !== incarnation) return createError('sessionUnknown', 'the gate was restarted since the session was opened', 'incarnation', request.incarnation)
    return undefined
  }

  /** Returns why the gate cannot accept a new request or session now, if so. */
  private async _findAvailabilityError (seenConfiguration: ConfigurationNumber | undefined): Promise<PepperwoodError | undefined> {
    const { isReady, isDraining, configuration, waitForConfiguration } = this._options
    if (!isReady()) return createError('gateNotReady', 'the gate has no view or no configuration yet', '', '')
    if (isDraining()) return createError('gateDraining', 'the gate is stopping', '', '')
    if (seenConfiguration === undefined || compareConfigurationNumbers(seenConfiguration, configuration.number) <= 0) return undefined
    if (await waitForConfiguration(seenConfiguration)) return undefined
    return createError('configurationBehind', 'the caller has seen a newer configuration than this gate has', 'seenConfiguration', `${seenConfiguration.epoch}.${seenConfiguration.version}`)
  }

  /** Returns the gate at the address if it is among the gates that this one recommends. */
  private _findHomeGate (address: string): readonly LocatedGate[] {
    return this._options.listGates('').filter(gate => gate.address === address)
  }

  private _createRefusedRequest (error: PepperwoodError, customer: string): RefusedRequest {
    if (error.resultName === 'sessionElsewhere') return { error, retryAfterMs: 0, gates: this._findHomeGate(error.value) }
    if (!GATE_SPECIFIC_RESULTS.has(error.resultName)) return { error, retryAfterMs: 0, gates: [] }
    const gates = this._options.listGates(customer).filter(gate => gate.address !== this._options.address)
    return { error, retryAfterMs: error.resultName === 'gateNotReady' ? NOT_READY_RETRY_AFTER_MS : RETRY_AFTER_MS, gates }
  }
}
