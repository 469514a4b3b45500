/**
 * An upstream that is cold bears only so many requests a second, from all nodes together, and collapses above that.
 *
 * When a hall comes back, all of its upstreams are cold and empty, and all nodes prefer the empty ones at the same moment;
 * a prompt that many callers share leads all nodes to the same one. 200 nodes with two requests each sent
 * 85 of them to one cold upstream within a second, where 18 are allowed.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { TrustingTracker } from '../../health/common/healthTracker.ts'
import { RelayPool } from '../common/relayPool.ts'
import { AffinityRouter } from '../common/relayRouter.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

const test = suite('coldUpstreams')

/** Of all nodes together, in one second, at one cold upstream. */
const BOUND = 18
const COLD_COUNT = 30
const COLD_MS = 3000
const PROMPT = { model: 'm', parts: [{ id: 'popular', tokens: 2000 }, { id: 'own', tokens: 100 }], inputTokens: 2100, maxOutputTokens: 10 }

function createRegistry (): UpstreamRegistry {
  const registry = new UpstreamRegistry()
  for (let index = 0; index <= COLD_COUNT; index++) {
    const entry = { id: `u${index}`, role: 'model', address: 'h:1', hall: 'x', slots: 64, isLeaving: false, coldUntil: index === 0 ? 0 : COLD_MS } as UpstreamEntry
    registry.update(entry, 'test')
  }
  return registry
}

test('nodes that choose for themselves keep the bound together, and serve every request', () => {
  const clock = new VirtualClock()
  const counts = new Map<string, number>()
  let refused = 0
  for (let node = 0; node < 200; node++) {
    const pool = new RelayPool({ clock, registry: createRegistry(), router: new AffinityRouter({ random: new SeededRandom(node) }), createHealth: () => new TrustingTracker(), countNodes: () => 200, hasEnded: () => false })
    for (let count = 0; count < 2; count++) {
      const upstream = pool.choose({ role: 'model', prompt: PROMPT, hall: 'x', tried: new Set() })
      if (upstream === undefined) refused++
      else counts.set(upstream.id, (counts.get(upstream.id) ?? 0) + 1)
    }
  }
  assert.is(refused, 0)
  for (const [id, count] of counts) if (id !== 'u0') assert.ok(count <= BOUND, `${count} at ${id}`)
})

test.run()
