/**
 * Guards against times of return at which the caller is refused again or late, and against an outlook without a bound.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findReturnMs } from '../common/capacityOutlook.ts'
import type { ReturnQuery, RoleOutlook } from '../common/capacityOutlook.ts'

const test = suite('capacityOutlook')

function createQuery (outlook: Partial<RoleOutlook>, options: Partial<ReturnQuery> = {}): ReturnQuery {
  const role: RoleOutlook = { queuedPieces: 0, piecesPerMs: 1, arrivalsPerMs: 0, usualArrivalsPerMs: 0, ...outlook }
  return { roles: new Map([['a', role]]), expectedWork: [], maxQueueMs: 500, maxReturnMs: 3000, ...options }
}

test('the queue is worked off at the observed rate', () => {
  assert.is(findReturnMs(createQuery({ queuedPieces: 1500 }), 0), 1000)
  assert.is(findReturnMs(createQuery({ queuedPieces: 1500, piecesPerMs: 2 }), 0), 300)
})

test('a burst ends, but until then its arrivals lengthen the queue', () => {
  const steady = findReturnMs(createQuery({ queuedPieces: 1000, arrivalsPerMs: 0.5, usualArrivalsPerMs: 0.5 }), 0) ?? Infinity
  const burst = findReturnMs(createQuery({ queuedPieces: 1000, arrivalsPerMs: 1, usualArrivalsPerMs: 0.5 }), 0) ?? Infinity
  assert.is(steady, 1000)
  assert.ok(burst > steady && burst < 3000, `${burst}`)
})

test('reserved work is queued from the time of its return, and is no obstacle before', () => {
  const expectedWork = [{ at: 1200, pieces: new Map([['a', 900], ['other', 5000]]) }]
  assert.is(findReturnMs(createQuery({ queuedPieces: 1000 }, { expectedWork }), 0), 500)
  assert.is(findReturnMs(createQuery({ queuedPieces: 1800 }, { expectedWork }), 0), 2200)
})

test('the role with the longest queue determines the time', () => {
  const query = createQuery({ queuedPieces: 600 })
  assert.is(findReturnMs({ ...query, roles: new Map([...query.roles, ['b', { queuedPieces: 2000, piecesPerMs: 1, arrivalsPerMs: 0, usualArrivalsPerMs: 0 }]]) }, 0), 1500)
})

test('there is no time of return past what the caller accepts, for an infeasible goal, or without throughput', () => {
  assert.is(findReturnMs(createQuery({ queuedPieces: 1500 }, { maxReturnMs: 900 }), 0), undefined)
  assert.is(findReturnMs(createQuery({}, { maxQueueMs: -1 }), 0), undefined)
  assert.is(findReturnMs(createQuery({ queuedPieces: 1, piecesPerMs: 0 }), 0), undefined)
  assert.is(findReturnMs(createQuery({ queuedPieces: 1e6 }, { maxReturnMs: 1e9 }), 0), undefined)
})

test.run()
