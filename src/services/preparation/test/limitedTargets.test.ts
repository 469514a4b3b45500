import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import type { RateLimit } from '../../quota/common/tokenBucket.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('limitedTargets')

const STEP_MS = 50
const MS_PER_S = 1000

/** A plan with enough capacity for all pieces, and one target for each of the limits. */
function createPlanner (limits: readonly (RateLimit | undefined)[], hasOpenTarget?: () => boolean): PreparationPlanner {
  const planner = new PreparationPlanner(() => limits.map((limit, index) => ({ id: `t${index}`, hall: 'x', msPerMovedToken: Infinity, limit })), hasOpenTarget)
  for (let index = 0; index < 20; index++) planner.setUpstream({ id: `a-${index}`, role: 'a', hall: 'x', work: WORK })
  return planner
}

interface Observed {
  readonly targets: string[]
  readonly refusals: number[]
}

/** Submits `perS` jobs per second for a time; every call for pieces completes at once. */
function runJobs (planner: PreparationPlanner, perS: number, forMs: number): Observed {
  const seen: Observed = { targets: [], refusals: [] }
  let submitted = 0
  for (let now = 0; now < forMs; now += STEP_MS) {
    for (; submitted < perS * now / MS_PER_S; submitted++) {
      const refusal = planner.addJob(createJob(`j${submitted}`, [createStage('a', 1)]), now)
      if (refusal?.reason === 'overloaded') seen.refusals.push(refusal.retryAfterMs)
    }
    for (const call of planner.startCalls(now)) planner.completeCall(call.id, { kind: 'answered', pieces: call.pieces.map(({ jobId }) => ({ kind: 'made', handle: `h/${jobId}` })) }, now)
    for (const update of planner.dequeueUpdates()) {
      if (update.kind === 'prepared') {
        seen.targets.push(update.targetId)
        planner.reportTarget(update.jobId, { outcome: 'produced', producedMs: 30 }, now)
        planner.releaseJob(update.jobId)
      } else if (update.kind === 'refused') {
        seen.refusals.push(update.refusal.retryAfterMs)
      }
    }
    planner.dequeueFrees()
  }
  return seen
}

test('a limited target gets requests at its rate, and the other target all others without delay', () => {
  const { targets, refusals } = runJobs(createPlanner([{ perS: 2, burst: 2 }, undefined]), 20, 10_000)
  const limited = targets.filter(id => id === 't0').length
  assert.ok(limited <= 22, `${limited} requests at the limited target`)
  assert.ok(targets.length >= 195, `${targets.length} prepared`)
  assert.equal(refusals, [])
})

test('if all targets are limited, as many jobs are prepared as these accept, and the others are refused on submission', () => {
  const limit = { perS: 2, burst: 2 }
  const { targets, refusals } = runJobs(createPlanner([limit, limit]), 20, 10_000)
  assert.ok(targets.length >= 0.8 * 40 && targets.length <= 44, `${targets.length} prepared`)
  assert.ok(targets.every(id => id !== ''))
  assert.ok(refusals.length > 0 && refusals.every(retryAfterMs => retryAfterMs > 0))
  // No work is done for requests that are then refused, except for those that arrived before the limit was reached.
  assert.ok(targets.length + refusals.length >= 150, `${refusals.length} refused`)
})

test('a plan with only limited targets delays no job while another hall has an unlimited target', () => {
  const limit = { perS: 2, burst: 2 }
  const { targets, refusals } = runJobs(createPlanner([limit, limit], () => true), 20, 10_000)
  assert.ok(targets.length >= 195, `${targets.length} prepared`)
  assert.ok(targets.filter(id => id !== '').length <= 44)
  assert.equal(refusals, [])
})

test('no target is chosen that the job excludes', () => {
  const planner = createPlanner([undefined, undefined])
  for (let index = 0; index < 6; index++) planner.addJob(createJob(`j${index}`, [createStage('a', 1)], { excludedTargets: ['t0'] }), 0)
  for (const call of planner.startCalls(0)) planner.completeCall(call.id, { kind: 'answered', pieces: call.pieces.map(({ jobId }) => ({ kind: 'made', handle: `h/${jobId}` })) }, 0)
  const targets = planner.dequeueUpdates().flatMap(update => update.kind === 'prepared' ? [update.targetId] : [])
  assert.equal(targets, Array.from({ length: 6 }, () => 't1'))
})

test.run()
