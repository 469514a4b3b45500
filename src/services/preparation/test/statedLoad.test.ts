/**
 * Guards against work for an upstream that states to be slow while others are free. The learned slowness covers seconds, so it
 * follows short spells too late: the upstream receives calls in the spell, and is avoided after it.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { drawBetween, SeededRandom } from '../../../base/common/random.ts'
import { StatedLoads } from '../../upstream/common/statedLoads.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import { createJob, createStage, createSuccess, WORK } from './fakes.ts'

const test = suite('statedLoad')

function createStatedPlan () {
  const loads = new StatedLoads()
  const planner = new PreparationPlanner(() => [])
  for (const id of ['a-0', 'a-1', 'a-2']) planner.setUpstream({ id, role: 'a', hall: 'x', work: WORK, getStatedSlowness: now => loads.getSlowness(id, now) })
  const recordSlowness = (id: string, slowness: number, now: number) => loads.record(id, { running: 1, waiting: 0, slots: 1, slowness }, now)
  return { planner, recordSlowness }
}

/** Replays a load and counts the calls to a-0 in 30 s, of which it is slow for 400 ms of every 1600 ms. */
function countCalls (seed: number, hasStatements: boolean) {
  const { planner, recordSlowness } = createStatedPlan()
  const clock = new VirtualClock()
  const random = new SeededRandom(seed)
  const counts = { inSpells: 0, between: 0 }
  const getSlowness = (id: string) => id === 'a-0' && clock.now() % 1600 >= 1200 ? 2.5 : 1
  const start = () => {
    for (const call of planner.startCalls(clock.now())) {
      const slowness = getSlowness(call.upstreamId)
      if (call.upstreamId === 'a-0') counts[slowness > 1 ? 'inSpells' : 'between']++
      clock.schedule(slowness * (WORK.callMs + WORK.pieceMs * call.pieces.length), () => {
        if (hasStatements) recordSlowness(call.upstreamId, getSlowness(call.upstreamId), clock.now())
        planner.completeCall(call.id, createSuccess(call), clock.now())
        start()
      })
    }
    for (const update of planner.dequeueUpdates()) if (update.kind === 'prepared') planner.releaseJob(update.jobId)
    for (const free of planner.dequeueFrees()) planner.completeFree(free, true, clock.now())
  }
  for (let at = 0; at < 30_000; at += drawBetween(random, 40, 70)) {
    clock.schedule(at, () => {
      planner.addJob(createJob(`at ${at}`, [createStage('a', 3)]), clock.now())
      start()
    })
  }
  clock.advance(32_000)
  return counts
}

test('an upstream that states short slow spells gets fewer calls in them, and more between them', () => {
  const [silent, stated] = [false, true].map(hasStatements => [1, 2, 3, 4, 5, 6].map(seed => countCalls(seed, hasStatements)).reduce((a, b) => ({ inSpells: a.inSpells + b.inSpells, between: a.between + b.between })))
  assert.ok(silent !== undefined && stated !== undefined && stated.inSpells < 0.8 * silent.inSpells && stated.between > 1.05 * silent.between, JSON.stringify({ silent, stated }))
})

test('a statement changes order, duration and timeout until it is stale, and a call of the predicted duration teaches nothing', () => {
  const { planner, recordSlowness } = createStatedPlan()
  for (const [id, slowness] of [['a-0', 2.5], ['a-1', 2], ['a-2', 2]] as const) recordSlowness(id, slowness, 0)
  const startOne = (now: number) => {
    planner.addJob(createJob(`at ${now}`, [createStage('a', 1)]), now)
    const calls = planner.startCalls(now)
    for (const call of calls) planner.completeCall(call.id, createSuccess(call), now + call.expectedMs)
    return calls.map(({ upstreamId, expectedMs, timeoutMs }) => ({ upstreamId, expectedMs, timeoutMs }))
  }
  assert.equal(startOne(0), [{ upstreamId: 'a-1', expectedMs: 220, timeoutMs: 1160 }])
  assert.equal(startOne(1001), [{ upstreamId: 'a-0', expectedMs: 110, timeoutMs: 830 }])
  const { upstreams } = planner.describe(1001) as { readonly upstreams: readonly { readonly slowness: number }[] }
  assert.equal(upstreams.map(({ slowness }) => slowness), [1, 1, 1])
})

test.run()
