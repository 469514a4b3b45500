/**
 * Guards against the failures observed under contention (docs/CONTENTION.md): late work made other work late, and callers
 * were asked to return at a time at which they were refused again.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { generateContendedDeployment } from '../../../load/lab/labDeployment.ts'
import { LabRun } from '../../../load/lab/labRun.ts'
import { findReturnMs } from '../common/capacityOutlook.ts'
import { ForecastErrors } from '../common/forecastErrors.ts'
import type { JobDecline, JobRefusal, PreparationJob } from '../common/preparationJob.ts'
import type { PreparationPlanner } from '../common/preparationPlanner.ts'
import { ReturnReservations } from '../common/returnReservations.ts'
import { computeReturnWithinMs } from '../common/returnWindow.ts'
import { createJob, createPlanner, createStage } from './fakes.ts'

const test = suite('contendedAdmission')

const START = 30_000

/** Returns a planner that got one job long before START, so that it knows the usual rate of arrivals. */
function createObservedPlanner (upstreams: Readonly<Record<string, number>>): PreparationPlanner {
  const planner = createPlanner({ upstreams, hasContention: true })
  planner.addJob(createJob('first', Object.keys(upstreams).map(role => createStage(role, 1))), 0)
  planner.releaseJob('first')
  return planner
}

function createCallersJob (id: string, options: Partial<PreparationJob> = {}): PreparationJob {
  return createJob(id, [createStage('a', 4)], { deadlineInMs: 1400, returnKey: id, returnWithinMs: 5000, ...options })
}

/** Submits jobs until one is refused, and returns its id and refusal. */
function addUntilRefused (planner: PreparationPlanner, now: number): { readonly id: string, readonly refusal: JobRefusal | JobDecline } {
  for (let index = 0; index < 200; index++) {
    const refusal = planner.addJob(createCallersJob(`f${index}`), now)
    if (refusal !== undefined) return { id: `f${index}`, refusal }
  }
  throw new Error('nothing was refused')
}

function getRetryAfterMs (refusal: JobRefusal | JobDecline): number {
  return refusal.reason === 'late' ? NaN : refusal.retryAfterMs
}

test('more requests are in time in a contended load with the switch than without', () => {
  const countInTime = (hasContention: boolean) => {
    const { answersByKind } = new LabRun({ ...generateContendedDeployment(1), durationMs: 12_000 }, { hasContention }).run()
    return Object.values(answersByKind).reduce((sum, { inTime }) => sum + inTime, 0)
  }
  const [withSwitch, without] = [countInTime(true), countInTime(false)]
  assert.ok(withSwitch > without, `${withSwitch} with, ${without} without`)
})

test('a refused caller gets a time of return, and is admitted then although new jobs arrive all the time', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
  const { id, refusal } = addUntilRefused(planner, START)
  assert.equal({ ...refusal, retryAfterMs: 0 }, { reason: 'overloaded', retryAfterMs: 0, isReserved: true })
  const returnAt = START + getRetryAfterMs(refusal)
  for (let at = START + 10; at < returnAt; at += 10) planner.addJob(createCallersJob(`n${at}`, { returnKey: undefined }), at)
  assert.is(planner.addJob(createCallersJob(id), returnAt, { isOffer: true }), undefined)
  assert.is(planner.returnCounts.kept, 1)
})

test('a caller that returns before its time is not admitted for its reservation, and keeps it', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
  const { id, refusal } = addUntilRefused(planner, START)
  const again = planner.addJob(createCallersJob(id), START + 10)
  assert.equal(again, { reason: 'overloaded', retryAfterMs: getRetryAfterMs(refusal) - 10, isReserved: true })
  assert.is(planner.addJob(createCallersJob(id), START + getRetryAfterMs(refusal)), undefined)
})

test('new jobs are admitted behind reserved work only, which is free again 400 ms after the time told', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
  planner.adoptReservations([{ key: 'away', returnInMs: 500, pieces: [{ role: 'a', count: 400 }] }], 0)
  const offer = (id: string, now: number) => planner.addJob(createCallersJob(id, { returnKey: undefined }), now, { isOffer: true })
  assert.is(offer('x', 890)?.reason, 'late')
  assert.is(offer('y', 901), undefined)
  assert.equal(planner.listReservations(901), [])
  assert.is(planner.returnCounts.expired, 1)
})

test('a plan adopts reservations, of two for the same key the later one, and at most 1,000', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
  const pieces = [{ role: 'a', count: 1 }]
  planner.adoptReservations([{ key: 'k', returnInMs: 800, pieces }, { key: 'k', returnInMs: 300, pieces }], 0)
  assert.equal(planner.listReservations(100), [{ key: 'k', returnInMs: 700, pieces }])
  planner.adoptReservations(Array.from({ length: 1200 }, (_, index) => ({ key: `k${index}`, returnInMs: 500, pieces })), 100)
  assert.is(planner.listReservations(100).length, 1000)
})

test('a caller whose upstreams are lost is refused on its return, and counted as missed', () => {
  const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
  const { id, refusal } = addUntilRefused(planner, START)
  planner.setAcceptsWork('a-0', false)
  assert.is(planner.addJob(createCallersJob(id), START + getRetryAfterMs(refusal))?.reason, 'noUpstream')
  assert.is(planner.returnCounts.missed, 1)
})

test('no capacity is reserved for a less urgent rank while a more urgent one gets none', () => {
  const refuse = (urgentReturnWithinMs: number) => {
    const planner = createObservedPlanner({ a: 1 })
    addUntilRefused(planner, START)
    planner.addJob(createCallersJob('urgent', { returnWithinMs: urgentReturnWithinMs }), START)
    const refusal = planner.addJob(createCallersJob('patient', { rank: 2 }), START)
    return refusal?.reason === 'overloaded' && refusal.isReserved === true
  }
  // Within 50 ms the caller would have no time for its job, which says nothing of the role.
  assert.equal([refuse(5000), refuse(400), refuse(50)], [true, false, true])
})

test('a waiting job that is refused before it has started gets a time of return', () => {
  const planner = createObservedPlanner({ a: 2 })
  addUntilRefused(planner, START)
  planner.dequeueUpdates()
  planner.setAcceptsWork('a-1', false)
  planner.startCalls(START + 100)
  const refusals = planner.dequeueUpdates().flatMap(update => update.kind === 'refused' ? [update.refusal] : [])
  assert.ok(refusals.some(({ isReserved }) => isReserved === true), JSON.stringify(refusals))
})

// Only jobs that completed were once counted, and all ranks together, so jobs were admitted that more urgent ones overtook until they were refused.
test('a rank whose waiting jobs are refused gets a larger margin, others keep theirs', () => {
  const planner = createObservedPlanner({ a: 1 })
  const options = { goalInMs: 3000, deadlineInMs: 6000, returnKey: undefined }
  const addUrgent = (name: string, count: number, goalInMs: number, now: number) => {
    for (let index = 0; index < count; index++) planner.addJob(createCallersJob(`${name}${index}`, { ...options, goalInMs }), now)
  }
  const offer = (rank: number, now: number) => {
    const decision = planner.addJob(createJob(`offered${rank}`, [createStage('a', 1)], { ...options, rank }), now, { isOffer: true })
    planner.releaseJob(`offered${rank}`)
    return decision?.reason
  }
  addUrgent('before', 14, 2500, START)
  assert.equal([offer(0, START), offer(2, START)], [undefined, undefined])
  for (let index = 0; index < 14; index++) planner.releaseJob(`before${index}`)
  for (let index = 0; index < 30; index++) planner.addJob(createJob(`patient${index}`, [createStage('a', 1)], { ...options, rank: 2 }), START)
  addUrgent('overtaking', 18, 3200, START + 100)
  planner.startCalls(START + 150)
  const refused = planner.dequeueUpdates().filter(update => update.kind === 'refused').map(({ jobId }) => jobId)
  assert.ok(refused.length > 20 && refused.every(id => id.startsWith('patient')), refused.join())
  for (let index = 0; index < 30; index++) planner.releaseJob(`patient${index}`)
  for (let index = 0; index < 18; index++) planner.releaseJob(`overtaking${index}`)
  addUrgent('after', 14, 2500, START + 200)
  assert.equal([offer(0, START + 200), offer(2, START + 200)], [undefined, 'late'])
})

test('without the switch, keys of returns change nothing', () => {
  const withKeys = createPlanner({ upstreams: { a: 1 } })
  const withoutKeys = createPlanner({ upstreams: { a: 1 } })
  withKeys.adoptReservations([{ key: 'k', returnInMs: 100, pieces: [{ role: 'a', count: 1000 }] }], 0)
  for (let index = 0; index < 300; index++) {
    const job = createCallersJob(`j${index}`)
    assert.equal(withKeys.addJob(job, index), withoutKeys.addJob({ ...job, returnKey: undefined, returnWithinMs: undefined }, index))
  }
  assert.equal([withKeys.listReservations(0), withKeys.returnCounts], [[], { reserved: 0, kept: 0, expired: 0, missed: 0 }])
})

// A one-shot iterator once hid reserved work from all roles but the first, so callers got the same time without bound.
test('reserved work of every role of a job counts in the outlook', () => {
  const reservations = new ReturnReservations()
  reservations.add({ key: 'k', at: 1200, pieces: [{ role: 'b', count: 900 }] }, 0)
  const idle = { queuedPieces: 0, piecesPerMs: 1, arrivalsPerMs: 0, usualArrivalsPerMs: 0 }
  const roles = new Map([['a', idle], ['b', { ...idle, queuedPieces: 1800 }]])
  assert.is(findReturnMs({ roles, expectedWork: reservations.listWork(0), maxQueueMs: 500, maxReturnMs: 3000 }, 0), 2200)
})

// Jobs that the margin keeps out are not observed, so it would never shrink.
test('a learned margin expires without new observations', () => {
  const errors = new ForecastErrors()
  for (let index = 0; index < 50; index++) errors.record({ rank: 0, depth: 3 }, 400, index)
  assert.ok(errors.computeMarginMs({ rank: 0, depth: 3 }, 50) > 300)
  assert.ok(errors.computeMarginMs({ rank: 0, depth: 3 }, 30_000) < 5)
  assert.is(errors.computeMarginMs({ rank: 0, depth: 1 }, 50), 0)
  assert.is(errors.computeMarginMs({ rank: 1, depth: 3 }, 50), 0)
})

test('the window for a return is bounded, whatever deadline a caller states', () => {
  assert.is(computeReturnWithinMs(6000), 2000)
  assert.is(computeReturnWithinMs(3_600_000), 10_000)
  assert.is(computeReturnWithinMs(Infinity), 10_000)
})

test.run()
