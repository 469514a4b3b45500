// Guards against overload of cold upstreams, which fail above a few requests per second: 200 nodes that chose
// independently sent 400 requests to one of them.
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { TargetPlanner } from '../../preparation/common/targetPlanner.ts'
import { ColdStartLimits } from '../../quota/common/rateLimitSource.ts'
import { QuotaOwner } from '../../quota/common/quotaOwner.ts'
import { AlwaysHealthyTracker } from '../../health/common/healthTracker.ts'
import { RelayPool } from '../common/relayPool.ts'
import { AffinityRouter } from '../common/relayRouter.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'

const test = suite('coldUpstreams')

/** Maximum number of requests from all nodes to one cold upstream within a second. */
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

/** Requests that are sent within this time may arrive within one second. */
const WINDOW_MS = 1400
const STEP_MS = 10

/** Limits as a quota owner sees them that can reach `liveCount` of `nodeCount` nodes. */
function createLimits (clock: VirtualClock, nodeCount: number, liveCount = nodeCount): ColdStartLimits {
  return new ColdStartLimits({ clock, getMaxRequestsPerS: () => BOUND, countKnownNodes: () => nodeCount, countLiveNodes: () => liveCount })
}

function createOwner (clock: VirtualClock, limits: ColdStartLimits): QuotaOwner {
  return new QuotaOwner({ clock, limits, isOwner: () => true, takeoverDelayMs: 0 })
}

test('nodes that choose upstreams independently keep the bound in total, and serve every request', () => {
  const clock = new VirtualClock()
  const owner = createOwner(clock, createLimits(clock, 200))
  const counts = new Map<string, number>()
  let refused = 0
  for (let node = 0; node < 200; node++) {
    const pool = new RelayPool({ clock, registry: createRegistry(), router: new AffinityRouter({ random: new SeededRandom(node) }), createHealth: () => new AlwaysHealthyTracker(), countNodes: () => 200, hasTerminated: () => false })
    for (let count = 0; count < 2; count++) {
      const excluded = new Set<string>()
      let upstream = pool.choose({ role: 'model', prompt: PROMPT, hall: 'x', tried: new Set(), excluded })
      while (upstream !== undefined && !owner.acquire(upstream).isGranted) {
        excluded.add(upstream.id)
        upstream = pool.choose({ role: 'model', prompt: PROMPT, hall: 'x', tried: new Set(), excluded })
      }
      if (upstream === undefined) refused++
      else counts.set(upstream.id, (counts.get(upstream.id) ?? 0) + 1)
    }
  }
  assert.is(refused, 0)
  for (const [id, count] of counts) if (id !== 'u0') assert.ok(count <= BOUND, `${count} at ${id}`)
})

/** Returns the maximum number of grants by one owner within any window. */
function countGrants (sizes: { readonly nodeCount: number, readonly liveCount?: number }, id: string): number {
  const clock = new VirtualClock()
  const entry = createRegistry().get(id)
  if (entry === undefined) return Infinity
  const owner = createOwner(clock, createLimits(clock, sizes.nodeCount, sizes.liveCount))
  const grantedAt: number[] = []
  for (let at = 0; at < 2 * WINDOW_MS; at += STEP_MS) {
    for (let tries = 0; tries <= BOUND; tries++) if (owner.acquire(entry).isGranted) grantedAt.push(at)
    clock.advance(STEP_MS)
  }
  return Math.max(0, ...grantedAt.map((from, index) => grantedAt.slice(index).filter(at => at - from < WINDOW_MS).length))
}

test('network partitions keep the bound in total, also while each has two owners for a while', () => {
  const parts = fc.array(fc.integer({ min: 1, max: 120 }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(parts, fc.integer({ min: 1, max: COLD_COUNT }), (sizes, index) => {
    const nodeCount = sizes.reduce((sum, size) => sum + size, 0)
    const granted = sizes.reduce((sum, liveCount) => sum + 2 * countGrants({ nodeCount, liveCount }, `u${index}`), 0)
    assert.ok(granted <= BOUND, `${granted} granted`)
  }), { seed: SEED, numRuns: 40 })
})

test('a cold upstream gets some requests, and is no longer limited once it is warm', () => {
  const clock = new VirtualClock()
  const limits = createLimits(clock, 89)
  const [cold, warm] = ['u1', 'u0'].map(id => createRegistry().get(id))
  assert.ok(cold && warm)
  assert.ok(countGrants({ nodeCount: 89 }, 'u1') >= 5)
  assert.is(limits.findLimit(warm), undefined)
  clock.advance(COLD_MS)
  assert.is(limits.findLimit(cold), undefined)
})

test('a planner assigns requests to a limited upstream at its rate', () => {
  const planner = new TargetPlanner()
  const shape = { role: 'model', shared: [], inputTokens: 1000 }
  const question = { shape, candidates: [{ id: 'u', hall: 'x', msPerMovedToken: Infinity, limit: { perS: 0.5, burst: 1 } }], bytesByHall: new Map(), waitByHall: new Map() }
  assert.is(planner.choose(question, 0)?.id, 'u')
  planner.assign({ jobId: 'j', shape, targetId: 'u', prefillTokens: 1000 }, 0)
  assert.is(planner.choose(question, 1900), undefined)
  assert.is(planner.choose(question, 2000)?.id, 'u')
})

test.run()
