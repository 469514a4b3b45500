/**
 * Test doubles for the pipeline: an upstream adapter with scripted outcomes, and a harness with the components of a gate around it.
 */
import { create } from '@bufbuild/protobuf'
import { Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { PipelineSchema, UpstreamKind, UpstreamSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Pipeline, Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { CommittedWork } from '../../admission/common/committedWork.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { viewUpstream } from '../../facts/common/upstreamView.ts'
import { EjectingTracker } from '../../health/common/healthTracker.ts'
import { DecisionLog } from '../../inspect/common/decisionLog.ts'
import { AdaptiveLimiter } from '../../limits/common/concurrencyLimiter.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import { RetryBudget } from '../../retry/common/retryPolicy.ts'
import { EstimatedFinishRouter } from '../../routing/common/router.ts'
import { FairQueue } from '../../scheduling/common/stageQueue.ts'
import { UpstreamScheduler } from '../../scheduling/common/upstreamScheduler.ts'
import { RequestRun } from '../../session/common/requestRun.ts'
import { CheckpointSigner } from '../../session/node/checkpointSigner.ts'
import { UpstreamAdapter } from '../../upstream/common/upstreamAdapter.ts'
import type { UpstreamCall, UpstreamOutcome, UpstreamReport } from '../../upstream/common/upstreamAdapter.ts'
import type { RequestPlan } from '../common/requestPlan.ts'
import { RequestRunner } from '../node/requestRunner.ts'
import { StageRunner } from '../node/stageRunner.ts'

/**
 * The scripted behaviour of a call. `neverOpens`, `busy`, `leaving` and `unknownAttempt` run nothing. `foreign` is an answer
 * with the id of another attempt. `breakAfter2` interrupts the stream of an engine after 2 tokens.
 */
export type ScriptedCall =
  | 'answer' | 'neverOpens' | 'busy' | 'leaving' | 'failed' | 'lost' | 'foreign' | 'hang' | 'unknownAttempt' | 'breakAfter2'

function createError (name: ResultName, message: string = name): PepperwoodError {
  return new PepperwoodError({ name, message })
}

/** The tokens of the fake engine. Every upstream generates the same ones. */
const TOKENS: readonly string[] = ['a', 'b', 'c', 'd']

class FakeAdapter extends UpstreamAdapter {
  readonly calls: UpstreamCall[] = []
  /** Ids of the attempts that the upstream ran, as `request/stage index/attempt`. */
  readonly ran: string[] = []
  readonly cancelled: string[] = []
  script: (call: UpstreamCall) => ScriptedCall = () => 'answer'

  async call (call: UpstreamCall): Promise<UpstreamOutcome> {
    this.calls.push(call)
    const scripted = this.script(call)
    if (scripted === 'neverOpens') return createNotRun('upstreamUnreachable', false)
    if (!call.onWillSend()) return createNotRun('upstreamUnreachable', false)
    if (scripted === 'busy') return createNotRun('upstreamRefused', false)
    if (scripted === 'leaving') return createNotRun('upstreamRefused', true)
    if (scripted === 'unknownAttempt') return createNotRun('upstreamRefused', false)
    if (!call.isResume) this.ran.push(call.attemptId)
    if (scripted === 'failed') return { kind: 'failed', error: createError('upstreamFailed'), busyMs: 1 }
    if (scripted === 'lost') return { kind: 'lost', error: createError('upstreamConnectionLost') }
    if (scripted === 'foreign') return { kind: 'lost', error: createError('upstreamAnswerForeign') }
    if (scripted === 'hang') return await new Promise(() => {})
    if (call.upstream.kind === UpstreamKind.ENGINE) return this._generate(call, scripted === 'breakAfter2')
    const text = `${call.role}(${call.previous})`
    call.onDidReceiveText(text, 0)
    return { kind: 'answered', text, tokenCount: 1, busyMs: 1, cachedTokens: 0 }
  }

  async cancel (_upstream: Upstream, attemptId: string): Promise<void> {
    this.cancelled.push(attemptId)
  }

  async readReport (): Promise<Either<PepperwoodError, UpstreamReport>> {
    throw new Error('not used')
  }

  async sendOrder (): Promise<Either<PepperwoodError, void>> {
    return Right(undefined)
  }

  private _generate (call: UpstreamCall, isInterrupted: boolean): UpstreamOutcome {
    const until = isInterrupted ? Math.min(TOKENS.length, call.offset + 2) : TOKENS.length
    for (let index = call.offset; index < until; index++) call.onDidReceiveText(TOKENS[index] ?? '', index)
    if (isInterrupted) return { kind: 'lost', error: createError('upstreamConnectionLost') }
    return { kind: 'answered', text: '', tokenCount: TOKENS.length, busyMs: 2, cachedTokens: 0 }
  }
}

function createNotRun (name: ResultName, isLeaving: boolean): UpstreamOutcome {
  return { kind: 'notRun', error: createError(name), isLeaving, incarnation: 1 }
}

export interface FakeStage {
  readonly role: string
  readonly unrepeatable?: boolean
}

/** Creates a request runner with real components except for the adapter. Each role has two upstreams; those of `generate` are engines. */
export function createHarness (stages: readonly FakeStage[], options: { readonly retryShare?: number } = {}) {
  const clock = new VirtualClock()
  const adapter = new FakeAdapter()
  const facts = new FactStore(clock)
  const upstreams = stages.flatMap(stage => [0, 1].map(index => create(UpstreamSchema, {
    name: `${stage.role}-${index}`,
    role: stage.role,
    kind: stage.role === 'generate' ? UpstreamKind.ENGINE : UpstreamKind.SERVICE,
    hall: 'h',
    mayCallTwice: true,
    concurrency: 2
  })))
  const scheduler = new UpstreamScheduler({
    clock,
    random: new SeededRandom(2),
    hall: 'h',
    directory: {
      listByRole: role => upstreams.filter(upstream => upstream.role === role),
      getView: upstream => viewUpstream(upstream, facts),
      countLiveGates: () => 1
    },
    router: new EstimatedFinishRouter({ random: new SeededRandom(1) }),
    createQueue: () => new FairQueue(),
    createLimiter: () => new AdaptiveLimiter(),
    createHealth: () => new EjectingTracker(),
    dropsInfeasible: true
  })
  const decisions = new DecisionLog(clock, 200)
  const leaving: string[] = []
  const pause = { canSend: true, waits: 0 }
  const stageRunner = new StageRunner({
    clock,
    adapter,
    scheduler,
    retries: new RetryBudget({ retryRatio: options.retryShare ?? 0.1 }),
    decisions,
    canSend: () => pause.canSend,
    waitUntilCanSend: async () => {
      if (pause.canSend) return
      pause.waits++
      pause.canSend = true
    },
    onDidReportLeaving: upstream => { leaving.push(upstream) },
    onDidEndAttempt: () => {}
  })
  const committedWork = new CommittedWork(clock)
  const runner = new RequestRunner({ clock, stageRunner, committedWork, checkpointSigner: new CheckpointSigner({ key: 'a key for tests only' }), decisions })
  const pipeline: Pipeline = create(PipelineSchema, {
    name: 'p',
    deadlineMs: 1000,
    stages: stages.map(stage => ({ name: stage.role, role: stage.role, unrepeatable: stage.unrepeatable ?? false }))
  })
  return { clock, adapter, scheduler, decisions, leaving, pause, committedWork, runner, pipeline }
}

export type Harness = ReturnType<typeof createHarness>

let lastRequestNumber = 0

/** Starts a request and returns its run, from which the outcome can be read. */
export function startRequest (harness: Harness, isUnrepeatable: boolean, deadlineMs = 1000): { readonly run: RequestRun, readonly done: Promise<void> } {
  const requestId = `s/${++lastRequestNumber}`
  const run = new RequestRun({ requestId, customer: 'c', contentDigest: 'd', isUnrepeatable, startedAt: harness.clock.now() })
  const plan: RequestPlan = {
    requestId,
    customer: 'c',
    customerWeight: 1,
    pipeline: harness.pipeline,
    input: 'in',
    contentDigest: 'd',
    prefixKey: 'k',
    isUnrepeatable,
    deadlineAt: harness.clock.now() + deadlineMs,
    stagesDone: 0,
    lastStageResult: ''
  }
  return { run, done: harness.runner.run(plan, run) }
}

const EVENT_LOOP_TURNS = 12

/** Runs all pending tasks that do not wait for the virtual clock. */
export async function runPendingTasks (): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await new Promise(resolve => { setImmediate(resolve) })
}
