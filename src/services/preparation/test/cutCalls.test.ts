import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'
import { checkPreparationMessage } from '../common/preparationMessage.ts'
import type { PreparationPlanner } from '../common/preparationPlanner.ts'
import { createAll, createJob, createPlanner, createStage, takeEnds } from './fakes.ts'

const test = suite('cutCalls')

const CUT: PieceCallOutcome = { kind: 'lost', reason: 'connection closed' }
/** Longer than an upstream is left alone after a call that failed. */
const LATER_MS = 1000

function listJobs (calls: readonly PlannedCall[]): readonly string[] {
  return calls.map(call => [...new Set(call.pieces.map(piece => piece.jobId))].sort().join('+'))
}

/** Starts what can be started and cuts it off. */
function cutAll (planner: PreparationPlanner, now: number): readonly PlannedCall[] {
  const calls = planner.startCalls(now)
  for (const call of calls) planner.settleCall(call.id, CUT, now + 10)
  return calls
}

test('the owners of all pieces in a call that was cut off are told, and each piece goes on alone', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  for (const id of ['x', 'y', 'z']) planner.addJob(createJob(id, [createStage('a', 1)]), 0)
  const [first] = cutAll(planner, 0)
  assert.equal(planner.takeNews(), ['x', 'y', 'z'].map(jobId => ({ kind: 'lost', jobId, upstreamId: first?.upstreamId, sentBeforeMs: 10 })))
  assert.equal(listJobs(planner.startCalls(LATER_MS)), ['x', 'y', 'z'])
})

test('a job that is suspect from its start shares no call with others', () => {
  const planner = createPlanner({ upstreams: { a: 2 } })
  planner.addJob(createJob('x', [createStage('a', 2)]), 0)
  planner.addJob(createJob('y', [createStage('a', 1)], { isSuspect: true }), 0)
  planner.addJob(createJob('z', [createStage('a', 1)]), 0)
  assert.equal(listJobs(planner.startCalls(0)), ['x+z', 'y'])
})

test('of the pieces of a job whose calls were cut off, no two calls are made at the same time', () => {
  const planner = createPlanner({ upstreams: { a: 4 }, work: { maxPiecesPerCall: 1 } })
  planner.addJob(createJob('x', [createStage('a', 4)]), 0)
  assert.is(cutAll(planner, 0).length, 4)
  const calls = planner.startCalls(LATER_MS)
  assert.is(calls.length, 1)
  assert.is(planner.startCalls(LATER_MS + 1).length, 0)
  const [call] = calls
  assert.ok(call)
  planner.settleCall(call.id, createAll(call), LATER_MS + 100)
  assert.is(planner.startCalls(LATER_MS + 101).length, 1)
})

test('a call that may end its upstream runs beside no other, and best where none runs', () => {
  const planner = createPlanner({ upstreams: { a: 2 }, work: { concurrentCalls: 2, maxPiecesPerCall: 1 } })
  planner.addJob(createJob('w', [createStage('a', 1)]), 0)
  const [running] = planner.startCalls(0)
  for (const id of ['x', 'y']) planner.addJob(createJob(id, [createStage('a', 1)], { isSuspect: true }), 1)
  planner.addJob(createJob('z', [createStage('a', 1)]), 1)
  const calls = planner.startCalls(1)
  const suspect = calls.find(call => call.pieces.some(piece => piece.jobId === 'x'))
  assert.ok(running && suspect)
  assert.is.not(suspect.upstreamId, running.upstreamId)
  assert.is(calls.filter(call => call.upstreamId === suspect.upstreamId).length, 1)
  planner.addJob(createJob('v', [createStage('a', 1)]), 2)
  assert.not(planner.startCalls(2).some(call => call.upstreamId === suspect.upstreamId))
  planner.settleCall(suspect.id, createAll(suspect), 3)
  assert.ok(planner.startCalls(3).some(call => call.upstreamId === suspect.upstreamId))
})

test('a piece is given up with the third call that was cut off', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  planner.addJob(createJob('x', [createStage('a', 1)]), 0)
  const ends: number[] = []
  for (let round = 0; round < 3; round++) {
    cutAll(planner, round * LATER_MS)
    ends.push(takeEnds(planner).length)
  }
  assert.equal(ends, [0, 0, 1])
})

test('a call to an upstream that is still there makes nobody suspect', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  for (const id of ['x', 'y']) planner.addJob(createJob(id, [createStage('a', 1)]), 0)
  const [call] = planner.startCalls(0)
  assert.ok(call)
  planner.settleCall(call.id, { kind: 'lost', reason: 'status 500', isThere: true }, 10)
  assert.equal(planner.takeNews(), [])
  assert.equal(listJobs(planner.startCalls(LATER_MS)), ['x+y'])
})

test('what an owner is told of a call passes the check on arrival', () => {
  const news = { kind: 'lost', jobId: 'x', upstreamId: 'a-0', sentBeforeMs: 12 }
  assert.equal(checkPreparationMessage(news).extract(), news)
  assert.ok(checkPreparationMessage({ ...news, sentBeforeMs: -1 }).isLeft())
})

test('a message of a kind that only newer senders know is told apart from a broken one', () => {
  const findName = (frame: unknown) => checkPreparationMessage(frame).swap().map(error => error.resultName).extract()
  assert.is(findName({ kind: 'novel', jobId: 'x' }), 'messageUnknown')
  assert.is(findName({ kind: 'release' }), 'frameInvalid')
  assert.is(findName(7), 'frameInvalid')
})

test.run()
