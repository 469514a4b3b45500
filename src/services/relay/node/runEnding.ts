/**
 * Ends one request: forwards an upstream's error response, refuses the request, or aborts an answer that has begun and
 * cannot be completed.
 */
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import type { JobRefusal } from '../../preparation/common/preparationJob.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import { OTHER_NODE_RETRY_MS } from '../common/relayProtocol.ts'
import type { RelayRefusal } from '../common/relayProtocol.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import type { AttemptResult } from './relayAttempt.ts'
import type { RelayContext } from './relayContext.ts'

/** The result of a request, for logs and metrics. */
export type RunResult = ResultName | 'delivered' | 'passedOn'

/** How far a run has come when it ends. */
export interface RunProgress {
  /** The caller disconnected, or the deadline passed. */
  readonly isAborted: boolean
  /** Attempts that were sent. */
  readonly sendCount: number
  /** Attempts that may have run the request. */
  readonly runCount: number
}

export interface RunEndingOptions {
  readonly context: RelayContext
  readonly accepted: AcceptedRequest
  readonly role: string
  readonly getProgress: () => RunProgress
}

export interface RefusalOptions {
  readonly name: ResultName
  readonly message: string
  /** True guarantees that no upstream has run the request; by default this follows from the attempts. */
  readonly isNotRun?: boolean
  readonly retryAfterMs?: number
}

const DEFAULT_RETRY_MS = 300

export class RunEnding {
  private readonly _options: RunEndingOptions
  /** The result of a request whose answer was ended while it was in progress. */
  private _earlyResult: RunResult | undefined

  constructor (options: RunEndingOptions) {
    this._options = options
  }

  /** Ends the request after an attempt that no other follows. */
  finish ({ outcome, failure }: AttemptResult): RunResult {
    const { answer } = this._options.accepted
    if (this._earlyResult !== undefined) return this._earlyResult
    if (outcome.kind === 'delivered') return 'delivered'
    if (answer.hasDisconnected) return 'cancelled'
    if (answer.hasBegun) return this._abortAnswer(describeOutcome(outcome))
    if (failure !== undefined) {
      answer.send(failure)
      return 'passedOn'
    }
    if (outcome.kind === 'cancelled') return this._refuseAborted()
    if (outcome.kind === 'notRun') return this.refuse({ name: 'overloaded', message: `upstream: ${outcome.reason}`, retryAfterMs: DEFAULT_RETRY_MS })
    return this.refuse({ name: 'outcomeUnknown', message: describeOutcome(outcome), isNotRun: false })
  }

  refusePreparation (refusal: JobRefusal): RunResult {
    if (this._options.accepted.answer.hasDisconnected) return 'cancelled'
    if (this._options.getProgress().isAborted) return this._refuseAborted()
    return this.refuse({ name: 'overloaded', message: `preparation: ${refusal.reason}`, retryAfterMs: refusal.retryAfterMs })
  }

  /** `retryAfterMs` is undefined if no upstream has a limit or backoff that the caller might wait for. */
  refuseWithoutUpstream (retryAfterMs: number | undefined): RunResult {
    const { role } = this._options
    if (this._options.getProgress().isAborted) return this._refuseAborted()
    if (retryAfterMs !== undefined) return this.refuse({ name: 'overloaded', message: `no upstream of ${role} accepts more now`, retryAfterMs })
    return this.refuse({ name: 'upstreamNoneLeft', message: `no upstream of ${role} is available`, retryAfterMs: DEFAULT_RETRY_MS })
  }

  /** Refuses the request because this node is stopping. Whatever ends it afterwards changes nothing. */
  refuseStopping (isNotRun: boolean): RunResult {
    this._earlyResult ??= this.refuse({ name: 'gateDraining', message: 'this node is stopping', isNotRun, retryAfterMs: OTHER_NODE_RETRY_MS })
    return this._earlyResult
  }

  /** Ends the answer because the deadline has passed. Whatever ends the request afterwards changes nothing. */
  endAtDeadline (): void {
    const { answer } = this._options.accepted
    this._earlyResult ??= answer.hasBegun ? this._abortAnswer('deadline exceeded') : this._refuseAborted()
  }

  refuse ({ name, message, isNotRun = this._options.getProgress().runCount === 0, retryAfterMs }: RefusalOptions): RunResult {
    const { context, accepted: { answer, request }, role } = this._options
    if (this._earlyResult !== undefined) return this._earlyResult
    if (answer.hasDisconnected) return 'cancelled'
    if (answer.hasBegun) return this._abortAnswer(message)
    const refusal: RelayRefusal = { error: new PepperwoodError({ name, message, place: role }), isNotRun, retryAfterMs }
    context.refuse(answer, refusal, request.id)
    return name
  }

  /** The deadline has passed; an attempt that was sent may still be running. */
  private _refuseAborted (): RunResult {
    const { sendCount } = this._options.getProgress()
    return this.refuse({ name: 'deadlinePassed', message: 'deadline exceeded', isNotRun: sendCount === 0, retryAfterMs: 0 })
  }

  /** Aborts an answer of which the caller has received a part, so that it does not appear complete. */
  private _abortAnswer (reason: string): RunResult {
    const { context, accepted: { answer, request, arrivedAt }, role } = this._options
    const { sendCount, runCount } = this._options.getProgress()
    context.log.warn('answer_aborted', { request: request.id, role, reason, sends: sendCount, may_have_run: runCount, held_ms: Math.round(context.clock.now() - arrivedAt) })
    answer.abort()
    return 'answerTorn'
  }
}

function describeOutcome (outcome: AttemptOutcome): string {
  if ('reason' in outcome) return outcome.reason
  if (outcome.kind === 'failed') return `upstream answered ${outcome.status}`
  return outcome.kind === 'cancelled' ? 'deadline exceeded' : outcome.kind
}
