import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { JobTimer } from '../common/jobTimes.ts'
import { createSuccess, createJob, createPlanner, createStage, takeJobEnds } from './fakes.ts'

const test = suite('jobTimes')

test('the time of a job is divided into queueing, computation and gaps between stages', () => {
  const clock = new JobTimer(100)
  clock.recordStart(130)
  clock.recordStart(150)
  clock.recordEnd(200)
  clock.recordEnd(230)
  clock.recordStart(300)
  clock.recordEnd(350)
  assert.equal(clock.measure(350), { queuedMs: 30, madeMs: 150, betweenMs: 70 })
})

test('a job that never started has only queueing time', () => {
  assert.equal(new JobTimer(100).measure(180), { queuedMs: 80, madeMs: 0, betweenMs: 0 })
})

test('the owner of a job receives the breakdown of its time', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1, [0])]), 0)
  const [first] = planner.startCalls(40)
  assert.ok(first)
  planner.completeCall(first.id, createSuccess(first), 150)
  const [second] = planner.startCalls(170)
  assert.ok(second)
  planner.completeCall(second.id, createSuccess(second), 280)
  const [end] = takeJobEnds(planner)
  assert.equal(end?.kind === 'prepared' && end.times, { queuedMs: 40, madeMs: 220, betweenMs: 20 })
})

test.run()
