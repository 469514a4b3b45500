/**
 * One request at the relay: prepares what it needs, sends it to upstreams one after another until one delivers, and
 * ends it with an answer or an honest refusal.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import { NO_STANDING } from '../../quarantine/common/quarantineBook.ts'
import type { PictureAge, UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { LostPieces } from '../../preparation/common/preparationService.ts'
import type { JobRefusal } from '../../preparation/common/preparationJob.ts'
import { computeHeadTimeout, computePauseTimeout } from '../common/attemptTimes.ts'
import { decideAfterAttempt, hasFailedUpstream, hasLostRun, hasTaken, isWithheld } from '../common/attemptDecision.ts'
import type { AttemptDecision, AttemptOutcome } from '../common/attemptDecision.ts'
import { createPreparationJob } from '../common/preparationNeed.ts'
import type { PoolVisit } from '../common/relayPool.ts'
import { ELSEWHERE_RETRY_MS } from '../common/relayProtocol.ts'
import type { RelayRefusal } from '../common/relayProtocol.ts'
import { isRepeatable, pickTarget } from '../common/relayTable.ts'
import { RelayAttempt } from './relayAttempt.ts'
import type { AttemptResult } from './relayAttempt.ts'
import type { RelayContext } from './relayContext.ts'
import { RequestInputs } from './requestInputs.ts'
import { RequestSuspect } from './requestSuspect.ts'
import type { TakenRequest } from './takenRequest.ts'
import { UpstreamChoice } from './upstreamChoice.ts'

/** How a request ended, for logs and metrics. */
export interface RelayEnd {
  readonly result: ResultName | 'delivered' | 'passedOn'
  readonly attempts: number
  readonly preparedMs: number
  /** From when the results were there to the first event or the whole answer; 0 when there was none. */
  readonly producedMs: number
  readonly lastUpstream: string
  /** How current the upstreams were when the last one was chosen. */
  readonly known: PictureAge
}

/** Less than this is left for an answer's way back to the caller. */
const ANSWER_MARGIN_MS = 20
/** A further attempt needs at least this much time. */
const MIN_ATTEMPT_MS = 50
const RETRY_SOON_MS = 300
/** A request that has been producing for so long is not what ended its upstream. */
const MAX_BEGUN_MS = 1000

export class RelayRun {
  private _sendCount = 0
  private _runCount = 0
  private _lastEventId: string | undefined
  private _isAtUpstream = false
  private _isGivenUp = false
  private _producedMs = 0
  private _lastUpstream = ''
  private _known: PictureAge
  /** When the attempt under way was sent, and when it first produced something. */
  private _sentAt = 0
  private _producedAt = Infinity
  /** Upstreams that ended under this try. */
  private _endedCount = 0
  private _standing = NO_STANDING
  private readonly _suspect: RequestSuspect
  private readonly _inputs: RequestInputs
  /** Settles when it is known of all upstreams that were lost over its pieces whether they ended. */
  private _lossesNoted: Promise<unknown> = Promise.resolve()
  private readonly _tried = new Set<string>()
  private readonly _abort = new AbortController()
  private readonly _preparing = new AbortController()
  private readonly _deadlineAt: number
  private readonly _role: string
  private readonly _choice: UpstreamChoice

  constructor (private readonly _context: RelayContext, private readonly _taken: TakenRequest) {
    const { route, request, arrivedAt } = _taken
    this._deadlineAt = arrivedAt + Math.min(route.timeoutMs, request.timeLeftMs ?? Infinity)
    this._lastEventId = request.lastEventId
    this._suspect = new RequestSuspect({ ...request, customer: _taken.customer, body: _taken.body })
    this._inputs = new RequestInputs({
      context: _context,
      signals: [this._abort.signal, this._preparing.signal],
      onDidLose: lost => { this._lossesNoted = Promise.all([this._lossesNoted, this._noteLostPieces(lost)]) }
    })
    this._role = pickTarget(route.targets, _context.random)
    this._choice = new UpstreamChoice({ context: _context, taken: _taken, role: this._role, inputs: this._inputs, tried: this._tried, signal: this._abort.signal })
    this._known = _context.registry.computeAge(arrivedAt)
  }

  /** Runs to the end; the caller has its answer, or is gone, when it resolves. */
  async run (): Promise<RelayEnd> {
    const left = this._taken.answer.onDidLeave(() => this._abort.abort())
    // The operator wants no request held longer, whatever it waits for.
    const timer = this._context.clock.schedule(this._deadlineAt - ANSWER_MARGIN_MS - this._context.clock.now(), () => this._abort.abort())
    try {
      this._context.retry.recordFirstAttempt(this._role)
      return this._end(await this._runAttempts())
    } finally {
      timer.dispose()
      left.dispose()
      this._inputs.end()
    }
  }

  /** Ends a request that waits, since this node will not be there to send it; one that was sent goes on. */
  giveUpWaiting (): void {
    if (this._isAtUpstream || this._abort.signal.aborted) return
    this._isGivenUp = true
    this._abort.abort()
  }

  private _end (result: RelayEnd['result']): RelayEnd {
    return { result, attempts: this._sendCount, preparedMs: Math.round(this._inputs.preparedMs), producedMs: Math.round(this._producedMs), lastUpstream: this._lastUpstream, known: this._known }
  }

  private async _runAttempts (): Promise<RelayEnd['result']> {
    const refused = this._refuseQuarantined() ?? await this._prepare()
    if (refused !== undefined) return refused
    for (;;) {
      const quarantined = this._refuseQuarantined()
      if (quarantined !== undefined) return quarantined
      if (this._inputs.isUsedUp) {
        const failed = await this._prepareAgain()
        if (failed !== undefined) return failed
      }
      const upstream = await this._choice.acquire({ suspectKey: this._standing.ends > 0 ? this._suspect.getDigest() : undefined, timeLeftMs: this._getTimeLeft() - MIN_ATTEMPT_MS })
      if (upstream === undefined) return this._refuseWithoutUpstream()
      const result = await this._tryUpstream(upstream)
      await this._noteEnd(upstream, result)
      const decision = this._decide(result.outcome, upstream)
      this._noteOutcome(upstream, result.outcome, decision)
      if (decision.kind === 'retry' && this._mayRetry(result.outcome)) {
        if (decision.isResume && result.outcome.kind === 'broken') this._lastEventId = result.outcome.lastEventId
        continue
      }
      if (decision.kind === 'prepareAgain' && this._mayRetry(result.outcome)) {
        this._tried.delete(upstream.id)
        const failed = await this._prepareAgain()
        if (failed !== undefined) return failed
        continue
      }
      return this._finish(result)
    }
  }

  private async _prepare (): Promise<ResultName | undefined> {
    const { request, route } = this._taken
    const isSuspect = this._standing.ends > 0
    // Whatever is made for it would be thrown away.
    if (!this._choice.mayPrepare(Math.max(0, this._getTimeLeft() - MIN_ATTEMPT_MS))) return this._refuseWithoutUpstream()
    const job = createPreparationJob({ request, route, role: this._role, priority: this._taken.priority, homeHalls: this._taken.homeHalls, excludedTargets: this._choice.listBackingOff().map(({ id }) => id), deadlineInMs: this._getTimeLeft(), isSuspect })
    return job === undefined ? undefined : await this._takePreparation(await this._inputs.prepare(job))
  }

  private async _prepareAgain (): Promise<ResultName | undefined> {
    if (!this._inputs.isPrepared) return this._refuse('upstreamRefused', 'the upstream wants inputs that the route does not have', this._runCount === 0)
    return await this._takePreparation(await this._inputs.prepareAgain())
  }

  private async _takePreparation (refusal: JobRefusal | undefined): Promise<ResultName | undefined> {
    if (refusal === undefined) return undefined
    await this._lossesNoted
    return this._refuseQuarantined() ?? this._refusePreparation(refusal)
  }

  /** Ends preparation as soon as the request is known to end what makes its pieces. */
  private async _noteLostPieces ({ upstreamId, sentAt, endedAt }: LostPieces): Promise<void> {
    const { registry, log } = this._context
    const upstream = registry.get(upstreamId)
    if (upstream === undefined) return
    const isEnded = await this._noteLost(upstream, sentAt, endedAt)
    log.info('pieces_lost', { request: this._taken.request.id, upstream: upstreamId, digest: this._suspect.getDigest(), ended: isEnded, ends: this._standing.ends })
    if (this._standing.isQuarantined) this._preparing.abort()
  }

  private async _tryUpstream (upstream: UpstreamEntry): Promise<AttemptResult> {
    const { context, taken } = { context: this._context, taken: this._taken }
    const { request, route } = taken
    const isStream = route.kind === RouteKind.STREAM
    this._sendCount++
    this._lastUpstream = upstream.id
    this._tried.add(upstream.id)
    const visit = context.pool.begin(upstream, { prompt: request.prompt, isSuspect: this._standing.ends > 0 })
    const timeLeftMs = this._getTimeLeft()
    this._sentAt = context.clock.now()
    this._producedAt = Infinity
    this._known = context.registry.computeAge(this._sentAt)
    let releasing: IDisposable | undefined
    let writtenAt: number | undefined
    this._isAtUpstream = true
    const result = await new RelayAttempt({
      agent: context.agent,
      clock: context.clock,
      protocol: context.upstreamProtocol,
      call: {
        request,
        upstream,
        customer: taken.customer,
        timeLeftMs,
        priority: taken.priority,
        inputs: this._inputs.handles,
        prefixSource: this._inputs.findPrefixSource(upstream),
        lastEventId: this._lastEventId,
        bodyBytes: taken.body.length
      },
      body: taken.body,
      answer: taken.answer,
      isStream,
      headTimeoutMs: computeHeadTimeout(route, this._runCount, timeLeftMs),
      pauseTimeoutMs: computePauseTimeout(route),
      signal: this._abort.signal,
      onWillSend: () => {
        if (!context.guard.maySend(upstream.id, request.id)) return false
        writtenAt = context.clock.now()
        releasing = this._inputs.scheduleRelease()
        return true
      },
      onDidState: statements => context.noteStatements({ upstream: upstream.id, statements }),
      onDidReadLoad: load => context.pool.recordLoad(upstream, load),
      onDidProduce: () => {
        if (writtenAt !== undefined) context.backoffs.settleSend(upstream.id, writtenAt, true)
        this._noteProduced(visit, upstream)
      },
      localAddress: context.localAddress
    }).run()
    this._isAtUpstream = false
    if (isWithheld(result.outcome)) this._withdrawSend(upstream)
    if (writtenAt !== undefined) context.backoffs.settleSend(upstream.id, writtenAt, hasTaken(result.outcome))
    visit.end(result.outcome)
    // What was not taken is still there for another upstream.
    if (result.outcome.kind === 'notRun') releasing?.dispose()
    this._inputs.noteOutcome(result.outcome)
    if (hasFailedUpstream(result.outcome)) this._inputs.report(upstream, { outcome: 'failed', producedMs: 0 })
    return result
  }

  private _noteProduced (visit: PoolVisit, upstream: UpstreamEntry): void {
    visit.noteProduced()
    this._producedAt = this._context.clock.now()
    this._inputs.report(upstream, { outcome: 'produced', producedMs: this._producedAt - this._sentAt })
    if (this._producedMs === 0) this._producedMs = this._context.clock.now() - this._taken.arrivedAt - this._inputs.preparedMs
    this._inputs.release()
  }

  /**
   * Tells the quarantine how the upstream fared, and waits until it knows whether that ended: neither a further attempt
   * nor a caller that comes back at once may be sent on before.
   */
  private async _noteEnd (upstream: UpstreamEntry, { outcome, hasTimedOut = false }: AttemptResult): Promise<void> {
    const { clock, quarantine } = this._context
    const endedAt = clock.now()
    if (outcome.kind === 'delivered') return quarantine.noteServed(this._suspect)
    if (!hasLostRun(outcome) || hasTimedOut || endedAt - this._producedAt > MAX_BEGUN_MS) return
    if (await this._noteLost(upstream, this._sentAt, endedAt)) this._endedCount++
  }

  private async _noteLost (upstream: UpstreamEntry, sentAt: number, endedAt: number): Promise<boolean> {
    const { quarantine } = this._context
    const isEnded = await quarantine.noteLost({ digest: this._suspect.getDigest(), bodyBytes: this._suspect.bodyBytes, upstream: upstream.id, address: upstream.address, sentAt, endedAt })
    this._standing = quarantine.judge(this._suspect)
    return isEnded
  }

  /** A request that ends what runs it is sent nowhere, at whatever node its caller tries. */
  private _refuseQuarantined (): ResultName | undefined {
    const { quarantine } = this._context
    this._standing = quarantine.judge(this._suspect)
    if (!this._standing.isQuarantined) return undefined
    quarantine.reportRefusal(this._taken.request.id, this._suspect, this._standing)
    return this._refuse('requestQuarantined', `${this._standing.ends} upstreams ended under its tries`, this._runCount === 0)
  }

  /** Nothing was written, so this was no send. */
  private _withdrawSend (upstream: UpstreamEntry): void {
    this._sendCount--
    this._tried.delete(upstream.id)
  }

  private _decide (outcome: AttemptOutcome, upstream: UpstreamEntry): AttemptDecision {
    const { route } = this._taken
    if (outcome.kind !== 'notRun') this._runCount++
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream') this._context.registry.dropForGood(upstream.id, 'address answers as another')
    return decideAfterAttempt({
      outcome,
      isRepeatable: isRepeatable(route),
      isResumable: route.isResumable,
      runCount: this._runCount,
      sendCount: this._sendCount,
      // What is held against the request has this try's ends as well, but for those that were not told.
      endedCount: Math.max(this._standing.ends, this._endedCount),
      maxAttempts: route.maxAttempts,
      timeLeftMs: this._getTimeLeft(),
      minTimeMs: MIN_ATTEMPT_MS
    })
  }

  /** What was never written is no arrival at an upstream, and costs no budget. */
  private _mayRetry (outcome: AttemptOutcome): boolean {
    if (this._abort.signal.aborted) return false
    if (isWithheld(outcome) || (outcome.kind === 'notRun' && outcome.reason === 'unreachable')) return true
    return this._context.retry.takeRetry(this._role)
  }

  private _finish (result: AttemptResult): RelayEnd['result'] {
    const { outcome, failure } = result
    if (outcome.kind === 'delivered') return 'delivered'
    if (this._taken.answer.hasLeft) return 'cancelled'
    if (outcome.kind === 'broken') {
      this._taken.answer.cut()
      return 'answerTorn'
    }
    if (failure !== undefined) {
      this._taken.answer.send(failure)
      return 'passedOn'
    }
    if (this._taken.answer.isBegun) {
      this._taken.answer.cut()
      return 'answerTorn'
    }
    if (outcome.kind === 'cancelled') return this._refuseLate()
    if (outcome.kind === 'notRun') return this._refuse('overloaded', `upstream: ${outcome.reason}`, this._runCount === 0, RETRY_SOON_MS)
    return this._refuse('outcomeUnknown', outcome.kind === 'lost' ? outcome.reason : outcome.kind, false)
  }

  private _refusePreparation (refusal: JobRefusal): ResultName {
    if (this._taken.answer.hasLeft) return 'cancelled'
    if (this._abort.signal.aborted) return this._refuseLate()
    return this._refuse('overloaded', `preparation: ${refusal.reason}`, this._runCount === 0, refusal.retryAfterMs)
  }

  private _refuseWithoutUpstream (): ResultName {
    if (this._abort.signal.aborted) return this._refuseLate()
    const returnMs = this._choice.scheduleReturn()
    if (returnMs !== undefined) return this._refuse('overloaded', `no upstream of ${this._role} accepts more now`, this._runCount === 0, returnMs)
    return this._refuse('upstreamNoneLeft', `no upstream of ${this._role} takes work`, this._runCount === 0, RETRY_SOON_MS)
  }

  /** Time ran out, or this node ends: what was sent may still run. */
  private _refuseLate (): ResultName {
    if (this._isGivenUp) return this._refuse('gateDraining', 'this node is stopping', this._runCount === 0, ELSEWHERE_RETRY_MS)
    return this._refuse('deadlinePassed', 'time ran out', this._sendCount === 0, 0)
  }

  private _refuse (name: ResultName, message: string, isNotRun: boolean, retryAfterMs?: number): ResultName {
    const { answer } = this._taken
    if (answer.hasLeft) return 'cancelled'
    if (answer.isBegun) {
      answer.cut()
      return 'answerTorn'
    }
    const refusal: RelayRefusal = { error: new PepperwoodError({ name, message, place: this._role }), isNotRun, retryAfterMs }
    this._context.refuse(answer, refusal, this._taken.request.id)
    return name
  }

  private _noteOutcome (upstream: UpstreamEntry, outcome: AttemptOutcome, decision: AttemptDecision): void {
    if (outcome.kind === 'delivered') return
    const { request } = this._taken
    const reason = 'reason' in outcome ? outcome.reason : 'status' in outcome ? String(outcome.status) : ''
    this._context.log.warn('attempt_ended', {
      request: request.id,
      upstream: upstream.id,
      role: this._role,
      outcome: outcome.kind,
      reason,
      next: decision.kind,
      sends: this._sendCount,
      may_have_run: this._runCount,
      left_ms: Math.round(this._getTimeLeft()),
      ...hasLostRun(outcome) ? { digest: this._suspect.getDigest() } : {}
    })
  }

  private _getTimeLeft (): number {
    return Math.max(0, this._deadlineAt - this._context.clock.now())
  }
}
