import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import type { RateLimit } from '../../quota/common/tokenBucket.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('limitedTargets')

const STEP_MS = 50
const MS_PER_S = 1000

/** A plan with room for any preparation, and two upstreams that take the requests. */
function createPlanner (limits: readonly (RateLimit | undefined)[], hasOpenTarget?: () => boolean): PreparationPlanner {
  const planner = new PreparationPlanner(() => limits.map((limit, index) => ({ id: `t${index}`, hall: 'x', msPerMovedToken: Infinity, limit })), hasOpenTarget)
  for (let index = 0; index < 20; index++) planner.setUpstream({ id: `a-${index}`, role: 'a', hall: 'x', work: WORK })
  return planner
}

interface Seen {
  readonly targets: string[]
  readonly refusals: number[]
}

/** So many jobs a second for some time; every call for pieces ends at once. */
function runJobs (planner: PreparationPlanner, perS: number, forMs: number): Seen {
  const seen: Seen = { targets: [], refusals: [] }
  let submitted = 0
  for (let now = 0; now < forMs; now += STEP_MS) {
    for (; submitted < perS * now / MS_PER_S; submitted++) {
      const refusal = planner.addJob(createJob(`j${submitted}`, [createStage('a', 1)]), now)
      if (refusal?.reason === 'overloaded') seen.refusals.push(refusal.retryAfterMs)
    }
    for (const call of planner.startCalls(now)) planner.settleCall(call.id, { kind: 'answered', pieces: call.pieces.map(({ jobId }) => ({ kind: 'made', handle: `h/${jobId}` })) }, now)
    for (const news of planner.takeNews()) {
      if (news.kind === 'prepared') {
        seen.targets.push(news.targetId)
        planner.reportTarget(news.jobId, { outcome: 'produced', producedMs: 30 }, now)
        planner.releaseJob(news.jobId)
      } else if (news.kind === 'refused') {
        seen.refusals.push(news.refusal.retryAfterMs)
      }
    }
    planner.takeFrees()
  }
  return seen
}

test('a limited target gets its rate, and the other one the rest at once', () => {
  const { targets, refusals } = runJobs(createPlanner([{ perS: 2, burst: 2 }, undefined]), 20, 10_000)
  const limited = targets.filter(id => id === 't0').length
  assert.ok(limited <= 22, `${limited} at the limited one`)
  assert.ok(targets.length >= 195, `${targets.length} prepared`)
  assert.equal(refusals, [])
})

test('where all targets are limited, as many jobs go on as these accept, and the others are refused when they come', () => {
  const limit = { perS: 2, burst: 2 }
  const { targets, refusals } = runJobs(createPlanner([limit, limit]), 20, 10_000)
  assert.ok(targets.length >= 0.8 * 40 && targets.length <= 44, `${targets.length} prepared`)
  assert.ok(targets.every(id => id !== ''))
  assert.ok(refusals.length > 0 && refusals.every(retryAfterMs => retryAfterMs > 0))
  // Nothing is prepared for requests that are then refused, but for those that came before the limit showed.
  assert.ok(targets.length + refusals.length >= 150, `${refusals.length} refused`)
})

test('a plan whose own targets are limited keeps nothing back while another hall has one that is not', () => {
  const limit = { perS: 2, burst: 2 }
  const { targets, refusals } = runJobs(createPlanner([limit, limit], () => true), 20, 10_000)
  assert.ok(targets.length >= 195, `${targets.length} prepared`)
  assert.ok(targets.filter(id => id !== '').length <= 44)
  assert.equal(refusals, [])
})

test('no target is chosen that the owner of a job cannot send to', () => {
  const planner = createPlanner([undefined, undefined])
  for (let index = 0; index < 6; index++) planner.addJob(createJob(`j${index}`, [createStage('a', 1)], { excludedTargets: ['t0'] }), 0)
  for (const call of planner.startCalls(0)) planner.settleCall(call.id, { kind: 'answered', pieces: call.pieces.map(({ jobId }) => ({ kind: 'made', handle: `h/${jobId}` })) }, 0)
  const targets = planner.takeNews().flatMap(news => news.kind === 'prepared' ? [news.targetId] : [])
  assert.equal(targets, Array.from({ length: 6 }, () => 't1'))
})

test.run()
