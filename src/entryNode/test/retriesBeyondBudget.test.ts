/**
 * Guards against retries beyond the budget of the fleet while nodes restart or are cut off from each other: a node divided
 * the budget by the nodes that it took for alive, and a restarted process forgot what the earlier one had used. Also while
 * upstreams pause: retries counted from when they were written, though they arrived later.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RetryFleet, UPSTREAMS } from './retryFleet.ts'
import type { FleetEvent, FleetScenario } from './retryFleet.ts'

const test = suite('retriesBeyondBudget')

const NODES = 6
const ALL = 2 ** NODES - 1
const SCENARIO: FleetScenario = { nodeCount: NODES, requestsPerS: 40, budget: { ratio: 0.2, base: 52 }, events: [], seed: 1, failingFromMs: 4000 }

function checkBudget (events: readonly FleetEvent[], scenario: FleetScenario = SCENARIO): void {
  const fleet = new RetryFleet({ ...scenario, events })
  fleet.run()
  assert.ok(fleet.listRetryTimes().length > 0)
  assert.ok(fleet.computeExcess() <= 0, `${fleet.computeExcess().toFixed(1)} retries too many`)
}

test('a fleet in which all processes run makes most of the retries of its budget, and none too many', () => {
  const fleet = new RetryFleet(SCENARIO)
  fleet.run()
  assert.ok(fleet.computeExcess() <= 0)
  assert.ok(fleet.computeExcess() > -0.25 * (52 + 0.2 * 400))
})

test('all nodes are restarted as planned, twice within a window', () => {
  checkBudget([6000, 6500, 12_000, 12_500].map((atMs, index) => ({ kind: 'stop', atMs, nodes: index % 2 === 0 ? ALL >> 3 : ALL >> 3 << 3, forMs: 500 })))
})

test('all nodes are killed twice within a window', () => {
  checkBudget([8000, 12_000].map(atMs => ({ kind: 'kill', atMs, nodes: ALL, forMs: 1000 })))
})

test('nodes that are cut off from all others go on with their callers', () => {
  checkBudget([{ kind: 'cut', atMs: 7000, nodes: 0b1111, forMs: 8000 }])
  checkBudget([{ kind: 'cut', atMs: 1000, nodes: ALL, forMs: 30_000 }])
})

test('a node that restarts three times within a window has its share once', () => {
  checkBudget([5000, 8000, 11_000].map(atMs => ({ kind: 'kill', atMs, nodes: 0b111, forMs: 300 })))
})

test('callers that move between nodes of which none is lost take no earned retries along', () => {
  const scenario = { ...SCENARIO, requestsPerS: 80, budget: { ratio: 0.2, base: 20 }, failingFromMs: 15_900 }
  checkBudget([{ kind: 'move', atMs: 16_000, nodes: ALL >> 1, forMs: 20_000 }], scenario)
  checkBudget(Array.from({ length: 8 }, (_item, index) => ({ kind: 'move', atMs: index * 5000, nodes: ALL ^ 1 << index % NODES, forMs: 5000 })), scenario)
})

test('nodes that are frozen and continue use their shares once', () => {
  checkBudget([0b111, 0b111000, ALL].map((nodes, index) => ({ kind: 'freeze', atMs: 6000 + index * 3000, nodes, forMs: 4000 })))
})

test('what was sent to upstreams that pause arrives within the budget', () => {
  for (const forMs of [2500, 6000, 12_000, 30_000]) checkBudget([{ kind: 'pause', atMs: 4000, nodes: 2 ** UPSTREAMS - 1, forMs }])
  for (const forMs of [6000, 12_000]) checkBudget([{ kind: 'pause', atMs: 5000, nodes: 0b111, forMs }])
  checkBudget([4000, 9000, 14_000].map(atMs => ({ kind: 'pause', atMs, nodes: 2 ** UPSTREAMS - 1, forMs: 2500 })))
})

test('any series of pauses and holds of upstreams, beside cuts, freezes and moves of nodes', () => {
  const upstreamEvent = fc.record({ kind: fc.constantFrom('pause' as const, 'hold' as const), atMs: fc.integer({ min: 0, max: 30_000 }), nodes: fc.integer({ min: 1, max: 2 ** UPSTREAMS - 1 }), forMs: fc.integer({ min: 300, max: 30_000 }) })
  const nodeEvent = fc.record({ kind: fc.constantFrom('cut' as const, 'freeze' as const, 'move' as const), atMs: fc.integer({ min: 0, max: 30_000 }), nodes: fc.integer({ min: 1, max: ALL }), forMs: fc.integer({ min: 300, max: 15_000 }) })
  const events = fc.tuple(fc.array(upstreamEvent, { minLength: 1, maxLength: 5 }), fc.array(nodeEvent, { maxLength: 4 })).map(([first, second]) => [...first, ...second])
  fc.assert(fc.property(events, fc.integer({ min: 2, max: 8 }), fc.integer({ min: 1, max: 1000 }), (drawn, tens, seed) => {
    // All pauses end while callers still send requests.
    const fleet = new RetryFleet({ ...SCENARIO, requestsPerS: tens * 10, events: drawn, seed, runMs: 70_000 })
    fleet.run()
    assert.ok(fleet.computeExcess() <= 0, `${fleet.computeExcess().toFixed(1)} retries too many`)
  }), { seed: 20261204, numRuns: 40 })
})

test('any series of kills, stops, cuts, freezes and moves that overlap', () => {
  const event = fc.record({ kind: fc.constantFrom('kill' as const, 'stop' as const, 'cut' as const, 'freeze' as const, 'move' as const), atMs: fc.integer({ min: 0, max: 30_000 }), nodes: fc.integer({ min: 1, max: ALL }), forMs: fc.integer({ min: 300, max: 15_000 }) })
  const scenario = fc.record({
    nodeCount: fc.integer({ min: 1, max: NODES }),
    requestsPerS: fc.integer({ min: 2, max: 8 }).map(tens => tens * 10),
    base: fc.integer({ min: 20, max: 80 }),
    events: fc.array(event, { maxLength: 8 }),
    seed: fc.integer({ min: 1, max: 1000 }),
    failingFromMs: fc.integer({ min: 0, max: 20_000 })
  })
  fc.assert(fc.property(scenario, ({ base, events, ...rest }) => {
    const fleet = new RetryFleet({ ...rest, budget: { ratio: 0.2, base }, events })
    fleet.run()
    assert.ok(fleet.computeExcess() <= 0, `${fleet.computeExcess().toFixed(1)} retries too many`)
  }), { seed: 20261204, numRuns: 100 })
})

test.run()
