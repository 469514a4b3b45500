import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ReleaseDelay } from '../common/releaseDelay.ts'
import { TargetPlanner } from '../common/targetPlanner.ts'
import type { RequestShape } from '../common/preparationJob.ts'
import type { TargetQuestion } from '../common/targetPlanner.ts'

const test = suite('targetPlanner')

const shape = createShape('p')
function createShape (key: string) {
  return { role: 'm', shared: [{ key, tokens: 12_000 }], inputTokens: 15_000 }
}

const candidates = [{ id: 'a', hall: 'h1' }, { id: 'b', hall: 'h2' }, { id: 'c', hall: 'h3' }].map(candidate => ({ ...candidate, msPerMovedToken: Infinity }))

/** Sends a request to a target that has to read all of it, or so much. */
function assign (planner: TargetPlanner, jobId: string, request: RequestShape, targetId: string, now: number, readTokens = request.inputTokens): void {
  planner.assign({ jobId, shape: request, targetId, readTokens }, now)
}

function ask (options: Partial<TargetQuestion> = {}): TargetQuestion {
  return { shape, candidates, bytesByHall: new Map(), waitByHall: new Map(), ...options }
}

test('a prompt goes back to where its shared parts were read', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  planner.settle('x', { outcome: 'produced', producedMs: 275 }, 300)
  assert.is(planner.choose(ask(), 400)?.id, 'b')
  assert.ok((planner.choose(ask(), 400)?.costMs ?? 0) < 100)
})

test('it goes elsewhere when that upstream has more to read than the shared parts', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  for (let index = 0; index < 4; index++) assign(planner, `y${index}`, createShape(`q${index}`), 'b', 0)
  assert.is.not(planner.choose(ask(), 400)?.id, 'b')
})

test('two coordinators that know nothing choose the same upstream for a prompt', () => {
  for (const prefix of ['p', 'q', 'r', 's']) {
    const question = ask({ shape: createShape(prefix) })
    assert.is(new TargetPlanner().choose(question, 0)?.id, new TargetPlanner().choose(question, 5000)?.id)
  }
})

test('large results draw a request that shares nothing into their hall', () => {
  const planner = new TargetPlanner()
  const small = { ...shape, shared: [], inputTokens: 1000 }
  assert.is(planner.choose(ask({ shape: small, bytesByHall: new Map([['h3', 6e6]]) }), 0)?.id, 'c')
})

test('an upstream from which several requests hear nothing is left out until one hears again', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'b', 0)
  planner.settle('x', { outcome: 'produced', producedMs: 275 }, 275)
  assign(planner, 'silent1', shape, 'b', 300, 3000)
  assign(planner, 'silent2', shape, 'b', 320, 3000)
  assert.is(planner.choose(ask(), 600)?.id, 'b')
  assert.is.not(planner.choose(ask(), 2000)?.id, 'b')
  planner.settle('silent1', { outcome: 'produced', producedMs: 1750 }, 2050)
  assert.is(planner.choose(ask(), 2060)?.id, 'b')
})

test('one request that hears nothing says little, and neither does an upstream that answers others', () => {
  const alone = new TargetPlanner()
  assign(alone, 'x', shape, 'b', 0)
  assert.is(alone.choose(ask(), 5000)?.id, 'b')
  const busy = new TargetPlanner()
  assign(busy, 'x', shape, 'b', 0)
  assign(busy, 'y', shape, 'b', 0, 3000)
  assign(busy, 'z', shape, 'b', 1800, 3000)
  busy.settle('z', { outcome: 'produced', producedMs: 100 }, 1900)
  assert.is(busy.choose(ask(), 2000)?.id, 'b')
})

test('a slow upstream is measured as such, and a failing one is left out', () => {
  const planner = new TargetPlanner()
  const unshared = { ...shape, shared: [] }
  for (let index = 0; index < 10; index++) {
    assign(planner, `a${index}`, unshared, 'a', 0)
    planner.settle(`a${index}`, { outcome: 'produced', producedMs: 2500 }, 0)
    assign(planner, `b${index}`, unshared, 'b', 0)
    planner.settle(`b${index}`, { outcome: 'failed', producedMs: 0 }, 0)
  }
  assert.is(planner.choose(ask({ shape: unshared }), 10)?.id, 'c')
})

test('what was assigned and never reported is not counted twice', () => {
  const planner = new TargetPlanner()
  assign(planner, 'x', shape, 'a', 0)
  assign(planner, 'x', shape, 'b', 0)
  planner.settle('x', { outcome: 'unused', producedMs: 0 }, 0)
  assert.ok(planner.describe().every(target => (target as { readonly pendingTokens: number }).pendingTokens === 0))
})

test('inputs are held for longer after one was missing, and by and by for less again', () => {
  const delay = new ReleaseDelay()
  const first = delay.compute(0)
  assert.ok(delay.compute(10e6) > first)
  delay.noteMissing()
  assert.ok(delay.compute(0) >= 2 * first)
  for (let index = 0; index < 1000; index++) delay.noteTaken()
  assert.is(delay.compute(0), first)
})

test('shared parts are taken from the upstream that keeps them where the target would have to read them', () => {
  const planner = new TargetPlanner()
  const linked = candidates.map(candidate => ({ ...candidate, msPerMovedToken: 0.005 }))
  assign(planner, 'x', shape, 'b', 0)
  planner.settle('x', { outcome: 'produced', producedMs: 275 }, 300)
  assert.equal([planner.choose(ask({ candidates: linked }), 400)].map(choice => [choice?.id, choice?.prefixSourceId, choice?.readTokens]), [['b', '', 3000]])
  for (let index = 0; index < 4; index++) assign(planner, `y${index}`, createShape(`q${index}`), 'b', 400)
  const choice = planner.choose(ask({ candidates: linked }), 500)
  assert.is.not(choice?.id, 'b')
  assert.equal([choice?.prefixSourceId, choice?.readTokens], ['b', 3000])
  assert.is(planner.choose(ask(), 500)?.prefixSourceId, '')
})

test('nothing is taken from an upstream that is gone', () => {
  const planner = new TargetPlanner()
  const linked = candidates.map(candidate => ({ ...candidate, msPerMovedToken: 0.005 }))
  assign(planner, 'x', shape, 'b', 0)
  const without = linked.filter(({ id }) => id !== 'b')
  assert.is(planner.choose(ask({ candidates: without }), 100)?.prefixSourceId, '')
})

test.run()
