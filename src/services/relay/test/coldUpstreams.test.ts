/**
 * An upstream that is cold bears only so many requests a second, from all nodes together, and collapses above that.
 *
 * When a hall comes back, all of its upstreams are cold and empty, and all nodes prefer the empty ones at the same moment;
 * a prompt that many callers share leads all nodes to the same one. 200 nodes with two requests each sent
 * all 400 to one cold upstream within a second, where 18 are allowed.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { TargetPlanner } from '../../preparation/common/targetPlanner.ts'
import { TrustingTracker } from '../../health/common/healthTracker.ts'
import { RelayPool } from '../common/relayPool.ts'
import { AffinityRouter } from '../common/relayRouter.ts'
import { ColdAllowance } from '../../upstream/common/coldAllowance.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'

const test = suite('coldUpstreams')

/** Of all nodes together, in one second, at one cold upstream. */
const BOUND = 18
const SEED = 20261203
const COLD_COUNT = 30
const COLD_MS = 3000
const PROMPT = { model: 'm', parts: [{ id: 'popular', tokens: 2000 }, { id: 'own', tokens: 100 }], inputTokens: 2100, maxOutputTokens: 10 }

function createRegistry (): UpstreamRegistry {
  const registry = new UpstreamRegistry()
  for (let index = 0; index <= COLD_COUNT; index++) {
    const entry = { id: `u${index}`, role: 'model', address: 'h:1', hall: 'x', slots: 64, isLeaving: false, coldUntil: index === 0 ? 0 : COLD_MS }
    registry.update(entry, 'test')
  }
  return registry
}

/** What one node makes of the bound; it reaches so many of all nodes. */
function createAllowance (clock: VirtualClock, nodeCount: number, node = 0, liveCount = nodeCount): ColdAllowance {
  const known = Array.from({ length: nodeCount }, (_item, index) => `n${index}`)
  return new ColdAllowance({ clock, own: `n${node}`, getBound: () => BOUND, listKnown: () => known, countLive: () => liveCount })
}

test('nodes that choose for themselves keep the bound together, and serve every request', () => {
  const clock = new VirtualClock()
  const counts = new Map<string, number>()
  let refused = 0
  for (let node = 0; node < 200; node++) {
    const pool = new RelayPool({ clock, registry: createRegistry(), router: new AffinityRouter({ random: new SeededRandom(node) }), createHealth: () => new TrustingTracker(), countNodes: () => 200, hasEnded: () => false, cold: createAllowance(clock, 200, node) })
    for (let count = 0; count < 2; count++) {
      const upstream = pool.choose({ role: 'model', prompt: PROMPT, hall: 'x', tried: new Set() })
      if (upstream === undefined) refused++
      else counts.set(upstream.id, (counts.get(upstream.id) ?? 0) + 1)
    }
  }
  assert.is(refused, 0)
  for (const [id, count] of counts) if (id !== 'u0') assert.ok(count <= BOUND, `${count} at ${id}`)
})

/** As many as a plan grants one upstream at one moment. */
function countGrants (cold: ColdAllowance, registry: UpstreamRegistry, id: string): number {
  const planner = new TargetPlanner()
  const entry = registry.get(id)
  if (entry === undefined) return 0
  const candidates = [{ id, hall: entry.hall, msPerMovedToken: Infinity, maxPerS: cold.computePlanned(entry) }]
  const shape = { role: 'model', shared: [], inputTokens: 1000 }
  for (let count = 0; count <= BOUND; count++) {
    if (planner.choose({ shape, candidates, bytesByHall: new Map(), waitByHall: new Map() }, 0) === undefined) return count
    planner.assign({ jobId: `j${count}`, shape, targetId: id, readTokens: 1000 }, 0)
  }
  return Infinity
}

test('parts of a fleet that cannot reach each other keep the bound together, also while two planners overlap in each', () => {
  const parts = fc.array(fc.integer({ min: 1, max: 120 }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(parts, fc.integer({ min: 1, max: COLD_COUNT }), (sizes, index) => {
    const clock = new VirtualClock()
    const registry = createRegistry()
    const entry = registry.get(`u${index}`)
    const nodeCount = sizes.reduce((sum, size) => sum + size, 0)
    const planned = sizes.reduce((sum, size) => sum + 2 * countGrants(createAllowance(clock, nodeCount, 0, size), registry, `u${index}`), 0)
    let direct = 0
    assert.ok(entry !== undefined)
    for (let node = 0; node < nodeCount; node++) direct += createAllowance(clock, nodeCount, node).computeDirect(entry)
    assert.ok(planned + direct <= BOUND, `${planned} planned, ${direct} direct`)
  }), { seed: SEED, numRuns: 40 })
})

test('a cold upstream is asked for something, and is no longer bounded once it is warm', () => {
  const clock = new VirtualClock()
  const registry = createRegistry()
  assert.ok(countGrants(createAllowance(clock, 89), registry, 'u1') >= 2)
  assert.ok(countGrants(createAllowance(clock, 89), registry, 'u0') > BOUND)
  clock.advance(COLD_MS)
  assert.ok(countGrants(createAllowance(clock, 89), registry, 'u1') > BOUND)
})

test('a plan grants a cold upstream something again when the last grants have arrived', () => {
  const planner = new TargetPlanner()
  const shape = { role: 'model', shared: [], inputTokens: 1000 }
  const question = { shape, candidates: [{ id: 'u', hall: 'x', msPerMovedToken: Infinity, maxPerS: 1 }], bytesByHall: new Map(), waitByHall: new Map() }
  planner.assign({ jobId: 'j', shape, targetId: 'u', readTokens: 1000 }, 0)
  assert.is(planner.choose(question, 1000), undefined)
  assert.is(planner.choose(question, 1500)?.id, 'u')
})

test.run()
