/**
 * An attempt of a request together with what this node keeps track of while it runs: the upstream's use, the release of
 * prepared results, whether the upstream accepted the request, and which of two attempts answers the caller.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { AttemptArrival } from '../../retry/common/attemptArrival.ts'
import type { IAttemptArrival } from '../../retry/common/attemptArrival.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { computePauseTimeoutMs } from '../common/attemptTimeouts.ts'
import { isAccepted, isUpstreamFailure } from '../common/attemptDecision.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import { AttemptProgress } from '../common/attemptProgress.ts'
import type { InFlightRequest } from '../common/relayPool.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import { RelayAttempt } from './relayAttempt.ts'
import type { AttemptResult } from './relayAttempt.ts'
import type { RelayContext } from './relayContext.ts'
import type { RequestInputs } from './requestInputs.ts'
import type { RequestQuarantine } from './requestQuarantine.ts'
import { SendAcceptance } from './sendAcceptance.ts'

export interface SentAttemptOptions {
  readonly context: RelayContext
  readonly accepted: AcceptedRequest
  readonly inputs: RequestInputs
  readonly quarantine: RequestQuarantine
  readonly role: string
  readonly upstream: UpstreamEntry
  readonly timeLeftMs: number
  readonly responseTimeoutMs: number
  readonly lastEventId: string | undefined
  readonly signal: AbortSignal
  /** Asked when the connection is open; false withholds the request. */
  readonly maySend: () => boolean
  /** Called when the request is written to the upstream. */
  readonly onDidSend: (arrival: IAttemptArrival) => void
  readonly onDidReceiveFirstOutput: () => void
  readonly onDidForwardEvent: (id: string) => void
}

export class SentAttempt extends Disposable {
  readonly upstream: UpstreamEntry
  readonly progress: AttemptProgress
  /** Resolves once the attempt has ended and its outcome is recorded; never rejects. */
  readonly result: Promise<AttemptResult>
  private readonly _onDidStall = this._register(new Emitter<void>())
  /** Fires while the attempt has stalled, repeatedly. */
  readonly onDidStall = this._onDidStall.event
  private readonly _onDidClaim = this._register(new Emitter<void>())
  /** Fires when the attempt passes on output, before anything else does. */
  readonly onDidClaim = this._onDidClaim.event
  private readonly _options: SentAttemptOptions
  private readonly _attempt: RelayAttempt
  private readonly _inFlightRequest: InFlightRequest
  private readonly _arrival = new AttemptArrival()
  private _scheduledRelease: IDisposable | undefined
  private _acceptance: SendAcceptance | undefined
  private _writtenAt: number | undefined
  private _lastOutputAt: number
  private _isStopped = false

  constructor (options: SentAttemptOptions) {
    super()
    this._options = options
    const { context, accepted, inputs, quarantine, upstream } = options
    this.upstream = upstream
    this._inFlightRequest = context.pool.begin(upstream, { prompt: accepted.request.prompt, isSuspect: quarantine.isSuspect })
    this.progress = new AttemptProgress(context.clock.now())
    this._lastOutputAt = this.progress.sentAt
    this._attempt = new RelayAttempt({
      agent: context.agent,
      clock: context.clock,
      protocol: context.upstreamProtocol,
      call: {
        request: accepted.request,
        upstream,
        customer: accepted.customer,
        timeLeftMs: options.timeLeftMs,
        priority: accepted.priority,
        inputs: inputs.handles,
        prefixSource: inputs.findPrefixSource(upstream),
        lastEventId: options.lastEventId,
        bodyBytes: accepted.body.length
      },
      body: accepted.body,
      answer: accepted.answer,
      isStream: accepted.route.kind === RouteKind.STREAM,
      responseTimeoutMs: options.responseTimeoutMs,
      pauseTimeoutMs: computePauseTimeoutMs(accepted.route),
      signal: options.signal,
      onWillSend: () => this._prepareSend(),
      onDidReceiveHead: () => this._handleHead(),
      onDidBeginAnswer: () => this.progress.recordHead(context.clock.now()),
      onDidReadStatements: statements => context.recordStatements({ upstream: upstream.id, statements }),
      onDidReceiveFirstOutput: () => this._handleFirstOutput(),
      onDidReceiveOutput: () => this._handleOutput(),
      onDidForwardEvent: options.onDidForwardEvent,
      onDidStall: () => this._onDidStall.fire(),
      claimAnswer: () => this._tryClaim(),
      confirmRunning: () => context.quarantine.confirmRunning(upstream),
      localAddress: context.localAddress
    })
    this.result = this._run()
  }

  /** How long the upstream has produced nothing for this attempt, in milliseconds. */
  get silentMs (): number {
    return this._options.context.clock.now() - this._lastOutputAt
  }

  /** When the last output arrived, or when the attempt began, on this process's clock. */
  get lastOutputAt (): number {
    return this._lastOutputAt
  }

  /** Whether the request was written to the upstream. */
  get wasSent (): boolean {
    return this._writtenAt !== undefined
  }

  get hasEnded (): boolean {
    return this.progress.hasEnded
  }

  /** Resolves with true once the attempt has ended, and with false when it has stalled. */
  waitForStall (): Promise<boolean> {
    return new Promise(resolve => {
      const listener = this.onDidStall(() => { listener.dispose(); resolve(false) })
      void this.result.then(() => { listener.dispose(); resolve(true) })
    })
  }

  /** Ends the attempt because it has stalled; nothing more of it reaches the caller. */
  abandon (): void {
    this._isStopped = true
    this._attempt.abandon()
  }

  /** Ends the attempt because another one answers the caller; nothing is held against its upstream. */
  cancel (): void {
    this._isStopped = true
    this._attempt.cancel()
  }

  private async _run (): Promise<AttemptResult> {
    const { context } = this._options
    const result = await this._attempt.run().catch((thrown: unknown) => this._abort(thrown))
    this.progress.recordEnd(context.clock.now())
    try {
      if (result.mayArrive === true) context.abandonedArrivals.add(this.upstream, this._arrival)
      else this._arrival.settle()
      this._recordOutcome(result.outcome)
    } catch (thrown) {
      this._logError(thrown)
    }
    this.dispose()
    return result
  }

  /** Ends an attempt that has thrown like any other that failed, because the run and its caller wait for the result. */
  private _abort (thrown: unknown): AttemptResult {
    this._logError(thrown)
    this._attempt.cancel()
    const reason = 'internal error'
    return { outcome: this._options.accepted.answer.hasBegun ? { kind: 'broken', lastEventId: undefined, reason } : { kind: 'lost', reason } }
  }

  private _logError (thrown: unknown): void {
    const { context, accepted, upstream } = this._options
    context.log.error('internal', { request: accepted.request.id, upstream: upstream.id, reason: String(thrown) })
  }

  private _prepareSend (): boolean {
    const { context, accepted, quarantine, upstream, role, inputs } = this._options
    // The cause of a crash may have become known while the request waited for quota and a connection.
    if (!this._options.maySend() || !context.guard.maySend(upstream.id, accepted.request.id) || quarantine.findQuarantine() !== undefined) return false
    this._writtenAt = context.clock.now()
    this._acceptance = new SendAcceptance({ ...context, role })
    this._register(quarantine.trackAttempt(upstream, this.progress))
    this._options.onDidSend(this._arrival)
    this._scheduledRelease = inputs.scheduleRelease()
    return true
  }

  private _handleHead (): void {
    const { context, upstream } = this._options
    this._arrival.settle()
    if (this._writtenAt !== undefined) context.abandonedArrivals.recordAnswer(upstream.id, this._writtenAt)
  }

  private _tryClaim (): boolean {
    if (this._isStopped) return false
    this._onDidClaim.fire()
    return true
  }

  private _handleOutput (): void {
    this._lastOutputAt = this._options.context.clock.now()
    this.progress.recordOutput(this._lastOutputAt)
    this._inFlightRequest.recordOutput()
  }

  private _handleFirstOutput (): void {
    const { context, inputs, upstream } = this._options
    if (this._writtenAt !== undefined) context.backoffs.recordSendResult(upstream.id, this._writtenAt, true)
    this._inFlightRequest.recordFirstOutput()
    this.progress.recordFirstOutput(context.clock.now())
    inputs.report(upstream, { outcome: 'produced', producedMs: this.progress.firstOutputAt - this.progress.sentAt })
    this._options.onDidReceiveFirstOutput()
    inputs.release()
  }

  private _recordOutcome (outcome: AttemptOutcome): void {
    const { context, inputs, upstream } = this._options
    this._acceptance?.end(outcome)
    if (this._writtenAt !== undefined) context.backoffs.recordSendResult(upstream.id, this._writtenAt, isAccepted(outcome))
    this._inFlightRequest.end(outcome)
    // The upstream did not consume the results, so they stay available to the next attempt.
    if (outcome.kind === 'notRun') this._scheduledRelease?.dispose()
    inputs.recordOutcome(outcome)
    if (isUpstreamFailure(outcome) && !this._isOwnFailure(outcome)) inputs.report(upstream, { outcome: 'failed', producedMs: 0 })
  }

  /** Other nodes would avoid an upstream that this node alone does not reach. */
  private _isOwnFailure (outcome: AttemptOutcome): boolean {
    return outcome.kind === 'notRun' && outcome.reason === 'unreachable' && this._options.context.mayBePartitioned?.() === true
  }
}
