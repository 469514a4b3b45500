/**
 * Takes requests in: whose it is, whether this gate may run it, whether it can finish in time; then runs it.
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
import type { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import type { ResultName } from '../services/result/common/resultCodes.ts'
import type { UpstreamScheduler } from '../services/scheduling/common/upstreamScheduler.ts'
import type { RequestRun } from '../services/session/common/requestRun.ts'
import type { ISessionService } from '../services/session/common/sessionService.ts'
import type { CheckpointSigner } from '../services/session/node/checkpointSigner.ts'
import { checkKey, checkPromise, checkSubmission, createError, digestContent } from './requestChecks.ts'

/** An answer to a caller whose request has no run here. */
export interface RefusedRequest {
  readonly error: PepperwoodError
  readonly retryAfterMs: number
  /** Where to go instead. */
  readonly gates: readonly LocatedGate[]
}

/** A session as its caller gets it. */
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
  readonly committed: CommittedWork
  readonly seal: CheckpointSigner
  readonly runner: IRequestRunner
  readonly decisions: DecisionLog
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
  readonly listGates: (customer: string) => readonly LocatedGate[]
  /** Waits for a configuration as high as the number; false when it did not come in time. */
  readonly catchUp: (number: ConfigurationNumber) => Promise<boolean>
  /** A request that this gate has not seen before is about to be considered. */
  readonly onWillBegin: () => void
  readonly onDidEnd: (pipeline: string, run: RequestRun) => void
}

const GATE_RETRY_MS = 100
const NOT_READY_RETRY_MS = 500

/** Results that say that this gate is the wrong one for now, while another may do. */
const RESULTS_ABOUT_GATE: ReadonlySet<ResultName> = new Set(['gateDraining', 'gateNotReady', 'configurationBehind', 'overloaded', 'sessionLimit'])

export class GateRequests {
  constructor (private readonly _options: GateRequestsOptions) {}

  /** Of the configuration in force here. */
  get configurationNumber (): ConfigurationNumber {
    return this._options.configuration.number
  }

  locate (request: LocateRequest) {
    return { gates: [...this._options.listGates(request.customer)], configuration: this._options.configuration.number }
  }

  async openSession (request: OpenSessionRequest): Promise<Either<RefusedRequest, OpenedSession>> {
    const { clock, address, incarnation, sessions, configuration } = this._options
    const unavailable = await this._findUnavailable(request.seenConfiguration)
    if (unavailable !== undefined) return Left(this._refuse(unavailable, request.customer))
    const repeatable = configuration.current === undefined ? [] : listRepeatablePipelines(configuration.current.configuration)
    return checkKey(request, configuration.current)
      .chain(customer => sessions.open(customer.name, repeatable))
      .map(session => ({
        id: session.id,
        home: address,
        incarnation,
        expiresInMs: Math.floor(session.expiresAt - clock.now()),
        configuration: configuration.number,
        repeatablePipelines: [...repeatable]
      }))
      .mapLeft(error => this._refuse(error, request.customer))
  }

  /**
   * The run that answers the request. From here on its number is used up, even when it is refused as not run:
   * a copy of the request that arrives late must not run after that refusal was given.
   */
  submit (request: SubmitRequest): Either<RefusedRequest, RequestRun> {
    const misdirected = this._findMisdirected(request)
    if (misdirected !== undefined) return Left(this._refuse(misdirected, ''))
    const { sessions } = this._options
    const contentDigest = digestContent(request)
    return sessions.submit({ sessionId: request.session, number: request.number, contentDigest, isUnrepeatable: request.unrepeatable })
      .mapLeft(error => this._refuse(error, ''))
      .map(submission => {
        if (submission.kind === 'run') {
          this._options.onWillBegin()
          void this._begin(request, submission.run)
        }
        return submission.run
      })
  }

  findRun (request: Pick<AttachRequest, 'session' | 'home' | 'incarnation' | 'number'>): Either<RefusedRequest, RequestRun> {
    const misdirected = this._findMisdirected(request)
    if (misdirected !== undefined) return Left(this._refuse(misdirected, ''))
    return this._options.sessions.findRun(request.session, request.number).mapLeft(error => this._refuse(error, ''))
  }

  private async _begin (request: SubmitRequest, run: RequestRun): Promise<void> {
    const unavailable = await this._findUnavailable(request.seenConfiguration)
    const admitted = unavailable === undefined ? this._admit(request, run) : Left(this._refuse(unavailable, run.customer))
    if (admitted.isRight()) await this._options.runner.run(admitted.extract(), run)
    else admitted.ifLeft(refused => run.finish({ kind: 'refused', ...refused, execution: 'notRun', costs: [] }))
    this._options.sessions.retain(run)
    this._options.onDidEnd(request.pipeline, run)
  }

  /** Nothing has run before this, so every refusal from here is `notRun`. */
  private _admit (request: SubmitRequest, run: RequestRun): Either<RefusedRequest, RequestPlan> {
    const session = this._options.sessions.find(request.session).toMaybe().extract()
    const checked = checkSubmission(request, run, this._options.configuration.current, this._options.seal)
      .chain(found => checkPromise(request, found.pipeline, session).map(() => found))
    return checked.mapLeft(error => this._refuse(error, run.customer)).chain(found => {
      const { clock, admission, committed, decisions } = this._options
      const { accepted, customer, pipeline, checkpoint } = found
      const timeLeftMs = Math.min(request.timeLeftMs === 0 ? pipeline.deadlineMs : request.timeLeftMs, pipeline.deadlineMs)
      const stagesDone = checkpoint?.stagesDone ?? 0
      const customerWeight = customer.weight === 0 ? 1 : customer.weight
      const decision = admission.decide({ customer: customer.name, customerWeight, timeLeftMs, priority: pipeline.priority, stages: this._forecast(pipeline, stagesDone) }, committed)
      const inputs = `customer=${customer.name} pipeline=${pipeline.name} timeLeftMs=${timeLeftMs} configuration=${formatConfigurationNumber(accepted.number)}`
      return decision.bimap(
        ({ error, retryAfterMs }) => {
          decisions.record({ subject: run.requestId, kind: 'refuse', choice: error.resultName, reason: error.message, inputs })
          return { ...this._refuse(error, customer.name), retryAfterMs }
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
            result: checkpoint?.result ?? ''
          }
        }
      )
    })
  }

  private _forecast (pipeline: Pipeline, stagesDone: number): readonly StageForecast[] {
    const { scheduler } = this._options
    return pipeline.stages.slice(stagesDone).map(stage => ({
      role: stage.role,
      usualMs: scheduler.latencies.getMeanMs(formatStageKey(pipeline, stage)),
      slots: scheduler.countSlots(stage.role)
    }))
  }

  private _findMisdirected (request: Pick<AttachRequest, 'session' | 'home' | 'incarnation'>): PepperwoodError | undefined {
    const { address, incarnation } = this._options
    if (request.home !== address) return createError('sessionElsewhere', 'the session lives at another gate', 'home', request.home)
    if (request.incarnation !== incarnation) return createError('sessionUnknown', 'the gate was restarted since the session was opened', 'incarnation', request.incarnation)
    return undefined
  }

  /** Why nothing new is taken in now. */
  private async _findUnavailable (seen: ConfigurationNumber | undefined): Promise<PepperwoodError | undefined> {
    const { isReady, isDraining, configuration, catchUp } = this._options
    if (!isReady()) return createError('gateNotReady', 'the gate has no view yet', '', '')
    if (isDraining()) return createError('gateDraining', 'the gate is stopping', '', '')
    if (seen === undefined || compareConfigurationNumbers(seen, configuration.number) <= 0) return undefined
    if (await catchUp(seen)) return undefined
    return createError('configurationBehind', 'the caller has seen a higher configuration', 'seenConfiguration', `${seen.epoch}.${seen.version}`)
  }

  /** The session's home, as far as this gate knows it. */
  private _findHome (address: string): readonly LocatedGate[] {
    return this._options.listGates('').filter(gate => gate.address === address)
  }

  private _refuse (error: PepperwoodError, customer: string): RefusedRequest {
    if (error.resultName === 'sessionElsewhere') return { error, retryAfterMs: 0, gates: this._findHome(error.value) }
    if (!RESULTS_ABOUT_GATE.has(error.resultName)) return { error, retryAfterMs: 0, gates: [] }
    const gates = this._options.listGates(customer).filter(gate => gate.address !== this._options.address)
    return { error, retryAfterMs: error.resultName === 'gateNotReady' ? NOT_READY_RETRY_MS : GATE_RETRY_MS, gates }
  }
}
