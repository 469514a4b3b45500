/**
 * Guards against an overload of a few seconds that makes nearly all jobs of the lowest priority late: with 61 nodes,
 * 674 of 1,567 requests were late and 507 in time. A late job was ordered after those that could be in time, but only
 * until it had waited 3 s longer. After that it was ordered before new jobs and made them late in turn, so that every job
 * waited for the same few seconds, although callers accepted a wait of 20 s.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualTimeScheduler } from '../../../load/lab/virtualTimeScheduler.ts'
import { createSuccess, createJob, createPlanner, createStage } from './fakes.ts'

const test = suite('lateWork')

const GOAL_IN_MS = 2500
const DEADLINE_MS = 20_000
/** A call of four pieces takes 140 ms. */
const FULL_CALL_MS = 140
const STEP_MS = 5
const LOAD_MS = 15_000
const END_MS = 40_000

interface Outcome {
  readonly inTime: number
  readonly late: number
  /** Refused on submission. */
  readonly refused: number
  /** Refused after waiting. */
  readonly refusedLater: number
}

/** Submits jobs of one piece for 15 s, at `factor` times the rate that the single upstream can compute. */
function runOverload (factor: number): Outcome {
  const events = new VirtualTimeScheduler()
  const planner = createPlanner({ upstreams: { a: 1 } })
  const sentAt = new Map<string, number>()
  const counts = { inTime: 0, late: 0, refused: 0, refusedLater: 0 }
  const submit = () => {
    const id = `j${sentAt.size}`
    sentAt.set(id, events.now)
    const job = createJob(id, [createStage('a', 1)], { rank: 2, goalInMs: GOAL_IN_MS, deadlineInMs: DEADLINE_MS })
    if (planner.addJob(job, events.now) !== undefined) counts.refused++
  }
  const step = () => {
    for (const call of planner.startCalls(events.now)) events.schedule(events.now + call.expectedMs, () => planner.completeCall(call.id, createSuccess(call), events.now))
    for (const update of planner.dequeueUpdates()) {
      if (update.kind === 'refused') counts.refusedLater++
      if (update.kind !== 'prepared') continue
      const tookMs = events.now - (sentAt.get(update.jobId) ?? 0)
      if (tookMs <= GOAL_IN_MS) counts.inTime++
      else if (tookMs <= DEADLINE_MS) counts.late++
      planner.releaseJob(update.jobId)
    }
    for (const free of planner.dequeueFrees()) planner.completeFree(free, true, events.now)
  }
  for (let at = 0; at < LOAD_MS; at += FULL_CALL_MS / 4 / factor) events.schedule(at, submit)
  for (let at = 0; at < END_MS; at += STEP_MS) events.schedule(at, step)
  events.advance(END_MS)
  return counts
}

for (const factor of [1.2, 1.5, 2]) {
  test(`at ${factor} times the capacity, most results are in time, and no job is refused after waiting`, () => {
    const counts = runOverload(factor)
    const capacity = LOAD_MS / FULL_CALL_MS * 4
    assert.ok(counts.inTime > capacity * 0.8, `${JSON.stringify(counts)}; ${Math.round(capacity)} could be computed in that time`)
    assert.is(counts.refusedLater, 0)
  })
}

test('late jobs are computed after the load has ended', () => {
  const { late, refused } = runOverload(1.2)
  assert.ok(late > 0)
  assert.is(refused, 0)
})

test.run()
