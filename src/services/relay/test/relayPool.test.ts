import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { TrustingTracker } from '../../health/common/healthTracker.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { RelayPool } from '../common/relayPool.ts'
import { RoundRobinRouter } from '../common/relayRouter.ts'

const test = suite('relayPool')

function createPool (ended: ReadonlySet<string> = new Set()): RelayPool {
  const registry = new UpstreamRegistry()
  for (const id of ['a', 'b', 'c', 'd']) registry.update({ id, role: 'u', address: 'h:1', hall: '', slots: 4, isLeaving: false }, 'test')
  return new RelayPool({ clock: new VirtualClock(), registry, router: new RoundRobinRouter(), createHealth: () => new TrustingTracker(), countNodes: () => 1, hasEnded: id => ended.has(id) })
}

/** Where a suspect goes; it stays there. */
function placeSuspect (pool: RelayPool, key: string, tried: readonly string[] = []): string {
  const upstream = pool.chooseApart({ role: 'u', key, tried: new Set(tried) })
  if (upstream !== undefined) pool.begin(upstream, { prompt: undefined, isSuspect: true })
  return upstream?.id ?? ''
}

test('suspects go to different upstreams for as long as there are any', () => {
  const pool = createPool()
  assert.equal(['g', 'h', 'i', 'j'].map(key => placeSuspect(pool, key)).sort(), ['a', 'b', 'c', 'd'])
})

test('nodes agree on the upstream of one suspect, and it is not one that was tried or has ended', () => {
  const first = placeSuspect(createPool(), 'g')
  assert.is(placeSuspect(createPool(), 'g'), first)
  assert.is.not(placeSuspect(createPool(), 'g', [first]), first)
  assert.is.not(placeSuspect(createPool(new Set([first])), 'g'), first)
  assert.is(placeSuspect(createPool(new Set(['a', 'b', 'c', 'd'])), 'g'), '')
})

test.run()
