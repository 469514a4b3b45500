/**
 * Runs one request at the relay: prepares its inputs, sends it to one upstream after another until one delivers an
 * answer, and otherwise answers with a refusal that states whether the request may have run.
 */
import type { LogFields } from '../../log/node/logger.ts'
import type { RegistryFreshness, UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { JobRefusal } from '../../preparation/common/preparationJob.ts'
import { computeResponseTimeoutMs } from '../common/attemptTimeouts.ts'
import { decideAfterAttempt, isConnectionLost, isWithheld } from '../common/attemptDecision.ts'
import type { AttemptDecision, AttemptDecisionInputs } from '../common/attemptDecision.ts'
import type { AttemptProgress } from '../common/attemptProgress.ts'
import { createPreparationJob } from '../common/preparationNeed.ts'
import type { ReturningCaller } from '../common/preparationNeed.ts'
import { isRepeatable, pickTarget } from '../common/relayTable.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import type { AttemptResult } from './relayAttempt.ts'
import type { RelayContext } from './relayContext.ts'
import { RequestInputs } from './requestInputs.ts'
import { RequestQuarantine } from './requestQuarantine.ts'
import { RequestRetries, describeNextAttempt } from './requestRetries.ts'
import { RunEnding } from './runEnding.ts'
import type { RunResult } from './runEnding.ts'
import { SentAttempt } from './sentAttempt.ts'
import { StalledAttempt } from './stalledAttempt.ts'
import { UpstreamSelector } from './upstreamSelector.ts'

/** How a request ended, for logs and metrics. */
export interface RelayOutcome {
  readonly result: RunResult
  readonly attempts: number
  readonly preparedMs: number
  /** Time from the end of preparation to the first event of a stream or the end of a whole answer; 0 without either. */
  readonly producedMs: number
  readonly lastUpstream: string
  /** Revision and age of the list of upstreams when the last attempt was sent. */
  readonly known: RegistryFreshness
}

type RunPhase = 'peers' | 'preparing' | 'selecting' | 'attempt' | 'replacing' | 'recording'

interface EndedAttempt {
  readonly attempt: SentAttempt
  readonly result: AttemptResult
}

/** Time reserved before the deadline for sending the answer back to the caller. */
const ANSWER_MARGIN_MS = 20
/** Time that must be left for a further attempt, also after waiting for an upstream. */
const MIN_ATTEMPT_MS = 50
/** Shared parts of a prompt that are named in one log line. */
const MAX_LOGGED_PARTS = 8

export class RelayRun {
  private _sendCount = 0
  private _runCount = 0
  private _lastEventId: string | undefined
  /** Attempts in flight; more than one while another upstream takes over. */
  private readonly _activeAttempts = new Set<SentAttempt>()
  /** Attempts whose ends are being recorded. */
  private _endingCount = 0
  /** Whether this node is about to stop, so that nothing is sent for an answer that has not begun. */
  private _isStopping = false
  private _producedMs = 0
  private _lastUpstream = ''
  private _registryAge: RegistryFreshness
  private readonly _quarantine: RequestQuarantine
  private readonly _inputs: RequestInputs
  private readonly _triedUpstreams = new Set<string>()
  private readonly _abortController = new AbortController()
  private readonly _preparationAbort = new AbortController()
  private readonly _deadlineAt: number
  /** What the run waits for, for logs. */
  private _phase: RunPhase = 'peers'
  private readonly _role: string
  private readonly _selector: UpstreamSelector
  private readonly _retries: RequestRetries
  private readonly _ending: RunEnding
  private readonly _stalledAttempt: StalledAttempt

  constructor (private readonly _context: RelayContext, private readonly _accepted: AcceptedRequest) {
    const { route, request, arrivedAt } = _accepted
    this._deadlineAt = arrivedAt + Math.min(route.timeoutMs, request.timeLeftMs ?? Infinity)
    this._lastEventId = request.lastEventId
    this._quarantine = new RequestQuarantine(_context, _accepted)
    this._inputs = new RequestInputs({
      context: _context,
      signals: [this._abortController.signal, this._preparationAbort.signal],
      onDidLosePieces: lost => this._quarantine.recordLostPieces(lost, () => this._preparationAbort.abort())
    })
    this._role = pickTarget(route.targets, _context.random)
    this._selector = new UpstreamSelector({ context: _context, accepted: _accepted, role: this._role, inputs: this._inputs, tried: this._triedUpstreams, signal: this._abortController.signal })
    this._retries = new RequestRetries({ policy: _context.retry, role: this._role, maySend: () => !this._abortController.signal.aborted && this._maySend() })
    this._ending = new RunEnding({
      context: _context,
      accepted: _accepted,
      role: this._role,
      getProgress: () => ({ isAborted: this._abortController.signal.aborted, sendCount: this._sendCount, runCount: this._runCount })
    })
    this._stalledAttempt = new StalledAttempt({
      context: _context,
      accepted: _accepted,
      inputs: this._inputs,
      quarantine: this._quarantine,
      retries: this._retries,
      selector: this._selector,
      getDecisionInputs: () => ({ ...this._getDecisionInputs(), runCount: this._runCount + this._activeAttempts.size }),
      send: upstream => this._send(upstream),
      onDidEndAttempt: attempt => this._recordSupersededAttempt(attempt)
    })
    this._registryAge = _context.registry.computeFreshness(arrivedAt)
  }

  /** Resolves once the caller has its answer or has disconnected. */
  async run (): Promise<RelayOutcome> {
    const disconnectListener = this._accepted.answer.onDidDisconnect(() => this._abortController.abort())
    // Enforces the route's timeout in every phase: preparation, waiting for an upstream, and attempts.
    const deadlineTimer = this._context.clock.schedule(this._deadlineAt - ANSWER_MARGIN_MS - this._context.clock.now(), () => this._handleDeadline())
    try {
      this._retries.recordFirstAttempt()
      return this._createOutcome(await this._runAttempts())
    } catch (thrown) {
      // An attempt in flight would go on without a deadline, for a caller that has been answered.
      this._abortController.abort()
      throw thrown
    } finally {
      deadlineTimer.dispose()
      disconnectListener.dispose()
      this._inputs.end()
      this._retries.dispose()
    }
  }

  /**
   * Sends nothing more, because this node is about to stop, and refuses the request at once unless an attempt has been sent and
   * goes on. An answer that has begun could only be cut, so it may still be resumed.
   */
  stopSending (): void {
    if (this._abortController.signal.aborted) return
    this._isStopping = true
    if (this._accepted.answer.hasBegun) return
    this._preparationAbort.abort()
    if (!this._isAttemptSent() && this._endingCount === 0) this._refuseStopping()
  }

  /** Ends the request before the process ends: its answer states whether it may have run; one that has begun is cut. */
  abandon (): void {
    const { answer } = this._accepted
    if (answer.hasEnded) return
    answer.closeAfterAnswer()
    this._refuseStopping()
  }

  /**
   * Ends the answer at once. What the run waits for need not end in time: a probe of an upstream, an answer of a quota's owner, or
   * a replacement of a stalled attempt.
   */
  private _handleDeadline (): void {
    const { clock, log } = this._context
    const { answer, request, arrivedAt } = this._accepted
    this._abortController.abort()
    if (answer.hasEnded || answer.hasDisconnected) return
    log.info('deadline_passed', {
      request: request.id,
      phase: this._phase,
      answer: answer.hasBegun ? 'begun' : 'none',
      unsent_bytes: answer.unsentBytes,
      timer_late_ms: Math.round(clock.now() - this._deadlineAt + ANSWER_MARGIN_MS),
      held_ms: Math.round(clock.now() - arrivedAt)
    })
    this._ending.endAtDeadline()
  }

  private _maySend (): boolean {
    return !this._isStopping || this._accepted.answer.hasBegun
  }

  private _isAttemptSent (): boolean {
    return [...this._activeAttempts].some(attempt => attempt.wasSent)
  }

  private _refuseStopping (): RunResult {
    const result = this._ending.refuseStopping(this._runCount === 0 && !this._isAttemptSent())
    this._abortController.abort()
    return result
  }

  private _createOutcome (result: RunResult): RelayOutcome {
    return { result, attempts: this._sendCount, preparedMs: Math.round(this._inputs.preparedMs), producedMs: Math.round(this._producedMs), lastUpstream: this._lastUpstream, known: this._registryAge }
  }

  private async _runAttempts (): Promise<RunResult> {
    await this._quarantine.waitForPeers()
    this._phase = 'preparing'
    const initialRefusal = this._refuseQuarantined() ?? await this._prepare()
    if (initialRefusal !== undefined) return initialRefusal
    for (;;) {
      const quarantined = this._refuseQuarantined()
      if (quarantined !== undefined) return quarantined
      if (this._inputs.hasReleasedResults) {
        const preparationRefusal = await this._prepareAgain()
        if (preparationRefusal !== undefined) return preparationRefusal
      }
      this._phase = 'selecting'
      const upstream = await this._selector.acquire({ suspectKey: this._quarantine.suspectKey, timeLeftMs: this._getTimeLeft() - MIN_ATTEMPT_MS })
      if (upstream === undefined) return this._ending.refuseWithoutUpstream(this._selector.scheduleCallerRetry())
      const { attempt, result } = await this._runAttempt(upstream)
      const next = this._retries.acquire(decideAfterAttempt({ ...this._getDecisionInputs(), outcome: result.outcome }), result.outcome)
      this._logAttempt(attempt, result, describeNextAttempt(next))
      if (!next.isAllowed) return this._isPreventedByStop(result, next.decision) ? this._refuseStopping() : this._ending.finish(result)
      if (next.decision.kind === 'prepareAgain') {
        this._triedUpstreams.delete(attempt.upstream.id)
        const preparationRefusal = await this._prepareAgain()
        if (preparationRefusal !== undefined) return preparationRefusal
      }
    }
  }

  /** Whether the upstream did not run the request, and another attempt would have followed if this node did not stop. */
  private _isPreventedByStop ({ outcome }: AttemptResult, { kind }: AttemptDecision): boolean {
    return outcome.kind === 'notRun' && kind !== 'refuse' && !this._maySend()
  }

  private async _prepare (): Promise<RunResult | undefined> {
    const { request, route } = this._accepted
    const { isSuspect } = this._quarantine
    // Prepared results would be discarded: no upstream accepts the request in time.
    if (!this._selector.canPrepare(Math.max(0, this._getTimeLeft() - MIN_ATTEMPT_MS))) return this._ending.refuseWithoutUpstream(this._selector.scheduleCallerRetry())
    const job = createPreparationJob({ request, route, role: this._role, priority: this._accepted.priority, homeHalls: this._accepted.homeHalls, excludedTargets: this._selector.listBackingOff().map(({ id }) => id), deadlineInMs: this._getTimeLeft(), returningCaller: this._findReturningCaller(), isSuspect })
    if (job === undefined) return undefined
    return this._refuseThrottled() ?? await this._handlePreparation(await this._inputs.prepare(job))
  }

  /** Refuses a request whose results would most likely be discarded, since upstreams of its role refuse most requests. */
  private _refuseThrottled (): RunResult | undefined {
    const refusal = this._context.throttle.findRefusal(this._role, this._accepted.priority)
    if (refusal === undefined) return undefined
    return this._ending.refuse({ name: 'overloaded', message: `upstreams of ${this._role} accepted ${refusal.acceptedCount} of the last ${refusal.sendCount} requests`, isNotRun: true, retryAfterMs: refusal.retryAfterMs })
  }

  /** The route's timeout stands in for the deadline of a caller that states none. */
  private _findReturningCaller (): ReturningCaller | undefined {
    const { request, route, arrivedAt } = this._accepted
    if (this._context.handlesContention !== true) return undefined
    return { request: this._quarantine.fingerprint, timeLeftMs: arrivedAt + (request.timeLeftMs ?? route.timeoutMs) - this._context.clock.now() }
  }

  private async _prepareAgain (): Promise<RunResult | undefined> {
    this._phase = 'preparing'
    if (!this._inputs.isPrepared) return this._ending.refuse({ name: 'upstreamRefused', message: 'the upstream reported missing inputs, but the request has no prepared ones' })
    return await this._handlePreparation(await this._inputs.prepareAgain())
  }

  private async _handlePreparation (refusal: JobRefusal | undefined): Promise<RunResult | undefined> {
    if (refusal === undefined) return undefined
    await this._quarantine.waitForLosses()
    return this._refuseQuarantined() ?? this._ending.refusePreparation(refusal)
  }

  /** Resolves once the attempt, or the one that took over from it, has ended. */
  private async _runAttempt (upstream: UpstreamEntry): Promise<EndedAttempt> {
    let attempt = this._send(upstream)
    this._phase = 'attempt'
    while (!await attempt.waitForStall()) {
      this._phase = 'replacing'
      attempt = await this._stalledAttempt.replace(attempt)
      this._phase = 'attempt'
    }
    const result = await attempt.result
    this._phase = 'recording'
    await this._recordAttemptEnd(attempt, result)
    return { attempt, result }
  }

  private _send (upstream: UpstreamEntry): SentAttempt {
    const { route } = this._accepted
    const timeLeftMs = this._getTimeLeft()
    const attempt = new SentAttempt({
      context: this._context,
      accepted: this._accepted,
      inputs: this._inputs,
      quarantine: this._quarantine,
      role: this._role,
      upstream,
      timeLeftMs,
      responseTimeoutMs: computeResponseTimeoutMs(route, this._runCount + this._activeAttempts.size, timeLeftMs),
      lastEventId: this._lastEventId,
      signal: this._abortController.signal,
      maySend: () => this._maySend(),
      onDidSend: arrival => this._retries.recordSent(arrival),
      onDidReceiveFirstOutput: () => {
        if (this._producedMs === 0) this._producedMs = this._context.clock.now() - this._accepted.arrivedAt - this._inputs.preparedMs
      },
      onDidForwardEvent: id => { this._lastEventId = id }
    })
    this._sendCount++
    this._activeAttempts.add(attempt)
    this._lastUpstream = upstream.id
    this._triedUpstreams.add(upstream.id)
    this._registryAge = this._context.registry.computeFreshness(attempt.progress.sentAt)
    void attempt.result.then(({ outcome }) => {
      this._activeAttempts.delete(attempt)
      if (isWithheld(outcome)) this._withdrawSend(upstream)
    })
    return attempt
  }

  /** Resolves once it is known whether the upstream crashed. */
  private async _recordAttemptEnd ({ upstream, progress }: SentAttempt, result: AttemptResult): Promise<void> {
    const { outcome } = result
    if (outcome.kind !== 'notRun') this._runCount++
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream') this._context.registry.removePermanently(upstream.id, 'address answers as another')
    this._endingCount++
    await this._quarantine.recordAttemptEnd(upstream, result, progress)
    this._endingCount--
  }

  /** Records the end of an attempt beside which another one goes on. */
  private async _recordSupersededAttempt (attempt: SentAttempt): Promise<void> {
    const result = await attempt.result
    await this._recordAttemptEnd(attempt, result)
    this._logAttempt(attempt, result, { next: 'superseded' })
  }

  /** Refuses a request that has crashed too many upstreams; all nodes share the quarantine. */
  private _refuseQuarantined (): RunResult | undefined {
    const record = this._quarantine.findQuarantine()
    if (record === undefined) return undefined
    this._context.quarantine.reportRefusal(this._accepted.request.id, this._quarantine.fingerprint, record)
    const cause = record.parts.length > 0 ? `requests with these parts of the prompt: ${record.parts.slice(0, MAX_LOGGED_PARTS).join()}` : 'this request'
    return this._ending.refuse({ name: 'requestQuarantined', message: `${record.crashCount} upstreams crashed while running ${cause}` })
  }

  /** Nothing was written, so the attempt does not count as sent. */
  private _withdrawSend (upstream: UpstreamEntry): void {
    this._sendCount--
    this._triedUpstreams.delete(upstream.id)
  }

  private _getDecisionInputs (): Omit<AttemptDecisionInputs, 'outcome'> {
    const { route } = this._accepted
    return {
      isRepeatable: isRepeatable(route),
      isResumable: route.isResumable,
      runCount: this._runCount,
      sendCount: this._sendCount,
      crashCount: this._quarantine.crashCount,
      maxAttempts: route.maxAttempts,
      timeLeftMs: this._getTimeLeft(),
      minTimeMs: MIN_ATTEMPT_MS
    }
  }

  private _logAttempt ({ upstream, progress }: SentAttempt, { outcome, connectionUse, headMs = 0, mayArrive = false }: AttemptResult, next: LogFields): void {
    if (outcome.kind === 'delivered') return
    const { request } = this._accepted
    const reason = 'reason' in outcome ? outcome.reason : 'status' in outcome ? String(outcome.status) : ''
    this._context.log.warn('attempt_ended', {
      request: request.id,
      upstream: upstream.id,
      role: this._role,
      outcome: outcome.kind,
      reason,
      ...'detail' in outcome ? { detail: outcome.detail } : {},
      ...next,
      sends: this._sendCount,
      may_have_run: this._runCount,
      ...mayArrive ? { may_arrive: true } : {},
      left_ms: Math.round(this._getTimeLeft()),
      ...isConnectionLost(outcome) ? this._describeLostAnswer(progress) : { connection: connectionUse ?? 'none', head_ms: Math.round(headMs) }
    })
  }

  /** What tells the run that crashed an upstream from those that ran beside it. */
  private _describeLostAnswer ({ stage, outputMs }: AttemptProgress): object {
    const parts = this._accepted.request.prompt?.parts.slice(0, -1) ?? []
    return {
      digest: this._quarantine.fingerprint.getDigest(),
      answer: stage,
      output_ms: Math.round(outputMs),
      shared_parts: parts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id).join()
    }
  }

  private _getTimeLeft (): number {
    return Math.max(0, this._deadlineAt - this._context.clock.now())
  }
}
