import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ExecutionClaim } from '../../session/common/attemptLog.ts'
import { createHarness, settleTurns, startRequest } from './fakes.ts'
import type { FakeStage, Harness, ScriptedCall } from './fakes.ts'

const test = suite('requestRunner')

/** Answers by role, one after the other; what is not scripted is answered. */
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
  /** How far the clock is moved while the request is in progress. */
  readonly advanceMs?: readonly number[]
  /** The whole answer, or the refusal's result and execution. */
  readonly expected: string | readonly [string, ExecutionClaim]
  /** How often each role ran. */
  readonly runs: Readonly<Record<string, number>>
}

const BOOKING: readonly FakeStage[] = [{ role: 'encode' }, { role: 'book', unrepeatable: true }]
const ONE: readonly FakeStage[] = [{ role: 'encode' }]
const ENGINE: readonly FakeStage[] = [{ role: 'encode' }, { role: 'generate' }]

const cases: readonly FaultCase[] = [
  { name: 'no fault', stages: BOOKING, scripts: {}, expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'the connection never opens, once', stages: BOOKING, scripts: { book: ['neverOpens'] }, advanceMs: [50], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'the connection never opens, ever', stages: ONE, scripts: { encode: Array.from({ length: 99 }, () => 'neverOpens' as const) }, advanceMs: Array.from({ length: 60 }, () => 20), expected: ['deadlinePassed', 'notRun'], runs: { encode: 0 } },
  { name: 'the connection never opens, until shortly before the deadline', stages: ONE, scripts: { encode: Array.from({ length: 7 }, () => 'neverOpens' as const) }, advanceMs: Array.from({ length: 60 }, () => 20), expected: 'encode()', runs: { encode: 1 } },
  { name: 'busy for a while', stages: BOOKING, scripts: { book: Array.from({ length: 5 }, () => 'busy' as const) }, unrepeatable: true, advanceMs: [20, 40, 80, 160, 250, 250], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'leaving once', stages: BOOKING, scripts: { book: ['leaving'] }, advanceMs: [50], expected: 'book(encode())', runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage is lost after it was written', stages: BOOKING, scripts: { encode: ['lost'] }, expected: 'book(encode())', runs: { encode: 2, book: 1 } },
  { name: 'an unrepeatable stage is lost after it was written', stages: BOOKING, scripts: { book: ['lost'] }, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'a stage of an unrepeatable request is lost', stages: ONE, scripts: { encode: ['lost'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1 } },
  { name: 'an unrepeatable stage is answered with a foreign id', stages: BOOKING, scripts: { book: ['foreign'] }, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage is answered with a foreign id', stages: ONE, scripts: { encode: ['foreign'] }, expected: 'encode()', runs: { encode: 2 } },
  { name: 'an unrepeatable stage ran and failed', stages: BOOKING, scripts: { book: ['failed'] }, expected: ['stageFailed', 'incomplete'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage ran and failed', stages: ONE, scripts: { encode: ['failed'] }, expected: 'encode()', runs: { encode: 2 } },
  { name: 'an unrepeatable stage hangs', stages: BOOKING, scripts: { book: ['hang'] }, advanceMs: [500, 600], expected: ['deadlinePassed', 'mayHaveRun'], runs: { encode: 1, book: 1 } },
  { name: 'a repeatable stage hangs', stages: ONE, scripts: { encode: ['hang'] }, advanceMs: [400], expected: 'encode()', runs: { encode: 2 } },
  { name: 'a stream breaks and is resumed', stages: ENGINE, scripts: { generate: ['breakAfter2'] }, expected: 'abcd', runs: { encode: 1, generate: 1 } },
  { name: 'a stream of an unrepeatable request breaks and is resumed', stages: ENGINE, scripts: { generate: ['breakAfter2'] }, unrepeatable: true, expected: 'abcd', runs: { encode: 1, generate: 1 } },
  { name: 'a stream breaks and its engine has forgotten it', stages: ENGINE, scripts: { generate: ['breakAfter2', 'unknownAttempt', 'unknownAttempt'] }, expected: 'abcd', runs: { encode: 1, generate: 2 } },
  { name: 'a stream of an unrepeatable request breaks and its engine has forgotten it', stages: ENGINE, scripts: { generate: ['breakAfter2', 'unknownAttempt', 'unknownAttempt'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, generate: 1 } },
  { name: 'a stream breaks and its engine is gone', stages: ENGINE, scripts: { generate: ['breakAfter2', 'neverOpens', 'neverOpens'] }, unrepeatable: true, expected: ['outcomeUnknown', 'mayHaveRun'], runs: { encode: 1, generate: 1 } }
]

for (const item of cases) {
  test(item.name, async () => {
    const harness = createHarness(item.stages)
    setScripts(harness, item.scripts)
    const { run, done } = startRequest(harness, item.unrepeatable ?? false)
    await settleTurns()
    for (const ms of item.advanceMs ?? []) {
      harness.clock.advance(ms)
      await settleTurns()
    }
    await done
    const end = run.end
    if (typeof item.expected === 'string') {
      assert.is(end?.kind, 'whole', end?.kind === 'refused' ? String(end.error) : '')
      assert.is(run.chunks.join(''), item.expected)
    } else {
      assert.equal(end?.kind === 'refused' ? [end.error.resultName, end.execution] : end?.kind, item.expected)
    }
    for (const [role, count] of Object.entries(item.runs)) {
      const stage = item.stages.findIndex(found => found.role === role)
      assert.is(harness.adapter.ran.filter(attempt => attempt.split('/')[2] === String(stage)).length, count, `${role} ran`)
    }
    assert.is(harness.committed.countRole('encode'), 0)
  })
}

test('a request that is cancelled ends at once and its call is stopped upstream', async () => {
  const harness = createHarness(ONE)
  setScripts(harness, { encode: ['hang'] })
  const { run, done } = startRequest(harness, true)
  await settleTurns()
  run.abort.abort()
  await done
  assert.is(run.end?.kind === 'refused' && run.end.error.resultName, 'cancelled')
  assert.equal(harness.adapter.cancelled, [`${run.requestId}/0/1`])
})

test('a request that waits for a slot until its deadline did not run', async () => {
  const harness = createHarness(ONE)
  harness.adapter.script = () => 'hang'
  const started = Array.from({ length: 20 }, (_, index) => startRequest(harness, true, index === 19 ? 500 : 1000))
  await settleTurns()
  harness.clock.advance(600)
  await settleTurns()
  const end = started[19]?.run.end
  assert.equal(end?.kind === 'refused' ? [end.error.resultName, end.execution] : undefined, ['deadlinePassed', 'notRun'])
  assert.not(harness.adapter.ran.some(attempt => attempt.startsWith(`${started[19]?.run.requestId}/`)))
})

test('an answer that comes after the end changes nothing', async () => {
  const harness = createHarness(ONE)
  let answerLate = () => {}
  const original = harness.adapter.call.bind(harness.adapter)
  harness.adapter.call = async call => {
    if (!call.onWillSend()) return await original(call)
    return await new Promise(resolve => {
      answerLate = () => {
        call.onDidReceiveText('late', 0)
        resolve({ kind: 'answered', text: 'late', tokenCount: 1, busyMs: 1, cachedTokens: 0 })
      }
    })
  }
  const { run, done } = startRequest(harness, true)
  await settleTurns()
  harness.clock.advance(1001)
  await settleTurns()
  await done
  const end = run.end
  answerLate()
  await settleTurns()
  assert.is(run.end, end)
  assert.equal(run.chunks, [])
})

test('a process that was paused reads anew before it sends', async () => {
  const harness = createHarness(ONE)
  harness.pause.maySend = false
  const { run, done } = startRequest(harness, true)
  await settleTurns()
  await done
  assert.is(harness.pause.waits, 1)
  assert.is(run.end?.kind, 'whole')
})

test('a process that is paused between the connection and the write does not write', async () => {
  const harness = createHarness(ONE)
  harness.adapter.script = () => {
    if (harness.adapter.calls.length === 1) harness.pause.maySend = false
    return 'answer'
  }
  const { run, done } = startRequest(harness, true)
  await settleTurns()
  harness.clock.advance(50)
  await settleTurns()
  await done
  assert.is(run.end?.kind, 'whole')
  assert.equal([harness.adapter.calls.length, harness.adapter.ran.length], [2, 1])
})

test('retries stop when their budget is spent', async () => {
  const harness = createHarness(ONE, { retryShare: 0 })
  harness.adapter.script = () => 'failed'
  const started = Array.from({ length: 20 }, () => startRequest(harness, false))
  await settleTurns()
  harness.clock.advance(1000)
  await settleTurns()
  await Promise.all(started.map(item => item.done))
  assert.ok(harness.adapter.calls.length <= 30, `${harness.adapter.calls.length} calls`)
})

test('a checkpoint follows each finished stage of repeatable work, and none of unrepeatable work', async () => {
  for (const isUnrepeatable of [false, true]) {
    const harness = createHarness([{ role: 'encode' }, { role: 'rerank' }])
    const { run, done } = startRequest(harness, isUnrepeatable)
    await settleTurns()
    await done
    assert.is(run.checkpoint?.stagesDone, isUnrepeatable ? undefined : 1)
  }
})

test.run()
