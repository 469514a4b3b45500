import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { AlwaysHealthyTracker } from '../../health/common/healthTracker.ts'
import { StatedLoads } from '../../upstream/common/statedLoads.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { RelayPool } from '../common/relayPool.ts'
import type { RelayPoolOptions } from '../common/relayPool.ts'
import { AffinityRouter, RoundRobinRouter } from '../common/relayRouter.ts'

const test = suite('relayPool')

function createPool (ended: ReadonlySet<string> = new Set(), options: Partial<RelayPoolOptions> = {}): RelayPool {
  const registry = new UpstreamRegistry()
  for (const id of ['a', 'b', 'c', 'd']) registry.update({ id, role: 'u', address: 'h:1', hall: '', slots: 4, isLeaving: false }, 'test')
  return new RelayPool({ clock: new VirtualClock(), registry, router: new RoundRobinRouter(), createHealth: () => new AlwaysHealthyTracker(), countNodes: () => 1, hasTerminated: id => ended.has(id), ...options })
}

/** Places a suspect at an upstream, where it stays in flight; returns the upstream's id. */
function placeSuspect (pool: RelayPool, key: string, tried: readonly string[] = []): string {
  const upstream = pool.chooseForSuspect({ role: 'u', key, tried: new Set(tried) })
  if (upstream !== undefined) pool.begin(upstream, { prompt: undefined, isSuspect: true })
  return upstream?.id ?? ''
}

test('suspects go to different upstreams as long as there is one without a suspect', () => {
  const pool = createPool()
  assert.equal(['g', 'h', 'i', 'j'].map(key => placeSuspect(pool, key)).sort(), ['a', 'b', 'c', 'd'])
})

test('nodes choose the same upstream for one suspect, and none that was tried or has terminated', () => {
  const first = placeSuspect(createPool(), 'g')
  assert.is(placeSuspect(createPool(), 'g'), first)
  assert.is.not(placeSuspect(createPool(), 'g', [first]), first)
  assert.is.not(placeSuspect(createPool(new Set([first])), 'g'), first)
  assert.is(placeSuspect(createPool(new Set(['a', 'b', 'c', 'd'])), 'g'), '')
})

test('requests avoid an upstream that states to be slow, until the statement is stale', () => {
  const [loads, clock] = [new StatedLoads(), new VirtualClock()]
  const pool = createPool(undefined, { loads, clock, router: new AffinityRouter({ random: new SeededRandom(1) }) })
  for (const [id, slowness] of [['a', 1], ['b', 2], ['c', 2], ['d', 3]] as const) loads.record(id, { running: 0, waiting: 0, slots: 4, slowness }, 0)
  const listChosen = () => new Set(Array.from({ length: 50 }, () => pool.choose({ role: 'u', prompt: undefined, hall: '', tried: new Set() })?.id))
  assert.equal([...listChosen()], ['a'])
  clock.advance(1001)
  assert.is(listChosen().size, 4)
})

test.run()
