import { create } from '@bufbuild/protobuf'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { UpstreamSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { viewUpstream } from '../../facts/common/upstreamView.ts'
import { EjectingTracker } from '../../health/common/healthTracker.ts'
import { FixedLimiter } from '../../limits/common/concurrencyLimiter.ts'
import { EstimatedFinishRouter } from '../../routing/common/router.ts'
import { markLeaving } from '../../upstream/node/upstreamWatcher.ts'
import { FairQueue, FifoQueue } from '../common/stageQueue.ts'
import type { StageQueue, StageTicket } from '../common/stageQueue.ts'
import { UpstreamScheduler } from '../common/upstreamScheduler.ts'
import type { StageSlot } from '../common/upstreamScheduler.ts'

const test = suite('upstreamScheduler')

function createScheduler (names: readonly string[], concurrency = 1, queue: () => StageQueue = () => new FairQueue()) {
  const clock = new VirtualClock()
  const facts = new FactStore(clock)
  const upstreams = names.map(name => create(UpstreamSchema, { name, role: 'r', hall: 'h', concurrency }))
  const scheduler = new UpstreamScheduler({
    clock,
    random: new SeededRandom(4),
    hall: 'h',
    directory: { listByRole: () => upstreams, getView: upstream => viewUpstream(upstream, facts), countLiveGates: () => 1 },
    router: new EstimatedFinishRouter({ random: new SeededRandom(3) }),
    createQueue: queue,
    createLimiter: () => new FixedLimiter(),
    createHealth: () => new EjectingTracker(),
    dropsInfeasible: true
  })
  const granted: StageSlot[] = []
  const refused: string[] = []
  const ask = (options: Partial<StageTicket> = {}) => {
    const ticket: StageTicket = { requestId: 'q', customer: 'c', customerWeight: 1, priority: 1, deadlineAt: 10_000, role: 'r', stageKey: 'p/r', model: '', prefixKey: 'k', triedUpstreams: new Set(), ...options }
    scheduler.acquire(ticket, { onGranted: slot => granted.push(slot), onRefused: error => refused.push(error.resultName) })
    return ticket
  }
  const listOrder = () => granted.map(slot => slot.ticket.requestId)
  return { clock, facts, scheduler, granted, refused, ask, listOrder }
}

type Scheduler = ReturnType<typeof createScheduler>

/** Releases slots in the order in which they were granted until none is open, and returns the order in which requests were served. */
function serveAll ({ scheduler, granted, listOrder }: Scheduler): readonly string[] {
  for (let index = 0; index < granted.length; index++) scheduler.release(granted[index] as StageSlot, { kind: 'answered' })
  return listOrder()
}

test('no upstream gets more calls than its limit', () => {
  const fixture = createScheduler(['a', 'b'], 2)
  for (let index = 0; index < 6; index++) fixture.ask()
  assert.is(fixture.granted.length, 4)
  assert.is(fixture.scheduler.countWaiting('r'), 2)
})

test('releasing a slot twice frees it only once', () => {
  const fixture = createScheduler(['a'])
  for (let index = 0; index < 4; index++) fixture.ask()
  const [slot] = fixture.granted
  if (slot === undefined) throw new Error('no slot')
  fixture.scheduler.release(slot, { kind: 'answered' })
  fixture.scheduler.release(slot, { kind: 'answered' })
  assert.is(fixture.granted.length, 2)
})

test('higher priority is served first, then the earliest deadline within a customer', () => {
  const fixture = createScheduler(['a'])
  fixture.ask({ requestId: 'first' })
  fixture.ask({ requestId: 'late', deadlineAt: 9000 })
  fixture.ask({ requestId: 'early', deadlineAt: 5000 })
  fixture.ask({ requestId: 'urgent', priority: 2, deadlineAt: 9999 })
  assert.equal(serveAll(fixture), ['first', 'urgent', 'early', 'late'])
})

test('a burst from one customer delays another customer by at most one turn', () => {
  const fixture = createScheduler(['a'])
  for (let index = 0; index < 10; index++) fixture.ask({ requestId: `large${index}`, customer: 'large' })
  fixture.ask({ requestId: 'small', customer: 'small' })
  assert.ok(serveAll(fixture).indexOf('small') <= 2)
  const fifo = createScheduler(['a'], 1, () => new FifoQueue())
  for (let index = 0; index < 10; index++) fifo.ask({ requestId: `large${index}`, customer: 'large' })
  fifo.ask({ requestId: 'small', customer: 'small' })
  assert.is(serveAll(fifo).indexOf('small'), 10)
})

test('a customer with twice the weight is served twice as often', () => {
  const fixture = createScheduler(['a'])
  fixture.ask({ requestId: 'first', customer: 'x' })
  for (let index = 0; index < 30; index++) {
    fixture.ask({ requestId: 'two', customer: 'two', customerWeight: 2 })
    fixture.ask({ requestId: 'one', customer: 'one' })
  }
  const served = serveAll(fixture).slice(1, 31)
  assert.is(served.filter(name => name === 'two').length, 20)
})

test('a queued stage that has passed its deadline is refused without a call', () => {
  const fixture = createScheduler(['a'])
  fixture.ask()
  fixture.ask({ deadlineAt: 100 })
  fixture.clock.advance(100)
  fixture.scheduler.sweep()
  assert.equal(fixture.refused, ['deadlinePassed'])
})

test('a call is not started if even the fastest calls take longer than the time left', () => {
  const fixture = createScheduler(['a'])
  for (let round = 0; round < 5; round++) {
    fixture.ask()
    fixture.clock.advance(100)
    for (const slot of fixture.granted.splice(0)) fixture.scheduler.release(slot, { kind: 'answered' })
  }
  const now = fixture.clock.now()
  fixture.ask({ deadlineAt: now + 90 })
  fixture.ask({ deadlineAt: now + 110 })
  assert.equal([fixture.refused, fixture.granted.length], [['deadlinePassed'], 1])
})

test('a withdrawn ticket is never granted', () => {
  const fixture = createScheduler(['a'])
  fixture.ask({ requestId: 'first' })
  fixture.scheduler.withdraw(fixture.ask({ requestId: 'gone' }))
  assert.equal(serveAll(fixture), ['first'])
})

test('a leaving upstream is not chosen, even if it is the only one', () => {
  const fixture = createScheduler(['a', 'b'], 4)
  markLeaving(fixture.facts, 'a', 0, 'test')
  for (let index = 0; index < 3; index++) fixture.ask()
  assert.ok(fixture.granted.every(slot => slot.view.upstream.name === 'b'))
  markLeaving(fixture.facts, 'b', 0, 'test')
  fixture.ask()
  assert.equal(fixture.refused, ['upstreamNoneLeft'])
})

test('a failing upstream is ejected, then probed with one call', () => {
  const fixture = createScheduler(['a', 'b', 'c'], 8)
  const releaseAll = (name: string) => {
    for (const slot of fixture.granted.splice(0)) fixture.scheduler.release(slot, { kind: slot.view.upstream.name === name ? 'failed' : 'answered' })
  }
  for (let round = 0; round < 10; round++) {
    for (let index = 0; index < 6; index++) fixture.ask()
    releaseAll('a')
  }
  for (let index = 0; index < 16; index++) fixture.ask()
  assert.ok(fixture.granted.every(slot => slot.view.upstream.name !== 'a'), 'ejected')
  releaseAll('')
  fixture.clock.advance(20_000)
  for (let index = 0; index < 24; index++) fixture.ask({ deadlineAt: 90_000 })
  assert.is(fixture.granted.filter(slot => slot.view.upstream.name === 'a').length, 1, 'one probe')
})

test('at most half of the upstreams of a role are ejected', () => {
  const fixture = createScheduler(['a', 'b', 'c', 'd'], 8)
  for (let round = 0; round < 20; round++) {
    for (let index = 0; index < 8; index++) fixture.ask()
    for (const slot of fixture.granted.splice(0)) fixture.scheduler.release(slot, { kind: 'failed' })
  }
  for (let index = 0; index < 16; index++) fixture.ask()
  assert.is(new Set(fixture.granted.map(slot => slot.view.upstream.name)).size, 2)
})

test.run()
