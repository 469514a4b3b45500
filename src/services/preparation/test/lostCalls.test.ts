import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'
import { checkPreparationMessage } from '../common/preparationMessage.ts'
import type { PreparationPlanner } from '../common/preparationPlanner.ts'
import { createSuccess, createJob, createPlanner, createStage, takeJobEnds } from './fakes.ts'

const test = suite('lostCalls')

const DISCONNECTED: PieceCallOutcome = { kind: 'lost', reason: 'connection closed' }
/** Longer than the backoff of an upstream after a failed call. */
const AFTER_BACKOFF_MS = 1000

function listJobs (calls: readonly PlannedCall[]): readonly string[] {
  return calls.map(call => [...new Set(call.pieces.map(piece => piece.jobId))].sort().join('+'))
}

/** Starts all calls that can start, and ends each by a closed connection. */
function disconnectAll (planner: PreparationPlanner, now: number): readonly PlannedCall[] {
  const calls = planner.startCalls(now)
  for (const call of calls) planner.completeCall(call.id, DISCONNECTED, now + 10)
  return calls
}

test('after a closed connection the owners of all pieces in the call are notified, and each piece is retried in its own call', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  for (const id of ['x', 'y', 'z']) planner.addJob(createJob(id, [createStage('a', 1)]), 0)
  const [first] = disconnectAll(planner, 0)
  assert.equal(planner.dequeueUpdates(), ['x', 'y', 'z'].map(jobId => ({ kind: 'lost', jobId, upstreamId: first?.upstreamId, sentBeforeMs: 10 })))
  assert.equal(listJobs(planner.startCalls(AFTER_BACKOFF_MS)), ['x', 'y', 'z'])
})

test('a job that is suspect when submitted shares no call with other jobs', () => {
  const planner = createPlanner({ upstreams: { a: 2 } })
  planner.addJob(createJob('x', [createStage('a', 2)]), 0)
  planner.addJob(createJob('y', [createStage('a', 1)], { isSuspect: true }), 0)
  planner.addJob(createJob('z', [createStage('a', 1)]), 0)
  assert.equal(listJobs(planner.startCalls(0)), ['x+z', 'y'])
})

test('a job whose calls lost their connections has at most one call in flight', () => {
  const planner = createPlanner({ upstreams: { a: 4 }, work: { maxPiecesPerCall: 1 } })
  planner.addJob(createJob('x', [createStage('a', 4)]), 0)
  assert.is(disconnectAll(planner, 0).length, 4)
  const calls = planner.startCalls(AFTER_BACKOFF_MS)
  assert.is(calls.length, 1)
  assert.is(planner.startCalls(AFTER_BACKOFF_MS + 1).length, 0)
  const [call] = calls
  assert.ok(call)
  planner.completeCall(call.id, createSuccess(call), AFTER_BACKOFF_MS + 100)
  assert.is(planner.startCalls(AFTER_BACKOFF_MS + 101).length, 1)
})

test('a call that may crash its upstream runs there alone, preferably at an idle upstream', () => {
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
  planner.completeCall(suspect.id, createSuccess(suspect), 3)
  assert.ok(planner.startCalls(3).some(call => call.upstreamId === suspect.upstreamId))
})

test('a job is refused after the third call for one of its pieces lost its connection', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  planner.addJob(createJob('x', [createStage('a', 1)]), 0)
  const ends: number[] = []
  for (let round = 0; round < 3; round++) {
    disconnectAll(planner, round * AFTER_BACKOFF_MS)
    ends.push(takeJobEnds(planner).length)
  }
  assert.equal(ends, [0, 0, 1])
})

test('a failed call to an upstream that is still running makes no job suspect', () => {
  const planner = createPlanner({ upstreams: { a: 4 } })
  for (const id of ['x', 'y']) planner.addJob(createJob(id, [createStage('a', 1)]), 0)
  const [call] = planner.startCalls(0)
  assert.ok(call)
  planner.completeCall(call.id, { kind: 'lost', reason: 'status 500', isUpstreamAlive: true }, 10)
  assert.equal(planner.dequeueUpdates(), [])
  assert.equal(listJobs(planner.startCalls(AFTER_BACKOFF_MS)), ['x+y'])
})

test('the notification of a lost call passes the message check of the receiver', () => {
  const update = { kind: 'lost', jobId: 'x', upstreamId: 'a-0', sentBeforeMs: 12 }
  assert.equal(checkPreparationMessage(update).extract(), update)
  assert.ok(checkPreparationMessage({ ...update, sentBeforeMs: -1 }).isLeft())
})

test('a message of an unknown kind is distinguished from an invalid message', () => {
  const findName = (frame: unknown) => checkPreparationMessage(frame).swap().map(error => error.resultName).extract()
  assert.is(findName({ kind: 'novel', jobId: 'x' }), 'messageUnknown')
  assert.is(findName({ kind: 'release' }), 'frameInvalid')
  assert.is(findName(7), 'frameInvalid')
})

test.run()
