import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ExecutionState } from '../../session/common/attemptLog.ts'
import { createHarness, runPendingTasks, startRequest } from './fakes.ts'
import type { FakeStage, Harness, ScriptedCall } from './fakes.ts'

const test = suite('requestRunner')

/** Sets the outcomes of the calls of each role in order. Calls without a scripted outcome are answered. */
function setScripts (harness: Harness, scripts: Readonly<Record<string, readonly ScriptedCall[]>>): void {
  const counts = new Map<string, number>()
  harness.adapter.script = call => {
    const count = counts.get(call.role) ?? 0
    counts.set(call.role, count + 1)
    return scripts[call.role]?.[count] ?? 'answer'
  }
}

interface FaultCase {
  readonly name: string
  readonly stages: readonly FakeStage[]
  readonly scripts: Readonly<Record<string, readonly ScriptedCall[]>>
  readonly unrepeatable?: boolean
  /** Steps by which the clock advances while the request is in progress. */
  readonly advanceMs?: readonly number[]
  /** The whole answer, or the result name and the execution of the refusal. */
  readonly expected: string | readonly [string, ExecutionState]
  /** Number of runs of each role. */
  readonly runs: Readonly<Record<string, number>>
}

const BOOKING_STAGES: readonly FakeStage[] = [{ role: 'encode' }, { role: 'book', unrepeatable: true }]
const SINGLE_STAGE: readonly FakeStage[] = [{ role: 'encode' }]
const ENGINE_STAGES: readonly FakeStage[] = [{ role: 'encode' }, { role: 'generate' }]

const cases: readonly FaultCase[] = [
  { name: 'no fault', stages: BOOKING_STAGES, scripts: {}, expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'one connection attempt fails', stages: BOOKING_STAGES, scripts: { book: ['neverOpens'] }, advanceMs: [50], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'all connection attempts fail', stages: SINGLE_STAGE, scripts: { encode: Array.from({ length: 99 }, () => 'neverOpens' as const) }, advanceMs: Array.from({ length: 60 }, () => 20), expected: ['deadlinePassed', 'notRun'], runs: { encode: 0 } },
  { name: 'connection attempts fail until shortly before the deadline', stages: SINGLE_STAGE, scripts: { encode: Array.from({ length: 7 }, () => 'neverOpens' as const) }, advanceMs: Array.from({ length: 60 }, () => 20), expected: 'encode()', runs: { encode: 1 } },
  { name: 'the upstream is busy for several attempts', stages: BOOKING_STAGES, scripts: { book: Array.from({ length: 5 }, () => 'busy' as const) }, unrepeatable: true, advanceMs: [20, 40, 80, 160, 250, 250], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'the upstream is leaving at the first attempt', stages: BOOKING_STAGES, scripts: { book: ['leaving'] }, advanceMs: [50], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'the connection is lost after a repeatable stage was sent', stages: BOOKING_STAGES, scripts: { encode: ['lost'] }, expected: 'book(encode())', runs: { encode: 2, book: 1 } },
  { name: 'the connection is lost after an unrepeatable stage was sent', stages: BOOKING_STAGES, scripts: { book: ['lost'] }, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'the connection is lost after a stage of an unrepeatable request was sent', stages: SINGLE_STAGE, scripts: { encode: ['lost'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1 } },
  { name: 'an unrepeatable stage is answered with the id of another attempt', stages: BOOKING_STAGES, scripts: { book: ['foreign'] }, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage is answered with the id of another attempt', stages: SINGLE_STAGE, scripts: { encode: ['foreign'] }, expected: 'encode()', runs: { encode: 2 } },
  { name: 'an unrepeatable stage ran and failed', stages: BOOKING_STAGES, scripts: { book: ['failed'] }, expected: ['stageFailed', 'incomplete'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage ran and failed', stages: SINGLE_STAGE, scripts: { encode: ['failed'] }, expected: 'encode()', runs: { encode: 2 } },
  { name: 'an unrepeatable stage hangs', stages: BOOKING_STAGES, scripts: { book: ['hang'] }, advanceMs: [500, 600], expected: ['deadlinePassed', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage hangs', stages: SINGLE_STAGE, scripts: { encode: ['hang'] }, advanceMs: [400], expected: 'encode()', runs: { encode: 2 } },
  { name: 'a stream is interrupted and resumed', stages: ENGINE_STAGES, scripts: { generate: ['breakAfter2'] }, expected: 'abcd', runs: { encode: 1, generate: 1 } },
  { name: 'a stream of an unrepeatable request is interrupted and resumed', stages: ENGINE_STAGES, scripts: { generate: ['breakAfter2'] }, unrepeatable: true, expected: 'abcd', runs: { encode: 1, generate: 1 } },
  { name: 'a stream is interrupted and its engine no longer has the attempt', stages: ENGINE_STAGES, scripts: { generate: ['breakAfter2', 'unknownAttempt', 'unknownAttempt'] }, expected: 'abcd', runs: { encode: 1, generate: 2 } },
  { name: 'a stream of an unrepeatable request is interrupted and its engine no longer has the attempt', stages: ENGINE_STAGES, scripts: { generate: ['breakAfter2', 'unknownAttempt', 'unknownAttempt'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, generate: 1 } },
  { name: 'a stream of an unrepeatable request is interrupted and its engine is unreachable', stages: ENGINE_STAGES, scripts: { generate: ['breakAfter2', 'neverOpens', 'neverOpens'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, generate: 1 } }
]

for (const testCase of cases) {
  test(testCase.name, async () => {
    const harness = createHarness(testCase.stages)
    setScripts(harness, testCase.scripts)
    const { run, done } = startRequest(harness, testCase.unrepeatable ?? false)
    await runPendingTasks()
    for (const ms of testCase.advanceMs ?? []) {
      harness.clock.advance(ms)
      await runPendingTasks()
    }
    await done
    const outcome = run.outcome
    if (typeof testCase.expected === 'string') {
      assert.is(outcome?.kind, 'whole', outcome?.kind === 'refused' ? String(outcome.error) : '')
      assert.is(run.chunks.join(''), testCase.expected)
    } else {
      assert.equal(outcome?.kind === 'refused' ? [outcome.error.resultName, outcome.execution] : outcome?.kind, testCase.expected)
    }
    for (const [role, count] of Object.entries(testCase.runs)) {
      const stage = testCase.stages.findIndex(found => found.role === role)
      assert.is(harness.adapter.ran.filter(attempt => attempt.split('/')[2] === String(stage)).length, count, `${role} ran`)
    }
    assert.is(harness.committedWork.countForRole('encode'), 0)
  })
}

test('a cancelled request ends immediately and its call is cancelled at the upstream', async () => {
  const harness = createHarness(SINGLE_STAGE)
  setScripts(harness, { encode: ['hang'] })
  const { run, done } = startRequest(harness, true)
  await runPendingTasks()
  run.abortController.abort()
  await done
  assert.is(run.outcome?.kind === 'refused' && run.outcome.error.resultName, 'cancelled')
  assert.equal(harness.adapter.cancelled, [`${run.requestId}/0/1`])
})

test('a request that waits for a slot until its deadline is refused as not run', async () => {
  const harness = createHarness(SINGLE_STAGE)
  harness.adapter.script = () => 'hang'
  const started = Array.from({ length: 20 }, (_, index) => startRequest(harness, true, index === 19 ? 500 : 1000))
  await runPendingTasks()
  harness.clock.advance(600)
  await runPendingTasks()
  const outcome = started[19]?.run.outcome
  assert.equal(outcome?.kind === 'refused' ? [outcome.error.resultName, outcome.execution] : undefined, ['deadlinePassed', 'notRun'])
  assert.not(harness.adapter.ran.some(attempt => attempt.startsWith(`${started[19]?.run.requestId}/`)))
})

// The wait before a further attempt left too little time for an answer, and the refusal said that the request may have run.
test('a refused request is not sent again if its deadline could interrupt the attempt', async () => {
  const harness = createHarness([{ role: 'work', unrepeatable: true }])
  harness.adapter.script = call => call.attemptId.endsWith('/1') ? 'busy' : 'hang'
  const { run, done } = startRequest(harness, true, 60)
  for (let step = 0; step < 12; step++) {
    await runPendingTasks()
    harness.clock.advance(5)
  }
  await done
  assert.is(run.outcome?.kind === 'refused' ? run.outcome.execution : run.outcome?.kind, 'notRun')
  assert.is(harness.adapter.ran.length, 0)
})

test('an answer that arrives after the run has finished is ignored', async () => {
  const harness = createHarness(SINGLE_STAGE)
  let sendLateAnswer = () => {}
  const original = harness.adapter.call.bind(harness.adapter)
  harness.adapter.call = async call => {
    if (!call.onWillSend()) return await original(call)
    return await new Promise(resolve => {
      sendLateAnswer = () => {
        call.onDidReceiveText('late', 0)
        resolve({ kind: 'answered', text: 'late', tokenCount: 1, busyMs: 1, cachedTokens: 0 })
      }
    })
  }
  const { run, done } = startRequest(harness, true)
  await runPendingTasks()
  harness.clock.advance(1001)
  await runPendingTasks()
  await done
  const outcome = run.outcome
  sendLateAnswer()
  await runPendingTasks()
  assert.is(run.outcome, outcome)
  assert.equal(run.chunks, [])
})

test('a process that was paused refreshes its state before it sends', async () => {
  const harness = createHarness(SINGLE_STAGE)
  harness.pause.canSend = false
  const { run, done } = startRequest(harness, true)
  await runPendingTasks()
  await done
  assert.is(harness.pause.waits, 1)
  assert.is(run.outcome?.kind, 'whole')
})

test('a process that is paused between the connection and the write does not send the call', async () => {
  const harness = createHarness(SINGLE_STAGE)
  harness.adapter.script = () => {
    if (harness.adapter.calls.length === 1) harness.pause.canSend = false
    return 'answer'
  }
  const { run, done } = startRequest(harness, true)
  await runPendingTasks()
  harness.clock.advance(50)
  await runPendingTasks()
  await done
  assert.is(run.outcome?.kind, 'whole')
  assert.equal([harness.adapter.calls.length, harness.adapter.ran.length], [2, 1])
})

test('retries stop when the retry budget is exhausted', async () => {
  const harness = createHarness(SINGLE_STAGE, { retryShare: 0 })
  harness.adapter.script = () => 'failed'
  const started = Array.from({ length: 20 }, () => startRequest(harness, false))
  await runPendingTasks()
  harness.clock.advance(1000)
  await runPendingTasks()
  await Promise.all(started.map(request => request.done))
  assert.ok(harness.adapter.calls.length <= 30, `${harness.adapter.calls.length} calls`)
})

test('a repeatable request gets a checkpoint after each finished stage but the last, an unrepeatable one gets none', async () => {
  for (const isUnrepeatable of [false, true]) {
    const harness = createHarness([{ role: 'encode' }, { role: 'rerank' }])
    const { run, done } = startRequest(harness, isUnrepeatable)
    await runPendingTasks()
    await done
    assert.is(run.checkpoint?.stagesDone, isUnrepeatable ? undefined : 1)
  }
})

test.run()
