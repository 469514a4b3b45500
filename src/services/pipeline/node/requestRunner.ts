/**
 * Runs a request through all stages of its pipeline under one deadline. The run is finished in every case, including an unexpected error.
 */
import { create } from '@bufbuild/protobuf'
import { Cause, Effect, Exit } from 'effect'
import type { IClock } from '../../../base/common/clock.ts'
import { hashSha256 } from '../../../base/node/digest.ts'
import { createEffectClock } from '../../../base/node/effectClock.ts'
import { StageCostSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { StageCost } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { CommittedWork } from '../../admission/common/committedWork.ts'
import type { DecisionLog } from '../../inspect/common/decisionLog.ts'
import { PepperwoodError, toPepperwoodError } from '../../result/common/pepperwoodError.ts'
import { deriveExecutionState } from '../../session/common/attemptLog.ts'
import type { Attempt } from '../../session/common/attemptLog.ts'
import type { RequestRun, RunOutcome } from '../../session/common/requestRun.ts'
import type { CheckpointSigner } from '../../session/node/checkpointSigner.ts'
import { ChunkBuffer } from '../common/chunkBuffer.ts'
import { formatStageKey, isStageUnrepeatable } from '../common/requestPlan.ts'
import type { RequestPlan } from '../common/requestPlan.ts'
import { StageFailure } from './stageFailure.ts'
import type { StageRunner } from './stageRunner.ts'

export interface RequestRunnerOptions {
  readonly clock: IClock
  readonly stageRunner: StageRunner
  readonly committedWork: CommittedWork
  readonly checkpointSigner: CheckpointSigner
  readonly decisions: DecisionLog
  /** Text received within this time after the last chunk is collected into one chunk. */
  readonly chunkIntervalMs?: number
}

export interface IRequestRunner {
  /** Resolves when the run has finished; never rejects. */
  run (plan: RequestPlan, run: RequestRun): Promise<void>
}

export class RequestRunner implements IRequestRunner {
  constructor (private readonly _options: RequestRunnerOptions) {}

  async run (plan: RequestPlan, run: RequestRun): Promise<void> {
    const unfinishedRoles = plan.pipeline.stages.slice(plan.stagesDone).map(stage => stage.role)
    this._addCommittedWork(plan)
    const program = this._runStages(plan, run, unfinishedRoles).pipe(
      Effect.timeoutFail({
        duration: Math.max(0, plan.deadlineAt - this._options.clock.now()),
        onTimeout: () => new StageFailure({ error: new PepperwoodError({ name: 'deadlinePassed', message: 'the deadline has passed' }), retryAfterMs: 0 })
      }),
      Effect.withClock(createEffectClock(this._options.clock))
    )
    const exit = await Effect.runPromiseExit(program, { signal: run.abortController.signal })
    for (const role of unfinishedRoles) this._options.committedWork.remove(role, plan.customer, plan.pipeline.priority)
    this._finishRun(run, exit)
  }

  private _addCommittedWork (plan: RequestPlan): void {
    const { customer, customerWeight: weight, pipeline } = plan
    for (const stage of pipeline.stages.slice(plan.stagesDone)) {
      const expectedMs = this._options.stageRunner.getMeanLatencyMs(formatStageKey(pipeline, stage))
      this._options.committedWork.add({ role: stage.role, customer, weight, priority: pipeline.priority, expectedMs })
    }
  }

  private _runStages (plan: RequestPlan, run: RequestRun, unfinishedRoles: string[]): Effect.Effect<void, StageFailure> {
    return Effect.gen(this, function * () {
      let previous = plan.lastStageResult
      const chunks = new ChunkBuffer(this._options.clock, this._options.chunkIntervalMs ?? 0, text => run.addChunk(text))
      const stages = plan.pipeline.stages
      for (let stageIndex = plan.stagesDone; stageIndex < stages.length; stageIndex++) {
        const stage = stages[stageIndex]
        if (stage === undefined) return
        const isLast = stageIndex === stages.length - 1
        previous = yield * this._options.stageRunner.run({
          plan,
          run,
          stage,
          stageIndex,
          previous,
          onDidReceiveText: text => { if (isLast) chunks.add(text) }
        })
        if (isLast) chunks.flush()
        unfinishedRoles.shift()
        this._options.committedWork.remove(stage.role, plan.customer, plan.pipeline.priority)
        if (!isLast) this._publishCheckpoint(plan, run, stageIndex + 1, previous)
      }
    })
  }

  /** Only requests without unrepeatable stages get a checkpoint: the next stage may already have been sent when a caller resumes from it. */
  private _publishCheckpoint (plan: RequestPlan, run: RequestRun, stagesDone: number, result: string): void {
    const stages = plan.pipeline.stages
    if (stages.some(stage => isStageUnrepeatable(plan, stage))) return
    const signedBytes = this._options.checkpointSigner.sign({
      customer: plan.customer,
      pipeline: plan.pipeline.name,
      stages: stages.map(stage => stage.name),
      contentDigest: plan.contentDigest,
      stagesDone,
      result
    })
    if (signedBytes !== undefined) run.setCheckpoint({ signedBytes, stagesDone })
  }

  private _finishRun (run: RequestRun, exit: Exit.Exit<void, StageFailure>): void {
    const costs = sumCosts(run.attemptLog.attempts)
    const outcome: RunOutcome = Exit.isSuccess(exit)
      ? { kind: 'whole', digest: hashSha256(run.chunks.join('')), costs }
      : { kind: 'refused', ...convertFailure(exit.cause), execution: deriveExecutionState(run.attemptLog.attempts), gates: [], costs }
    run.finish(outcome)
    const choice = outcome.kind === 'whole' ? 'whole' : outcome.error.resultName
    const reason = outcome.kind === 'whole' ? `${run.chunks.length} chunks` : outcome.error.message
    this._options.decisions.record({
      subject: run.requestId,
      kind: 'end',
      choice,
      reason,
      inputs: `elapsedMs=${Math.round(this._options.clock.now() - run.startedAt)}`
    })
  }
}

function convertFailure (cause: Cause.Cause<StageFailure>): { readonly error: PepperwoodError, readonly retryAfterMs: number } {
  const failure = Cause.failureOption(cause)
  if (failure._tag === 'Some') return { error: failure.value.error, retryAfterMs: failure.value.retryAfterMs }
  if (Cause.isInterruptedOnly(cause)) return { error: new PepperwoodError({ name: 'cancelled', message: 'the caller cancelled the request' }), retryAfterMs: 0 }
  return { error: toPepperwoodError(Cause.squash(cause)), retryAfterMs: 0 }
}

/** Returns the cost of each stage, summed over all of its attempts. */
function sumCosts (attempts: readonly Attempt[]): readonly StageCost[] {
  const costs = new Map<string, StageCost>()
  for (const attempt of attempts) {
    const cost = costs.get(attempt.stage) ?? create(StageCostSchema, { stage: attempt.stage })
    cost.upstream = attempt.upstream
    cost.busyMs += attempt.busyMs
    cost.attempts++
    cost.elapsedMs += attempt.endedAt - attempt.startedAt
    costs.set(attempt.stage, cost)
  }
  return [...costs.values()]
}
