/**
 * Runs one stage of one request: acquires a slot at an upstream, sends an attempt, and then resumes it, retries the stage or fails.
 */
import { Effect } from 'effect'
import type { IClock } from '../../../base/common/clock.ts'
import { UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Stage } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { DecisionLog } from '../../inspect/common/decisionLog.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { RetryPolicy } from '../../retry/common/retryPolicy.ts'
import type { StageTicket } from '../../scheduling/common/stageQueue.ts'
import type { SlotResult, StageSlot, UpstreamScheduler } from '../../scheduling/common/upstreamScheduler.ts'
import { canSendAgain } from '../../session/common/attemptLog.ts'
import type { RequestRun } from '../../session/common/requestRun.ts'
import type { UpstreamAdapter, UpstreamOutcome } from '../../upstream/common/upstreamAdapter.ts'
import { computeSilenceTimeoutMs } from '../common/silenceTimeout.ts'
import { decideAfterOutcome, MIN_TIME_LEFT_MS } from '../common/outcomeDecision.ts'
import { formatStageKey, isStageUnrepeatable } from '../common/requestPlan.ts'
import type { RequestPlan } from '../common/requestPlan.ts'
import { runAttempt } from './attemptRunner.ts'
import type { AttemptResult } from './attemptRunner.ts'
import { StageFailure } from './stageFailure.ts'

export interface StageRunnerOptions {
  readonly clock: IClock
  readonly adapter: UpstreamAdapter
  readonly scheduler: UpstreamScheduler
  readonly retries: RetryPolicy
  readonly decisions: DecisionLog
  /** False while the process must not send new work, for example after a pause until it has refreshed its state. */
  readonly canSend: () => boolean
  readonly waitUntilCanSend: () => Promise<void>
  /** The upstream reported that this incarnation of it is leaving. */
  readonly onDidReportLeaving: (upstream: string, incarnation: number) => void
  readonly onDidEndAttempt: (attempt: EndedAttempt) => void
}

export interface EndedAttempt {
  readonly role: string
  readonly upstream: string
  readonly kind: UpstreamOutcome['kind']
  readonly isRetry: boolean
  readonly elapsedMs: number
}

/** The execution of one stage of one request. */
export interface StageJob {
  readonly plan: RequestPlan
  readonly run: RequestRun
  readonly stage: Stage
  readonly stageIndex: number
  /** The result of the previous stage; empty for the first. */
  readonly previous: string
  readonly onDidReceiveText: (text: string) => void
}

/** State that is carried over from one attempt of a stage to the next. */
class StageProgress {
  attemptCount = 0
  /** Texts received so far; from an engine, one per token. */
  readonly receivedTexts: string[] = []
  /** Names of the upstreams of all earlier attempts. */
  readonly triedUpstreams = new Set<string>()
}

export class StageRunner {
  constructor (private readonly _options: StageRunnerOptions) {}

  /** Returns the average latency of the stage over all requests. */
  getMeanLatencyMs (stageKey: string): number {
    return this._options.scheduler.latencies.getMeanMs(stageKey)
  }

  /** Returns the whole result of the stage. */
  run (job: StageJob): Effect.Effect<string, StageFailure> {
    const progress = new StageProgress()
    this._options.retries.recordFirstAttempt(job.stage.role)
    return this._runAttempts(job, progress)
  }

  private _runAttempts (job: StageJob, progress: StageProgress): Effect.Effect<string, StageFailure> {
    return Effect.gen(this, function * () {
      while (true) {
        yield * Effect.promise(() => this._options.waitUntilCanSend())
        const slot = yield * this._acquire(this._createTicket(job, progress))
        const outcome = yield * this._runOnSlot(job, slot, progress)
        if (outcome.kind === 'answered') return progress.receivedTexts.join('')
        yield * this._prepareRetry(job, slot, outcome, progress)
      }
    })
  }

  private _createTicket (job: StageJob, progress: StageProgress): StageTicket {
    const { plan, stage } = job
    return {
      requestId: plan.requestId,
      customer: plan.customer,
      customerWeight: plan.customerWeight,
      priority: plan.pipeline.priority,
      deadlineAt: plan.deadlineAt,
      role: stage.role,
      stageKey: formatStageKey(plan.pipeline, stage),
      model: stage.model,
      prefixKey: plan.prefixKey,
      triedUpstreams: progress.triedUpstreams
    }
  }

  private _acquire (ticket: StageTicket): Effect.Effect<StageSlot, StageFailure> {
    const { scheduler } = this._options
    return Effect.async<StageSlot, StageFailure>(resume => {
      scheduler.acquire(ticket, {
        onGranted: slot => resume(Effect.succeed(slot)),
        onRefused: error => resume(Effect.fail(new StageFailure({ error, retryAfterMs: 0 })))
      })
      return Effect.sync(() => scheduler.withdraw(ticket))
    })
  }

  private _runOnSlot (job: StageJob, slot: StageSlot, progress: StageProgress): Effect.Effect<UpstreamOutcome> {
    const { clock, scheduler } = this._options
    const attemptId = `${job.plan.requestId}/${job.stageIndex}/${++progress.attemptCount}`
    const upstream = slot.view.upstream
    const isUnrepeatable = isStageUnrepeatable(job.plan, job.stage)
    const log = job.run.attemptLog
    log.prepare({ attemptId, stageIndex: job.stageIndex, stage: job.stage.name, upstream: upstream.name, isUnrepeatable }, clock.now())
    this._recordDecision(job, 'route', upstream.name, slot.reason, `stage=${job.stage.name} attempt=${progress.attemptCount}`)
    const release = (result: SlotResult) => Effect.sync(() => scheduler.release(slot, result))
    return this._runWithResumes(job, slot, attemptId, progress).pipe(
      Effect.tap(({ outcome, isTimedOut }) => this._recordOutcome(job, slot, attemptId, outcome, progress).pipe(
        Effect.zipRight(release(convertToSlotResult(outcome, isTimedOut, upstream.kind === UpstreamKind.ENGINE)))
      )),
      Effect.map(result => result.outcome),
      Effect.onInterrupt(() => release({ kind: 'abandoned' }))
    )
  }

  /** Runs an attempt and resumes it after each interruption of its stream, as long as its engine can send the remaining tokens. */
  private _runWithResumes (job: StageJob, slot: StageSlot, attemptId: string, progress: StageProgress): Effect.Effect<AttemptResult> {
    return Effect.gen(this, function * () {
      for (let resumeCount = 0; ; resumeCount++) {
        const attemptResult = yield * this._runCall(job, slot, attemptId, progress, resumeCount > 0)
        const result = resumeCount > 0 ? convertNotRunToLost(attemptResult) : attemptResult
        if (result.outcome.kind === 'answered') return result
        const decision = decideAfterOutcome({
          outcome: result.outcome,
          isUnrepeatable: true,
          canResume: slot.view.upstream.kind === UpstreamKind.ENGINE && !result.isTimedOut && isAttemptSent(job.run, attemptId),
          resumeCount,
          attemptCount: progress.attemptCount,
          timeLeftMs: job.plan.deadlineAt - this._options.clock.now()
        })
        if (decision.kind !== 'resume') return result
        this._recordDecision(job, 'resume', slot.view.upstream.name, result.outcome.error.message, `token=${progress.receivedTexts.length}`)
      }
    })
  }

  private _runCall (job: StageJob, slot: StageSlot, attemptId: string, progress: StageProgress, isResume: boolean): Effect.Effect<AttemptResult> {
    const { clock, adapter, scheduler } = this._options
    const { plan, stage, run } = job
    const isUnrepeatable = isStageUnrepeatable(plan, stage)
    const timeLeftMs = Math.max(1, Math.round(plan.deadlineAt - clock.now()))
    const highLatencyMs = scheduler.latencies.getHighMs(formatStageKey(plan.pipeline, stage))
    const offset = slot.view.upstream.kind === UpstreamKind.ENGINE ? progress.receivedTexts.length : 0
    return runAttempt({ clock, adapter }, {
      upstream: slot.view.upstream,
      attemptId,
      requestId: plan.requestId,
      role: stage.role,
      model: stage.model,
      input: plan.input,
      previous: job.previous,
      prefixKey: plan.prefixKey,
      priority: plan.pipeline.priority,
      timeLeftMs,
      offset,
      produced: offset > 0 && !isResume ? progress.receivedTexts.join('') : '',
      isResume,
      isUnrepeatable,
      onWillSend: () => this._tryMarkSent(job, attemptId, isResume, progress.attemptCount > 1),
      onDidReceiveText: text => {
        if (run.outcome !== undefined) return
        progress.receivedTexts.push(text)
        job.onDidReceiveText(text)
      }
    }, computeSilenceTimeoutMs({ timeLeftMs, highLatencyMs, isUnrepeatable }))
  }

  /** Called before the first byte is written. Returns false if the call must not be sent; otherwise the attempt counts as `sent` from here on. */
  private _tryMarkSent (job: StageJob, attemptId: string, isResume: boolean, isFurtherAttempt: boolean): boolean {
    const now = this._options.clock.now()
    // Time has passed since the attempt was decided: the stage waited in the queue and for a connection.
    const lastSendAt = job.plan.deadlineAt - (isFurtherAttempt ? MIN_TIME_LEFT_MS : 0)
    if (!this._options.canSend() || now >= lastSendAt || job.run.outcome !== undefined) return false
    if (!isResume) job.run.attemptLog.update(attemptId, 'sent', now)
    return true
  }

  private _recordOutcome (job: StageJob, slot: StageSlot, attemptId: string, outcome: UpstreamOutcome, progress: StageProgress): Effect.Effect<void> {
    return Effect.sync(() => {
      const { clock, onDidEndAttempt, onDidReportLeaving } = this._options
      const now = clock.now()
      const upstream = slot.view.upstream.name
      const log = job.run.attemptLog
      if (outcome.kind === 'answered') log.update(attemptId, 'answered', now, outcome.busyMs)
      else if (outcome.kind === 'failed') log.update(attemptId, 'ran', now, outcome.busyMs)
      else if (outcome.kind === 'notRun') log.update(attemptId, 'notRun', now)
      if (outcome.kind === 'notRun' && outcome.isLeaving) onDidReportLeaving(upstream, outcome.incarnation || slot.view.incarnation)
      if (outcome.kind !== 'answered') this._recordDecision(job, 'outcome', outcome.kind, outcome.error.toString(), `upstream=${upstream}`)
      onDidEndAttempt({ role: job.stage.role, upstream, kind: outcome.kind, isRetry: progress.attemptCount > 1, elapsedMs: now - slot.startedAt })
    })
  }

  /** Succeeds when the stage may be sent again; fails if it must not be. */
  private _prepareRetry (job: StageJob, slot: StageSlot, outcome: Exclude<UpstreamOutcome, { readonly kind: 'answered' }>, progress: StageProgress): Effect.Effect<void, StageFailure> {
    const { clock, retries } = this._options
    progress.triedUpstreams.add(slot.view.upstream.name)
    const decision = decideAfterOutcome({
      outcome,
      isUnrepeatable: !canSendAgain(job.run.attemptLog.attempts, job.stageIndex),
      canResume: false,
      resumeCount: 0,
      attemptCount: progress.attemptCount,
      timeLeftMs: job.plan.deadlineAt - clock.now()
    })
    if (decision.kind === 'queue') return Effect.sleep(decision.waitMs)
    if (decision.kind !== 'again') return Effect.fail(createStageFailure(job, outcome.error, decision.kind === 'giveUp' ? decision.reason : 'stageFailed'))
    const { permit } = retries.acquireRetry(job.stage.role)
    if (permit === undefined) {
      this._recordDecision(job, 'retry', 'refused', 'the retry budget is exhausted', '')
      return Effect.fail(createStageFailure(job, outcome.error, 'stageFailed'))
    }
    permit.recordSent()
    this._recordDecision(job, 'retry', 'again', outcome.error.message, '')
    return Effect.void
  }

  private _recordDecision (job: StageJob, kind: 'route' | 'outcome' | 'retry' | 'resume', choice: string, reason: string, inputs: string): void {
    this._options.decisions.record({ subject: job.plan.requestId, kind, choice, reason, inputs })
  }
}

function isAttemptSent (run: RequestRun, attemptId: string): boolean {
  return run.attemptLog.attempts.some(attempt => attempt.attemptId === attemptId && attempt.state === 'sent')
}

/** A refusal to resume does not show that the attempt did not run. The attempt was sent, so its outcome is unknown. */
function convertNotRunToLost (result: AttemptResult): AttemptResult {
  if (result.outcome.kind !== 'notRun') return result
  return { ...result, outcome: { kind: 'lost', error: result.outcome.error } }
}

function convertToSlotResult (outcome: UpstreamOutcome, isTimedOut: boolean, cachesPrefix: boolean): SlotResult {
  if (outcome.kind === 'answered') return { kind: 'answered', cachesPrefix }
  if (outcome.kind === 'notRun') return { kind: outcome.error.resultName === 'upstreamUnreachable' ? 'unreachable' : 'busy' }
  return { kind: isTimedOut ? 'slow' : outcome.kind }
}

const RESULT_NAMES_BY_REASON = { outcomeUnknown: 'outcomeUnknown', stageFailed: 'stageFailed', noTime: 'deadlinePassed' } as const

function createStageFailure (job: StageJob, cause: PepperwoodError, reason: keyof typeof RESULT_NAMES_BY_REASON): StageFailure {
  const error = new PepperwoodError({ name: RESULT_NAMES_BY_REASON[reason], message: cause.message, place: `stage ${job.stage.name}`, value: cause.place })
  return new StageFailure({ error, retryAfterMs: 0 })
}
