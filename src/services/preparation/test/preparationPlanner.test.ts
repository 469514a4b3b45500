import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PlannedCall } from '../common/plannedCall.ts'
import { createJob, createPlanner, createStage, createSuccess, runToCompletion, takeJobEnds, WORK } from './fakes.ts'

const SEED = 20261202
const test = suite('preparationPlanner')

function listPieces (calls: readonly PlannedCall[]): readonly string[] {
  return calls.flatMap(call => call.pieces.map(piece => `${piece.jobId}/${piece.stage}.${piece.index}`))
}

test('pieces of several jobs are batched into one call', () => {
  const planner = createPlanner({ upstreams: { a: 1 } })
  planner.addJob(createJob('x', [createStage('a', 2)]), 0)
  planner.addJob(createJob('y', [createStage('a', 2)]), 0)
  const calls = planner.startCalls(0)
  assert.is(calls.length, 1)
  assert.equal(listPieces(calls), ['x/0.0', 'x/0.1', 'y/0.0', 'y/0.1'])
})

test('a stage starts when all its inputs are computed, and receives them in order', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 2), createStage('b', 1, [0])]), 0)
  const [first] = planner.startCalls(0)
  assert.ok(first)
  assert.is(first.pieces[0]?.key, 'key of x')
  assert.equal(planner.startCalls(10), [])
  planner.completeCall(first.id, createSuccess(first), 120)
  const [second] = planner.startCalls(120)
  assert.equal(second?.pieces[0]?.inputs, ['a-0/1.0.0', 'a-0/1.0.1'])
  assert.is(second?.pieces[0]?.key, undefined)
})

test('a stage that only the request consumes is delayed until the longer chain of stages has progressed as far', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1, c: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1), createStage('c', 1, [1])]), 0)
  const starts: string[] = []
  runToCompletion(planner, 0, (call, now) => starts.push(`${now} ${call.pieces.map(piece => piece.stage).join()}`))
  assert.equal(starts, ['0 1', '110 0', '110 2'])
})

test('the request receives the results of the stages that no other stage needs, in the order of stages and pieces', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1), createStage('b', 2, [1])]), 0)
  runToCompletion(planner, 0)
  const [end] = takeJobEnds(planner)
  assert.is(end?.kind, 'prepared')
  assert.equal(end?.kind === 'prepared' && end.results.map(result => result.handle.split('.').slice(1).join('.')), ['0.0', '2.0', '2.1'])
})

test('the load of a plan counts calls, open pieces and late jobs separately', () => {
  const planner = createPlanner({ upstreams: { a: 2, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 4), createStage('b', 3, [0])]), 0)
  planner.addJob(createJob('y', [createStage('a', 2)], { goalInMs: 50 }), 0)
  planner.startCalls(0)
  const { jobs, lateJobs, roles } = planner.measureLoad(0)
  assert.equal([jobs, lateJobs], [2, 1])
  assert.equal(roles.map(({ role, calls, runningCalls, openPieces }) => [role, calls, runningCalls, openPieces]), [['a', 2, 2, 6], ['b', 1, 0, 3]])
  assert.ok(roles.every(({ queueMs }) => queueMs > 0))
})

test('a stage without pieces is neither computed nor waited for', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 0), createStage('b', 1)]), 0)
  runToCompletion(planner, 0)
  const [end] = takeJobEnds(planner)
  assert.is(end?.kind === 'prepared' && end.results.length, 1)
})

test('results are freed when they are consumed, released, or computed for a job that is gone', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1, [0])]), 0)
  const [first] = planner.startCalls(0)
  assert.ok(first)
  planner.completeCall(first.id, createSuccess(first), 110)
  const [second] = planner.startCalls(110)
  assert.ok(second)
  assert.equal(planner.dequeueFrees(), [])
  planner.completeCall(second.id, createSuccess(second), 220)
  assert.equal(planner.dequeueFrees().map(free => free.upstreamId), ['a-0'])
  planner.releaseJob('x')
  assert.equal(planner.dequeueFrees().map(free => free.upstreamId), ['b-0'])

  planner.addJob(createJob('y', [createStage('a', 1)]), 300)
  const [third] = planner.startCalls(300)
  assert.ok(third)
  planner.releaseJob('y')
  planner.completeCall(third.id, createSuccess(third), 410)
  assert.equal(planner.dequeueFrees().map(free => free.upstreamId), ['a-0'])
  assert.equal(takeJobEnds(planner).map(end => end.jobId), ['x'])
})

test('calls are limited by the free result capacity, which excludes results whose freeing was not confirmed', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, work: { resultRoomBytes: 25 } })
  planner.addJob(createJob('x', [createStage('a', 2)]), 0)
  planner.addJob(createJob('y', [createStage('a', 1)]), 0)
  const [first] = planner.startCalls(0)
  assert.ok(first)
  assert.equal(listPieces([first]), ['x/0.0', 'x/0.1'])
  planner.completeCall(first.id, createSuccess(first), 120)
  planner.releaseJob('x')
  assert.equal(planner.startCalls(120), [])
  const [free] = planner.dequeueFrees()
  assert.ok(free)
  planner.completeFree(free, false, 130)
  assert.equal(planner.startCalls(130), [])
  assert.equal(listPieces(planner.startCalls(130 + 4000)), ['y/0.0'])
})

test('a stage whose results do not fit as a whole is not started, so that started stages can finish', () => {
  const planner = createPlanner({ upstreams: { a: 2 }, work: { resultRoomBytes: 20, maxPiecesPerCall: 1 } })
  planner.addJob(createJob('x', [createStage('a', 3)]), 0)
  planner.addJob(createJob('y', [createStage('a', 2)], { goalInMs: 2000 }), 0)
  const started = listPieces(planner.startCalls(0))
  assert.equal(started, ['x/0.0', 'x/0.1'])
})

test('higher ranks go first, and within a rank a job that will miss its goal goes after those that will not', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, work: { maxPiecesPerCall: 1 } })
  planner.addJob(createJob('low late', [createStage('a', 1)], { rank: 1, goalInMs: 50 }), 0)
  planner.addJob(createJob('low', [createStage('a', 1)], { rank: 1 }), 0)
  planner.addJob(createJob('late', [createStage('a', 1)], { goalInMs: 50 }), 0)
  planner.addJob(createJob('high', [createStage('a', 1)]), 0)
  const order: string[] = []
  runToCompletion(planner, 0, call => order.push(call.pieces[0]?.jobId ?? ''))
  assert.equal(order, ['high', 'late', 'low', 'low late'])
})

test('after a failed call the upstream is backed off from and its pieces are retried', () => {
  for (const outcome of [{ kind: 'lost', reason: 'reset' }, { kind: 'notRun', reason: 'unreachable' }] as const) {
    const planner = createPlanner({ upstreams: { a: 2 } })
    planner.addJob(createJob('x', [createStage('a', 1)]), 0)
    const [first] = planner.startCalls(0)
    assert.ok(first)
    planner.completeCall(first.id, outcome, 10)
    const [second] = planner.startCalls(10)
    assert.is.not(second?.upstreamId, first.upstreamId)
  }
})

test('results of an upstream that is gone are computed again, together with their freed inputs', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 2 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1, [0])]), 0)
  runToCompletion(planner, 0)
  const [end] = takeJobEnds(planner)
  assert.ok(end?.kind === 'prepared')
  planner.removeUpstream(end.results[0]?.upstreamId ?? '')
  assert.ok(planner.reopenJob('x', 300))
  runToCompletion(planner, 300)
  const [again] = takeJobEnds(planner)
  assert.ok(again?.kind === 'prepared')
  assert.is.not(again.results[0]?.upstreamId, end.results[0]?.upstreamId)
})

test('a missing input is computed again before the piece that needs it', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1, [0])]), 0)
  const [first] = planner.startCalls(0)
  assert.ok(first)
  planner.completeCall(first.id, createSuccess(first), 110)
  const [second] = planner.startCalls(110)
  assert.ok(second)
  planner.completeCall(second.id, { kind: 'answered', pieces: [{ kind: 'failed', reason: 'inputGone' }] }, 220)
  const order: string[] = []
  runToCompletion(planner, 220, call => order.push(call.upstreamId))
  assert.equal(order, ['a-0', 'b-0'])
  assert.is(takeJobEnds(planner)[0]?.kind, 'prepared')
})

test('a job that cannot finish before its deadline is refused at once, with a retry time', () => {
  const planner = createPlanner({ upstreams: { a: 1 } })
  for (let index = 0; index < 40; index++) planner.addJob(createJob(`j${index}`, [createStage('a', 4)]), 0)
  const refusal = planner.addJob(createJob('x', [createStage('a', 4)], { deadlineInMs: 2000 }), 0)
  assert.is(refusal?.reason, 'overloaded')
  assert.ok(refusal?.reason === 'overloaded' && refusal.retryAfterMs >= 1000)
  assert.is(createPlanner({ upstreams: {} }).addJob(createJob('x', [createStage('a', 1)]), 0)?.reason, 'noUpstream')
})

test('large results are computed in the hall of the target, as long as the goal allows it', () => {
  const targets = [{ id: 't', hall: 'h1', msPerMovedToken: Infinity }]
  const planner = createPlanner({ upstreams: { a: 2 }, work: { resultRoomBytes: 1e9 }, targets })
  planner.addJob(createJob('x', [createStage('a', 1, [], 3e6)]), 0)
  assert.equal(planner.startCalls(0).map(call => call.upstreamId), ['a-1'])
  planner.addJob(createJob('y', [createStage('a', 1, [], 3e6)]), 1)
  assert.equal(planner.startCalls(1), [])
  assert.equal(planner.startCalls(400).map(call => call.upstreamId), ['a-0'])
})

test('pieces with large inputs are computed in the hall that holds these inputs', () => {
  const planner = createPlanner({ upstreams: { a: 2, b: 2 }, work: { resultRoomBytes: 1e9 } })
  planner.addJob(createJob('x', [createStage('a', 4, [], 60_000), createStage('b', 8, [0], 6000)]), 0)
  const halls = new Set<string>()
  runToCompletion(planner, 0, call => halls.add(call.upstreamId.slice(-1)))
  assert.is(halls.size, 1)
  planner.addJob(createJob('y', [createStage('a', 4, [], 60_000), createStage('b', 8, [0], 6000)]), 1000)
  planner.addJob(createJob('z', [createStage('a', 4, [], 60_000), createStage('b', 8, [0], 6000)]), 1000)
  assert.is(planner.startCalls(1000).length, 2)
})

test('a job that other jobs delay beyond its deadline is refused before any work is done for it', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, work: { maxPiecesPerCall: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1)], { rank: 1, goalInMs: 300, deadlineInMs: 900 }), 0)
  planner.startCalls(0)
  planner.addJob(createJob('y', [createStage('a', 1)], { rank: 1, goalInMs: 300, deadlineInMs: 900 }), 0)
  for (let index = 0; index < 12; index++) planner.addJob(createJob(`j${index}`, [createStage('a', 1)]), 0)
  planner.startCalls(200)
  const refused = planner.dequeueUpdates().flatMap(update => update.kind === 'refused' ? [update] : [])
  assert.equal(refused.map(update => update.jobId), ['y'])
  assert.ok((refused[0]?.refusal.retryAfterMs ?? 0) > 500)
})

test('an upstream that was slow is used again when the others would take longer, and is not excluded permanently', () => {
  const planner = createPlanner({ upstreams: { a: 2 }, work: { maxPiecesPerCall: 1, resultRoomBytes: 1e6 } })
  planner.addJob(createJob('x', [createStage('a', 2)]), 0)
  const [first, second] = planner.startCalls(0)
  assert.ok(first && second)
  planner.completeCall(second.id, createSuccess(second), 110)
  planner.completeCall(first.id, createSuccess(first), 880)
  planner.addJob(createJob('y', [createStage('a', 1)]), 880)
  assert.equal(planner.startCalls(880).map(call => call.upstreamId), [second.upstreamId])
  planner.addJob(createJob('z', [createStage('a', 9)]), 880)
  assert.equal(planner.startCalls(880).map(call => call.upstreamId), [first.upstreamId])
})

/** Runs a plan until it has reported results, and returns its job with these results as carried pieces. */
function createCarriedJob (resultBytes: number) {
  const first = createPlanner({ upstreams: { a: 1, b: 1 } })
  const job = createJob('x', [createStage('a', 2, [], resultBytes), createStage('b', 1, [0])])
  first.addJob(job, 0)
  const [call] = first.startCalls(0)
  assert.ok(call)
  first.completeCall(call.id, createSuccess(call), 120)
  const carried = first.dequeueUpdates().flatMap(update => update.kind === 'made' ? update.pieces : []).map(piece => ({ ...piece, ageMs: 30 }))
  return { job, carried }
}

test('the next plan uses the results of the previous one, counts their size and frees them', () => {
  const { job, carried } = createCarriedJob(400)
  assert.is(carried.length, 2)
  const next = createPlanner({ upstreams: { a: 1, b: 1 } })
  next.addJob(job, 150, { carried })
  next.addJob(createJob('y', [createStage('a', 1, [], 400)]), 150)
  const calls = next.startCalls(150)
  assert.equal(calls.map(call => call.upstreamId), ['b-0'])
  assert.equal(calls[0]?.pieces[0]?.inputs, ['a-0/1.0.0', 'a-0/1.0.1'])
  if (calls[0] !== undefined) next.completeCall(calls[0].id, createSuccess(calls[0]), 260)
  assert.equal(next.dequeueFrees().flatMap(free => free.handles), ['a-0/1.0.0', 'a-0/1.0.1'])
})

test('carried results that have expired, or whose upstream is gone, are computed again', () => {
  const { job, carried } = createCarriedJob(10)
  const expired = createPlanner({ upstreams: { a: 1, b: 1 } })
  expired.addJob(job, 5000, { carried: carried.map(piece => ({ ...piece, ageMs: 4000 })) })
  assert.equal(expired.startCalls(5000).map(call => call.upstreamId), ['a-0'])
  const gone = createPlanner({ upstreams: { a: 1, b: 1 } })
  gone.removeUpstream('a-0')
  gone.setUpstream({ id: 'a-1', role: 'a', hall: 'h0', work: WORK })
  gone.addJob(job, 150, { carried })
  assert.equal(gone.startCalls(150).map(call => call.upstreamId), ['a-1'])
})

test('a plan that refuses a job frees its carried results', () => {
  const { job, carried } = createCarriedJob(10)
  const next = createPlanner({ upstreams: { a: 1 } })
  assert.is(next.addJob(job, 150, { carried })?.reason, 'noUpstream')
  assert.equal(next.dequeueFrees().flatMap(free => free.handles), ['a-0/1.0.0', 'a-0/1.0.1'])
})

test('a draining plan keeps a job until its calls have completed, and starts no more calls', () => {
  const planner = createPlanner({ upstreams: { a: 1, b: 1 } })
  planner.addJob(createJob('x', [createStage('a', 1), createStage('b', 1, [0])]), 0)
  const [call] = planner.startCalls(0)
  assert.ok(call)
  planner.beginDraining()
  assert.equal(planner.removeIdleJobs(), [])
  planner.completeCall(call.id, createSuccess(call), 110)
  assert.equal(planner.startCalls(110), [])
  assert.equal(planner.removeIdleJobs(), ['x'])
  assert.equal(planner.dequeueFrees(), [])
})

test('with any order of outcomes every job ends and all result capacity is freed', () => {
  const outcome = fc.constantFrom('made', 'made', 'made', 'made', 'lost', 'full', 'noRoom', 'inputGone', 'failed')
  const job = fc.record({ first: fc.integer({ min: 0, max: 3 }), second: fc.integer({ min: 1, max: 4 }), gapMs: fc.integer({ min: 0, max: 80 }), isReleasedEarly: fc.boolean() })
  fc.assert(fc.property(fc.array(job, { minLength: 1, maxLength: 12 }), fc.array(outcome, { minLength: 1, maxLength: 60 }), (jobs, outcomes) => {
    const planner = createPlanner({ upstreams: { a: 2, b: 2 }, work: { resultRoomBytes: 60 } })
    const ended = new Set<string>()
    let now = 0
    let outcomeIndex = 0
    let running: readonly PlannedCall[] = []
    const settle = (call: PlannedCall) => {
      const kind = outcomes[outcomeIndex++ % outcomes.length] ?? 'made'
      if (kind === 'made') planner.completeCall(call.id, createSuccess(call), now)
      else if (kind === 'lost') planner.completeCall(call.id, { kind: 'lost', reason: 'test' }, now)
      else if (kind === 'full') planner.completeCall(call.id, { kind: 'notRun', reason: 'full' }, now)
      else planner.completeCall(call.id, { kind: 'answered', pieces: call.pieces.map(() => ({ kind: 'failed', reason: kind })) }, now)
    }
    const step = () => {
      running = [...running, ...planner.startCalls(now)]
      const [call, ...rest] = running
      running = rest
      if (call !== undefined) settle(call)
      for (const end of takeJobEnds(planner)) {
        ended.add(end.jobId)
        planner.releaseJob(end.jobId)
      }
      for (const free of planner.dequeueFrees()) planner.completeFree(free, true, now)
    }
    const accepted: string[] = []
    jobs.forEach(({ first, second, gapMs, isReleasedEarly }, index) => {
      now += gapMs
      const id = `j${index}`
      if (planner.addJob(createJob(id, [createStage('a', first), createStage('b', second, first > 0 ? [0] : [])]), now) === undefined) accepted.push(id)
      step()
      if (isReleasedEarly) {
        planner.releaseJob(id)
        ended.add(id)
      }
    })
    for (let count = 0; count < 2000 && (planner.jobCount > 0 || running.length > 0); count++) {
      now += 20
      step()
    }
    for (const free of planner.dequeueFrees()) planner.completeFree(free, true, now)
    assert.is(planner.jobCount, 0)
    assert.equal(accepted.filter(id => !ended.has(id)), [])
    const { upstreams } = planner.describe(now + 10_000) as { readonly upstreams: readonly { readonly freeBytes: number }[] }
    assert.ok(upstreams.every(upstream => upstream.freeBytes === 60))
  }), { seed: SEED, numRuns: 300 })
})

test.run()
