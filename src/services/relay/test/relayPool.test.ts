import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { AlwaysHealthyTracker } from '../../health/common/healthTracker.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { RelayPool } from '../common/relayPool.ts'
import { RoundRobinRouter } from '../common/relayRouter.ts'

const test = suite('relayPool')

function createPool (ended: ReadonlySet<string> = new Set()): RelayPool {
  const registry = new UpstreamRegistry()
  for (const id of ['a', 'b', 'c', 'd']) registry.update({ id, role: 'u', address: 'h:1', hall: '', slots: 4, isLeaving: false }, 'test')
  return new RelayPool({ clock: new VirtualClock(), registry, router: new RoundRobinRouter(), createHealth: () => new AlwaysHealthyTracker(), countNodes: () => 1, hasTerminated: id => ended.has(id) })
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

test.run()
