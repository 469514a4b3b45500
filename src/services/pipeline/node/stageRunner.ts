/**
 * Runs one stage of one request: asks for an upstream, sends an attempt, and resumes, repeats or gives up.
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
import { computeMaxSilence } from '../common/attemptLimits.ts'
import { decideAfterOutcome } from '../common/outcomeDecision.ts'
import { formatStageKey, isStageUnrepeatable } from '../common/requestPlan.ts'
import type { RequestPlan } from '../common/requestPlan.ts'
import { runAttempt } from './attemptRunner.ts'
import type { AttemptResult } from './attemptRunner.ts'
import { StageFailure } from './stageFailure.ts'

/** What the stage runner works with. */
export interface StageRunnerOptions {
  readonly clock: IClock
  readonly adapter: UpstreamAdapter
  readonly scheduler: UpstreamScheduler
  readonly retries: RetryPolicy
  readonly decisions: DecisionLog
  /** False while the process may not send new work, such as after a pause until it has read anew. */
  readonly maySend: () => boolean
  /** Waits until the process may send again. */
  readonly waitUntilMaySend: () => Promise<void>
  /** An upstream said that this incarnation of it is leaving. */
  readonly onDidSeeLeaving: (upstream: string, incarnation: number) => void
  readonly onDidEndAttempt: (attempt: EndedAttempt) => void
}

export interface EndedAttempt {
  readonly role: string
  readonly upstream: string
  readonly kind: UpstreamOutcome['kind']
  readonly isRetry: boolean
  readonly elapsedMs: number
}

/** One stage of one request. */
export interface StageJob {
  readonly plan: RequestPlan
  readonly run: RequestRun
  readonly stage: Stage
  readonly stageIndex: number
  readonly previous: string
  readonly onDidReceiveText: (text: string) => void
}

/** What is carried from attempt to attempt. */
class StageProgress {
  attempts = 0
  readonly produced: string[] = []
  readonly tried = new Set<string>()
}

export class StageRunner {
  constructor (private readonly _options: StageRunnerOptions) {}

  /** What a stage of this kind usually takes, in milliseconds. */
  getUsualMs (stageKey: string): number {
    return this._options.scheduler.latencies.getUsual(stageKey)
  }

  /** The stage's whole result. */
  run (job: StageJob): Effect.Effect<string, StageFailure> {
    const progress = new StageProgress()
    this._options.retries.recordFirstAttempt(job.stage.role)
    return this._runAttempts(job, progress)
  }

  private _runAttempts (job: StageJob, progress: StageProgress): Effect.Effect<string, StageFailure> {
    return Effect.gen(this, function * () {
      while (true) {
        yield * Effect.promise(() => this._options.waitUntilMaySend())
        const slot = yield * this._acquire(this._createTicket(job, progress))
        const outcome = yield * this._useSlot(job, slot, progress)
        if (outcome.kind === 'answered') return progress.produced.join('')
        yield * this._prepareNext(job, slot, outcome, progress)
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
      tried: progress.tried
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

  private _useSlot (job: StageJob, slot: StageSlot, progress: StageProgress): Effect.Effect<UpstreamOutcome> {
    const { clock, scheduler } = this._options
    const attemptId = `${job.plan.requestId}/${job.stageIndex}/${++progress.attempts}`
    const upstream = slot.view.upstream
    const isUnrepeatable = isStageUnrepeatable(job.plan, job.stage)
    const log = job.run.attemptLog
    log.prepare({ attemptId, stageIndex: job.stageIndex, stage: job.stage.name, upstream: upstream.name, isUnrepeatable }, clock.now())
    this._decide(job, 'route', upstream.name, slot.reason, `stage=${job.stage.name} attempt=${progress.attempts}`)
    const release = (result: SlotResult) => Effect.sync(() => scheduler.release(slot, result))
    return this._follow(job, slot, attemptId, progress).pipe(
      Effect.tap(({ outcome, gaveUp }) => this._recordOutcome(job, slot, attemptId, outcome, progress).pipe(
        Effect.zipRight(release(describeSlotResult(outcome, gaveUp, upstream.kind === UpstreamKind.ENGINE)))
      )),
      Effect.map(result => result.outcome),
      Effect.onInterrupt(() => release({ kind: 'abandoned' }))
    )
  }

  /** Follows an attempt over broken streams, as long as its engine can hand out the rest. */
  private _follow (job: StageJob, slot: StageSlot, attemptId: string, progress: StageProgress): Effect.Effect<AttemptResult> {
    return Effect.gen(this, function * () {
      for (let resumes = 0; ; resumes++) {
        const called = yield * this._call(job, slot, attemptId, progress, resumes > 0)
        const result = resumes > 0 ? keepSent(called) : called
        if (result.outcome.kind === 'answered') return result
        const decision = decideAfterOutcome({
          outcome: result.outcome,
          isUnrepeatable: true,
          canResume: slot.view.upstream.kind === UpstreamKind.ENGINE && !result.gaveUp && isSent(job.run, attemptId),
          resumes,
          attempts: progress.attempts,
          timeLeftMs: job.plan.deadlineAt - this._options.clock.now()
        })
        if (decision.kind !== 'resume') return result
        this._decide(job, 'resume', slot.view.upstream.name, result.outcome.error.message, `token=${progress.produced.length}`)
      }
    })
  }

  private _call (job: StageJob, slot: StageSlot, attemptId: string, progress: StageProgress, isResume: boolean): Effect.Effect<AttemptResult> {
    const { clock, adapter, scheduler } = this._options
    const { plan, stage, run } = job
    const isUnrepeatable = isStageUnrepeatable(plan, stage)
    const timeLeftMs = Math.max(1, Math.round(plan.deadlineAt - clock.now()))
    const highMs = scheduler.latencies.getHigh(formatStageKey(plan.pipeline, stage))
    const offset = slot.view.upstream.kind === UpstreamKind.ENGINE ? progress.produced.length : 0
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
      produced: offset > 0 && !isResume ? progress.produced.join('') : '',
      isResume,
      isUnrepeatable,
      onWillSend: () => this._markSent(job, attemptId, isResume),
      onDidReceiveText: text => {
        if (run.end !== undefined) return
        progress.produced.push(text)
        job.onDidReceiveText(text)
      }
    }, computeMaxSilence({ timeLeftMs, highMs, isUnrepeatable }))
  }

  /** The last moment before a byte is written: the log says `sent` from here on. */
  private _markSent (job: StageJob, attemptId: string, isResume: boolean): boolean {
    const now = this._options.clock.now()
    if (!this._options.maySend() || now >= job.plan.deadlineAt || job.run.end !== undefined) return false
    if (!isResume) job.run.attemptLog.update(attemptId, 'sent', now)
    return true
  }

  private _recordOutcome (job: StageJob, slot: StageSlot, attemptId: string, outcome: UpstreamOutcome, progress: StageProgress): Effect.Effect<void> {
    return Effect.sync(() => {
      const { clock, onDidEndAttempt, onDidSeeLeaving } = this._options
      const now = clock.now()
      const upstream = slot.view.upstream.name
      const log = job.run.attemptLog
      if (outcome.kind === 'answered') log.update(attemptId, 'answered', now, outcome.busyMs)
      else if (outcome.kind === 'failed') log.update(attemptId, 'ran', now, outcome.busyMs)
      else if (outcome.kind === 'notRun') log.update(attemptId, 'notRun', now)
      if (outcome.kind === 'notRun' && outcome.isLeaving) onDidSeeLeaving(upstream, outcome.incarnation || slot.view.incarnation)
      if (outcome.kind !== 'answered') this._decide(job, 'outcome', outcome.kind, outcome.error.toString(), `upstream=${upstream}`)
      onDidEndAttempt({ role: job.stage.role, upstream, kind: outcome.kind, isRetry: progress.attempts > 1, elapsedMs: now - slot.startedAt })
    })
  }

  /** Returns when the stage may be sent again; fails when it may not. */
  private _prepareNext (job: StageJob, slot: StageSlot, outcome: Exclude<UpstreamOutcome, { readonly kind: 'answered' }>, progress: StageProgress): Effect.Effect<void, StageFailure> {
    const { clock, retries } = this._options
    progress.tried.add(slot.view.upstream.name)
    const decision = decideAfterOutcome({
      outcome,
      isUnrepeatable: !canSendAgain(job.run.attemptLog.attempts, job.stageIndex),
      canResume: false,
      resumes: 0,
      attempts: progress.attempts,
      timeLeftMs: job.plan.deadlineAt - clock.now()
    })
    if (decision.kind === 'queue') return Effect.sleep(decision.waitMs)
    if (decision.kind !== 'again') return Effect.fail(createFailure(job, outcome.error, decision.kind === 'giveUp' ? decision.reason : 'stageFailed'))
    if (!retries.tryAcquireRetry(job.stage.role)) {
      this._decide(job, 'retry', 'refused', 'the retry budget is spent', '')
      return Effect.fail(createFailure(job, outcome.error, 'stageFailed'))
    }
    this._decide(job, 'retry', 'again', outcome.error.message, '')
    return Effect.void
  }

  private _decide (job: StageJob, kind: 'route' | 'outcome' | 'retry' | 'resume', choice: string, reason: string, inputs: string): void {
    this._options.decisions.record({ subject: job.plan.requestId, kind, choice, reason, inputs })
  }
}

function isSent (run: RequestRun, attemptId: string): boolean {
  return run.attemptLog.attempts.some(attempt => attempt.attemptId === attemptId && attempt.state === 'sent')
}

/** An upstream that can't resume an attempt says nothing about whether the attempt ran: it was sent, and stays so. */
function keepSent (result: AttemptResult): AttemptResult {
  if (result.outcome.kind !== 'notRun') return result
  return { ...result, outcome: { kind: 'lost', error: result.outcome.error } }
}

function describeSlotResult (outcome: UpstreamOutcome, gaveUp: boolean, cachesPrefix: boolean): SlotResult {
  if (outcome.kind === 'answered') return { kind: 'answered', cachesPrefix }
  if (outcome.kind === 'notRun') return { kind: outcome.error.resultName === 'upstreamUnreachable' ? 'unreachable' : 'busy' }
  return { kind: gaveUp ? 'slow' : outcome.kind }
}

const FAILURE_NAMES = { outcomeUnknown: 'outcomeUnknown', stageFailed: 'stageFailed', noTime: 'deadlinePassed' } as const

function createFailure (job: StageJob, cause: PepperwoodError, reason: keyof typeof FAILURE_NAMES): StageFailure {
  const error = new PepperwoodError({ name: FAILURE_NAMES[reason], message: cause.message, place: `stage ${job.stage.name}`, value: cause.place })
  return new StageFailure({ error, retryAfterMs: 0 })
}
