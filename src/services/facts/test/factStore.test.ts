import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import type { Fact } from '../common/fact.ts'
import { FactStore } from '../common/factStore.ts'
import { viewUpstream } from '../common/upstreamView.ts'
import { create } from '@bufbuild/protobuf'
import { UpstreamSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

const SEED = 20261205
const test = suite('factStore')

function createLeaving (incarnation: number, counter = 1): Fact {
  return { subject: 'leaving/u', incarnation, counter, value: { kind: 'leaving', upstream: 'u', signal: 'test' }, ageMs: 0 }
}

function createLoad (incarnation: number, counter: number): Fact {
  const value = { kind: 'load' as const, upstream: 'u', running: counter, queued: 0, capacity: 1, models: [], fencing: 0, prefixes: [] }
  return { subject: 'load/u', incarnation, counter, value, ageMs: 0 }
}

test('stores that merge the same facts in any order, repeated or in parts, converge', () => {
  const fact = fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 4 })).map(([isLoad, incarnation, counter]) => isLoad ? createLoad(incarnation, counter) : createLeaving(incarnation))
  fc.assert(fc.property(fc.array(fact, { maxLength: 20 }), fc.array(fc.nat({ max: 19 }), { maxLength: 30 }), (facts, order) => {
    const a = new FactStore(new VirtualClock())
    const b = new FactStore(new VirtualClock())
    for (const item of facts) a.merge(item)
    for (const index of order) for (const item of facts.slice(index, index + 1)) b.merge(item)
    for (const item of [...facts].reverse()) b.merge(item)
    for (const subject of ['load/u', 'leaving/u']) {
      assert.equal([a.get(subject)?.incarnation, a.get(subject)?.counter], [b.get(subject)?.incarnation, b.get(subject)?.counter])
    }
  }), { seed: SEED, numRuns: 2000 })
})

test('cleared facts are sent before the ended facts that they clear, since the receiver may evaluate its facts in between', () => {
  const store = new FactStore(new VirtualClock())
  const runs = [{ digest: 'g', bodyBytes: 1, sentBeforeMs: 1 }]
  for (const upstream of ['u', 'v']) store.merge({ subject: `ended/${upstream}/n`, incarnation: 1, counter: 1, value: { kind: 'ended', upstream, runs }, ageMs: 0 })
  store.merge({ subject: 'cleared/g', incarnation: 1, counter: 1, value: { kind: 'cleared', digest: 'g' }, ageMs: 0 })
  store.merge(createLeaving(1))
  assert.equal(store.listSince(0, '').map(fact => fact.subject), ['cleared/g', 'ended/u/n', 'ended/v/n', 'leaving/u'])
})

test('two partitioned stores converge if each sends the facts that are new since its last exchange', () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constant('write' as const), store: fc.nat({ max: 1 }), counter: fc.nat({ max: 50 }), subject: fc.nat({ max: 3 }) }),
    fc.record({ kind: fc.constant('exchange' as const), store: fc.nat({ max: 1 }), counter: fc.nat(), subject: fc.nat() })
  )
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    const stores = [new FactStore(new VirtualClock()), new FactStore(new VirtualClock())] as const
    const sent = [0, 0]
    const exchange = (from: number) => {
      const source = stores[from as 0 | 1]
      const target = stores[1 - from as 0 | 1]
      for (const fact of source.listSince(sent[from] ?? 0, `store-${1 - from}`)) target.merge(fact, `store-${from}`)
      sent[from] = source.sequence
    }
    for (const item of steps) {
      if (item.kind === 'write') stores[item.store as 0 | 1].merge({ ...createLoad(1, item.counter), subject: `load/${item.subject}` })
      else exchange(item.store)
    }
    exchange(0)
    exchange(1)
    const describe = (store: FactStore) => store.list().map(fact => `${fact.subject}=${fact.counter}`).sort()
    assert.equal(describe(stores[0]), describe(stores[1]))
  }), { seed: SEED, numRuns: 2000 })
})

test('a leaving fact applies to its incarnation whatever facts follow, and not to the next incarnation', () => {
  const store = new FactStore(new VirtualClock())
  const upstream = create(UpstreamSchema, { name: 'u' })
  store.merge(createLoad(5, 1))
  assert.not(viewUpstream(upstream, store).isLeaving)
  store.merge(createLeaving(5))
  store.merge(createLoad(5, 2))
  store.merge(createLeaving(4))
  assert.ok(viewUpstream(upstream, store).isLeaving)
  store.merge(createLoad(6, 1))
  assert.not(viewUpstream(upstream, store).isLeaving)
})

test('a gate without recent facts is removed, and an old fact does not add it again', () => {
  const clock = new VirtualClock()
  const store = new FactStore(clock)
  const value = { kind: 'gate' as const, address: 'g', hall: 'h', inFlight: 0, recentRequests: 0, draining: false, ready: true, configuration: { epoch: 1, version: 1 } }
  const fact: Fact = { subject: 'gate/g', incarnation: 1, counter: 1, value, ageMs: 0 }
  store.merge(fact)
  clock.advance(600_001)
  store.removeExpired()
  assert.is(store.get('gate/g'), undefined)
  assert.not(store.merge({ ...fact, ageMs: 600_001 }))
  assert.ok(store.merge({ ...fact, ageMs: 1000 }))
})

test('the age of a fact includes the time it was stored before it is sent on', () => {
  const clock = new VirtualClock()
  const store = new FactStore(clock)
  store.merge({ ...createLoad(1, 1), ageMs: 70 })
  clock.advance(30)
  assert.is(store.listSince(0, '')[0]?.ageMs, 100)
})

test('the facts of one kind are the same list until one of them changes', () => {
  const store = new FactStore(new VirtualClock())
  store.merge(createLeaving(1))
  const before = store.listByKind('leaving')
  store.merge(createLoad(1, 1))
  assert.is(store.listByKind('leaving'), before)
  store.merge(createLeaving(2))
  assert.equal(store.listByKind('leaving').map(fact => fact.incarnation), [2])
  store.drop('leaving/u')
  assert.equal(store.listByKind('leaving'), [])
  assert.is(store.listByKind('load').length, 1)
})

test.run()
