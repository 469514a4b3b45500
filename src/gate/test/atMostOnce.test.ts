/**
 * Random histories of callers, gates and upstreams: submissions, delayed duplicates, gate restarts, pauses, lost
 * answers and cancellations. Guards against an unrepeatable request that runs twice, and against a request that runs
 * before or after it was refused as not run.
 */
import { create } from '@bufbuild/protobuf'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { readRefusal } from '../../client/answerReader.ts'
import type { ClientExecution } from '../../client/clientError.ts'
import { canResubmit } from '../../client/resubmission.ts'
import { ConfigurationSchema, SubmitRequestSchema, UpstreamKind } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { SubmitRequest } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import { AdmitAll } from '../../services/admission/common/admissionPolicy.ts'
import type { AcceptedConfiguration, IConfigurationService } from '../../services/configuration/common/configurationService.ts'
import { createHarness } from '../../services/pipeline/test/fakes.ts'
import type { Harness, ScriptedCall } from '../../services/pipeline/test/fakes.ts'
import type { RequestRun } from '../../services/session/common/requestRun.ts'
import { SessionService } from '../../services/session/common/sessionService.ts'
import { CheckpointSigner } from '../../services/session/node/checkpointSigner.ts'
import { GateRequests } from '../gateRequests.ts'
import { createRefusal, createOutcomeEvent } from '../requestHandlers.ts'

const SEED = 20261206
const HISTORIES = 10_000
const test = suite('atMostOnce')

/** How many requests reached each case; the test proves nothing about cases that are not reached. */
const reachedCounts = { ranOnce: 0, refusedNotRun: 0, resubmitted: 0, homeGone: 0 }

const STAGES = [{ role: 'encode' }, { role: 'book', unrepeatable: true }]

const accepted: AcceptedConfiguration = {
  text: '',
  revision: 1,
  number: { epoch: 1, version: 1 },
  source: 'test',
  acceptedAt: 0,
  configuration: create(ConfigurationSchema, {
    epoch: 1,
    version: 1,
    customers: [{ name: 'c' }],
    upstreams: [{ name: 'u', kind: UpstreamKind.SERVICE, role: 'encode', mayCallTwice: true }],
    pipelines: [{ name: 'p', deadlineMs: 1000, stages: STAGES.map(stage => ({ name: stage.role, ...stage })) }]
  })
}

/** A gate process between two restarts. */
class GateInstance {
  readonly sessions: SessionService
  readonly requests: GateRequests
  readonly runs: RequestRun[] = []
  isDraining = false

  constructor (harness: Harness, readonly address: string, readonly incarnation: string, createId: () => string) {
    this.sessions = new SessionService({ clock: harness.clock, createId, maxRetainedSize: 64 })
    const configuration = { current: accepted, number: accepted.number } as IConfigurationService
    this.requests = new GateRequests({
      clock: harness.clock,
      address,
      incarnation,
      configuration,
      sessions: this.sessions,
      scheduler: harness.scheduler,
      admission: new AdmitAll(),
      committedWork: harness.committedWork,
      checkpointSigner: new CheckpointSigner({ key: 'a key for tests only' }),
      runner: { run: async (plan, run) => { this.runs.push(run); await harness.runner.run(plan, run) } },
      decisions: harness.decisions,
      isReady: () => true,
      isDraining: () => this.isDraining,
      listGates: () => [],
      waitForConfiguration: async () => true,
      onWillProcessRequest: () => {},
      onDidFinishRequest: () => {}
    })
  }

  /** Simulates a process crash: aborts all runs. */
  kill (): void {
    for (const run of this.runs) run.abortController.abort()
  }
}

/** A request as its caller sees it; the marker is the same in all its submissions. */
interface CallerRequest {
  readonly marker: string
  readonly submissions: SubmitRequest[]
  readonly claims: ClientExecution[]
}

const callKinds = fc.constantFrom<ScriptedCall>('answer', 'answer', 'neverOpens', 'busy', 'leaving', 'failed', 'lost', 'foreign', 'hang')
const commands = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('submit' as const), at: fc.nat({ max: 1 }) }),
  fc.record({ kind: fc.constant('copy' as const), at: fc.nat({ max: 20 }) }),
  fc.record({ kind: fc.constant('retry' as const), at: fc.nat({ max: 20 }) }),
  fc.record({ kind: fc.constant('restart' as const), at: fc.nat({ max: 1 }) }),
  fc.record({ kind: fc.constant('drain' as const), at: fc.nat({ max: 1 }) }),
  fc.record({ kind: fc.constant('cancel' as const), at: fc.nat({ max: 20 }) }),
  fc.record({ kind: fc.constant('pause' as const), at: fc.nat({ max: 3 }) }),
  fc.record({ kind: fc.constant('advance' as const), at: fc.nat({ max: 1200 }) })
), { minLength: 1, maxLength: 14 })

type Command = { readonly kind: 'submit' | 'copy' | 'retry' | 'restart' | 'drain' | 'cancel' | 'pause' | 'advance', readonly at: number }

class History {
  private readonly _harness = createHarness(STAGES)
  private readonly _gates: GateInstance[]
  private readonly _requests: CallerRequest[] = []
  private readonly _sessions = new Map<GateInstance, string>()
  private _nextId = 0

  constructor (script: readonly ScriptedCall[]) {
    let next = 0
    this._harness.adapter.script = () => script[next++ % Math.max(1, script.length)] ?? 'answer'
    this._gates = [this._createGate('g0'), this._createGate('g1')]
  }

  async run (steps: readonly Command[]): Promise<void> {
    for (const step of steps) {
      this._apply(step)
      await Promise.resolve()
      if (step.kind !== 'copy') await flushMicrotasks()
    }
    this._harness.clock.advance(5000)
    await flushMicrotasks()
  }

  check (): void {
    for (const request of this._requests) {
      const runs = this._countRuns(request)
      assert.ok(runs <= 1, `${request.marker} ran ${runs} times`)
      if (request.claims.at(-1) === 'notRun') assert.is(runs, 0, `${request.marker} was refused as not run`)
      if (runs === 1) reachedCounts.ranOnce++
      for (const submission of request.submissions) this._checkClaim(submission)
      if (request.submissions.length > 1) reachedCounts.resubmitted++
      if (this._findRun(request.submissions.at(-1)) === undefined) reachedCounts.homeGone++
    }
  }

  /** Checks that nothing ran under a number that was refused as not run, regardless of later resubmissions. */
  private _checkClaim (submission: SubmitRequest): void {
    if (this._readClaim(submission)?.execution !== 'notRun') return
    reachedCounts.refusedNotRun++
    const id = `${submission.session}/${submission.number}/`
    assert.not(this._harness.adapter.ran.some(attempt => attempt.startsWith(id)), `${id} was refused as not run`)
  }

  private _apply (step: Command): void {
    const request = this._requests[step.at % Math.max(1, this._requests.length)]
    const gate = this._gates[step.at % 2]
    if (step.kind === 'advance') this._harness.clock.advance(step.at)
    else if (step.kind === 'pause') this._harness.pause.canSend = false
    else if (step.kind === 'restart' && gate !== undefined) this._replaceGate(gate)
    else if (step.kind === 'drain' && gate !== undefined) gate.isDraining = true
    else if (step.kind === 'submit' && gate !== undefined) this._submitNew(gate)
    else if (request !== undefined) this._applyToRequest(step, request)
  }

  private _applyToRequest (step: Command, request: CallerRequest): void {
    if (step.kind === 'copy') this._deliver(request, request.submissions.at(step.at % request.submissions.length))
    else if (step.kind === 'retry') this._retry(request)
    else if (step.kind === 'cancel') this._findRun(request.submissions.at(-1))?.abortController.abort()
  }

  private _submitNew (gate: GateInstance): void {
    const request: CallerRequest = { marker: `m${this._requests.length}`, submissions: [], claims: [] }
    this._requests.push(request)
    this._submitAt(request, gate)
  }

  private _submitAt (request: CallerRequest, gate: GateInstance): void {
    let session = this._sessions.get(gate)
    session ??= gate.sessions.open('c').map(opened => opened.id).orDefault('')
    this._sessions.set(gate, session)
    const submission = create(SubmitRequestSchema, {
      session,
      home: gate.address,
      incarnation: gate.incarnation,
      number: ++this._nextId,
      pipeline: 'p',
      input: request.marker,
      unrepeatable: true
    })
    request.submissions.push(submission)
    this._deliver(request, submission)
  }

  /** As the client library does: submits again to the home gate, and to the other gate only if nothing can have run. */
  private _retry (request: CallerRequest): void {
    const submission = request.submissions.at(-1)
    const claim = this._readClaim(submission)
    if (claim === undefined) return this._deliver(request, submission)
    request.claims.push(claim.execution)
    const mayHaveRun = request.claims.some(execution => execution !== 'notRun')
    const other = this._gates.find(gate => gate.address !== submission?.home)
    if (other !== undefined && canResubmit({ error: claim, isUnrepeatable: true, mayHaveRun })) {
      request.claims.length = 0
      this._submitAt(request, other)
    }
  }

  private _deliver (request: CallerRequest, submission: SubmitRequest | undefined): void {
    const gate = this._gates.find(item => item.address === submission?.home)
    if (gate === undefined || submission === undefined) return
    const refused = gate.requests.submit(submission).swap().toMaybe().extractNullable()
    if (refused === null || submission !== request.submissions.at(-1)) return
    // A gate without the session reports `mayHaveRun`; only the caller can determine that it did not run.
    request.claims.push(readRefusal(createRefusal(refused)).execution)
  }

  private _findRun (submission: SubmitRequest | undefined): RequestRun | undefined {
    const gate = this._gates.find(item => item.address === submission?.home && item.incarnation === submission.incarnation)
    if (submission === undefined) return undefined
    return gate?.sessions.findRun(submission.session, submission.number).toMaybe().extract()
  }

  private _readClaim (submission: SubmitRequest | undefined) {
    const run = this._findRun(submission)
    if (run?.outcome === undefined || run.outcome.kind === 'whole') return undefined
    const { event } = createOutcomeEvent(run, run.outcome)
    return event.case === 'refusal' ? readRefusal(event.value) : undefined
  }

  /** Counts runs of the unrepeatable stage over all submissions of the request, including those at crashed gates. */
  private _countRuns (request: CallerRequest): number {
    const ids = new Set(request.submissions.map(item => `${item.session}/${item.number}`))
    return this._harness.adapter.ran.filter(attempt => {
      const [session, number, stage] = attempt.split('/')
      return stage === '1' && ids.has(`${session}/${number}`)
    }).length
  }

  private _replaceGate (gate: GateInstance): void {
    gate.kill()
    this._gates[this._gates.indexOf(gate)] = this._createGate(gate.address)
  }

  private _createGate (address: string): GateInstance {
    const incarnation = `i${++this._nextId}`
    return new GateInstance(this._harness, address, incarnation, () => `${address}-${++this._nextId}`)
  }
}

/** No timers are involved, so a fixed number of microtask turns completes all pending work. */
async function flushMicrotasks (): Promise<void> {
  for (let turn = 0; turn < 120; turn++) await Promise.resolve()
}

test(`an unrepeatable request runs at most once, and never if it was refused as not run (${HISTORIES} histories, seed ${SEED})`, async () => {
  await fc.assert(fc.asyncProperty(commands, fc.array(callKinds, { maxLength: 8 }), async (steps, script) => {
    const history = new History(script)
    await history.run(steps)
    history.check()
  }), { seed: SEED, numRuns: HISTORIES })
})

test('the histories reached every case that matters', () => {
  for (const [name, count] of Object.entries(reachedCounts)) assert.ok(count > 100, `${name}: ${count}`)
})

test.run()
