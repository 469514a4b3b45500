import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ReleaseDelay } from '../common/releaseDelay.ts'
import { TargetPlanner } from '../common/targetPlanner.ts'
import type { RequestShape } from '../common/preparationJob.ts'
import type { TargetQuery } from '../common/targetPlanner.ts'

const test = suite('targetPlanner')

const shape = createShape('p')
function createShape (key: string) {
  return { role: 'm', shared: [{ key, tokens: 12_000 }], inputTokens: 15_000 }
}

const candidates = [{ id: 'a', hall: 'h1' }, { id: 'b', hall: 'h2' }, { id: 'c', hall: 'h3' }].map(candidate => ({ ...candidate, msPerMovedToken: Infinity }))

/** Assigns a request to a target that has to process `readTokens` of its input tokens, by default all. */
function assign (planner: TargetPlanner, jobId: string, request: RequestShape, targetId: string, now: number, readTokens = request.inputTokens): void {
  planner.assign({ jobId, shape: request, targetId, prefillTokens: readTokens }, now)
}

function createQuestion (options: Partial<TargetQuery> = {}): TargetQuery {
  return { shape, candidates, bytesByHall: new Map(), waitByHall: new Map(), ...options }
}

test('a prompt is sent to the upstream that has processed its shared prefix', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  planner.recordReport('x', { outcome: 'produced', producedMs: 275 }, 300)
  assert.is(planner.choose(createQuestion(), 400)?.id, 'b')
  assert.ok((planner.choose(createQuestion(), 400)?.costMs ?? 0) < 100)
})

test('a prompt is sent to another upstream if the one with its prefix has too many tokens queued', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  for (let index = 0; index < 4; index++) assign(planner, `y${index}`, createShape(`q${index}`), 'b', 0)
  assert.is.not(planner.choose(createQuestion(), 400)?.id, 'b')
})

test('two coordinators without any records choose the same upstream for a prompt', () => {
  for (const prefix of ['p', 'q', 'r', 's']) {
    const question = createQuestion({ shape: createShape(prefix) })
    assert.is(new TargetPlanner().choose(question, 0)?.id, new TargetPlanner().choose(question, 5000)?.id)
  }
})

test('a request without shared prefix is sent to the hall that holds its large results', () => {
  const planner = new TargetPlanner()
  const small = { ...shape, shared: [], inputTokens: 1000 }
  assert.is(planner.choose(createQuestion({ shape: small, bytesByHall: new Map([['h3', 6e6]]) }), 0)?.id, 'c')
})

test('an upstream that leaves several requests unanswered is excluded until it answers one', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  planner.recordReport('x', { outcome: 'produced', producedMs: 275 }, 275)
  assign(planner, 'silent1', shape, 'b', 300, 3000)
  assign(planner, 'silent2', shape, 'b', 320, 3000)
  assert.is(planner.choose(createQuestion(), 600)?.id, 'b')
  assert.is.not(planner.choose(createQuestion(), 2000)?.id, 'b')
  planner.recordReport('silent1', { outcome: 'produced', producedMs: 1750 }, 2050)
  assert.is(planner.choose(createQuestion(), 2060)?.id, 'b')
})

test('an upstream is not excluded for a single unanswered request, nor while it answers other requests', () => {
  const alone = new TargetPlanner()
  assign(alone, 'x', shape, 'b', 0)
  assert.is(alone.choose(createQuestion(), 5000)?.id, 'b')
  const busy = new TargetPlanner()
  assign(busy, 'x', shape, 'b', 0)
  assign(busy, 'y', shape, 'b', 0, 3000)
  assign(busy, 'z', shape, 'b', 1800, 3000)
  busy.recordReport('z', { outcome: 'produced', producedMs: 100 }, 1900)
  assert.is(busy.choose(createQuestion(), 2000)?.id, 'b')
})

test('a slow upstream is recognized as slow, and a failing one is excluded', () => {
  const planner = new TargetPlanner()
  const unshared = { ...shape, shared: [] }
  for (let index = 0; index < 10; index++) {
    assign(planner, `a${index}`, unshared, 'a', 0)
    planner.recordReport(`a${index}`, { outcome: 'produced', producedMs: 2500 }, 0)
    assign(planner, `b${index}`, unshared, 'b', 0)
    planner.recordReport(`b${index}`, { outcome: 'failed', producedMs: 0 }, 0)
  }
  assert.is(planner.choose(createQuestion({ shape: unshared }), 10)?.id, 'c')
})

test('a request that is assigned again before any report is not counted twice', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'a', 0)
  assign(planner, 'x', shape, 'b', 0)
  planner.recordReport('x', { outcome: 'unused', producedMs: 0 }, 0)
  assert.ok(planner.describe().every(target => (target as { readonly pendingTokens: number }).pendingTokens === 0))
})

test('the release delay of inputs increases after one was missing, and then gradually decreases again', () => {
  const delay = new ReleaseDelay()
  const first = delay.computeDelayMs(0)
  assert.ok(delay.computeDelayMs(10e6) > first)
  delay.recordMissing()
  assert.ok(delay.computeDelayMs(0) >= 2 * first)
  for (let index = 0; index < 1000; index++) delay.recordSuccess()
  assert.is(delay.computeDelayMs(0), first)
})

test('a target that lacks a shared prefix fetches it from the upstream that has it cached', () => {
  const planner = new TargetPlanner()
  const linked = candidates.map(candidate => ({ ...candidate, msPerMovedToken: 0.005 }))
  assign(planner, 'x', shape, 'b', 0)
  planner.recordReport('x', { outcome: 'produced', producedMs: 275 }, 300)
  assert.equal([planner.choose(createQuestion({ candidates: linked }), 400)].map(choice => [choice?.id, choice?.prefixSourceId, choice?.prefillTokens]), [['b', '', 3000]])
  for (let index = 0; index < 4; index++) assign(planner, `y${index}`, createShape(`q${index}`), 'b', 400)
  const choice = planner.choose(createQuestion({ candidates: linked }), 500)
  assert.is.not(choice?.id, 'b')
  assert.equal([choice?.prefixSourceId, choice?.prefillTokens], ['b', 3000])
  assert.is(planner.choose(createQuestion(), 500)?.prefixSourceId, '')
})

test('no prefix is fetched from an upstream that is gone', () => {
  const planner = new TargetPlanner()
  const linked = candidates.map(candidate => ({ ...candidate, msPerMovedToken: 0.005 }))
  assign(planner, 'x', shape, 'b', 0)
  const without = linked.filter(({ id }) => id !== 'b')
  assert.is(planner.choose(createQuestion({ candidates: without }), 100)?.prefixSourceId, '')
})

test('a target that states to be slow is avoided, without being learned as slow', () => {
  const planner = new TargetPlanner()
  const unshared = { ...shape, shared: [] }
  const slow = createQuestion({ shape: unshared, candidates: candidates.map(candidate => ({ ...candidate, statedSlowness: candidate.id === 'a' ? 2.5 : 1 })) })
  assert.is(planner.choose(slow, 0)?.id, 'b')
  planner.assign({ jobId: 'x', shape: unshared, targetId: 'a', prefillTokens: 15_000, statedSlowness: 2.5 }, 0)
  planner.recordReport('x', { outcome: 'produced', producedMs: 2.5 * 275 }, 700)
  assert.is(planner.choose({ ...slow, candidates }, 700)?.costMs, 275)
})

test.run()
