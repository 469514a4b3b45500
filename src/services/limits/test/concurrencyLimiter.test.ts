import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AdaptiveLimiter, FixedLimiter } from '../common/concurrencyLimiter.ts'
import type { LimitSignal } from '../common/concurrencyLimiter.ts'

const test = suite('concurrencyLimiter')

function createLimiter (capacity: number, liveGates: number): AdaptiveLimiter {
  const limiter = new AdaptiveLimiter({ fillFactor: 1 })
  limiter.updateCapacity(capacity, liveGates)
  return limiter
}

const cases: readonly (readonly [string, number, number, number, number])[] = [
  ['a gate may use all of an idle upstream', 9, 0, 0, 18],
  ['calls of other gates reduce the allowed calls', 9, 0, 12, 6],
  ['a gate\'s own calls are not counted as calls of others', 9, 5, 12, 11],
  ['a full upstream allows no calls', 9, 0, 40, 0],
  ['a full upstream allows no calls, whatever this gate has in flight', 3, 6, 40, 0]
]

for (const [name, gates, inFlight, backlog, allowedCalls] of cases) {
  test(name, () => assert.is(createLimiter(18, gates).computeAllowedCalls({ inFlight, backlog }), allowedCalls))
}

test('the equal share is independent of the calls of other gates, and follows the number of gates', () => {
  assert.is(createLimiter(18, 9).computeShare({ inFlight: 0, backlog: 40 }), 2)
  assert.is(createLimiter(18, 3).computeShare({ inFlight: 0, backlog: 40 }), 6)
  assert.is(createLimiter(4, 8).computeShare({ inFlight: 0, backlog: 40 }), 0.5)
  assert.is(createLimiter(18, 9).computeShare({ inFlight: 0, backlog: 4 }), 14)
})

test('a preferred call is allowed where others are not', () => {
  assert.is(createLimiter(4, 9).computeAllowedCalls({ inFlight: 0, backlog: 4 }), 0)
  assert.is(createLimiter(4, 9).computeAllowedCalls({ inFlight: 0, backlog: 4, isPreferred: true }), 4)
  assert.is(createLimiter(4, 9).computeAllowedCalls({ inFlight: 0, backlog: 8, isPreferred: true }), 0)
})

test('busy calls reduce the limit, successful calls at the limit raise it, and those below it do not', () => {
  const limiter = createLimiter(16, 1)
  for (let index = 0; index < 3; index++) limiter.record('busy', 16)
  assert.is(limiter.limit, 5)
  assert.is(limiter.computeAllowedCalls({ inFlight: 0, backlog: 0 }), 5)
  for (let index = 0; index < 100; index++) limiter.record('ok', 1)
  assert.is(limiter.limit, 5)
  for (let index = 0; index < 500; index++) limiter.record('ok', 99)
  assert.is(limiter.limit, 16)
})

test('the allowed calls stay between 0 and the capacity after any sequence of outcomes', () => {
  const signal = fc.constantFrom<LimitSignal>('ok', 'slow', 'busy', 'failed')
  fc.assert(fc.property(fc.integer({ min: 1, max: 64 }), fc.integer({ min: 1, max: 20 }), fc.array(signal, { maxLength: 100 }), fc.nat({ max: 200 }), (capacity, gates, signals, backlog) => {
    const limiter = createLimiter(capacity, gates)
    for (const item of signals) {
      limiter.record(item, limiter.limit)
      const allowedCalls = limiter.computeAllowedCalls({ inFlight: 0, backlog })
      assert.ok(allowedCalls >= 0 && allowedCalls <= capacity)
      assert.ok(limiter.limit >= 1)
    }
  }), { seed: 20261208, numRuns: 500 })
})

test('a fixed limit is the capacity, regardless of other gates', () => {
  const limiter = new FixedLimiter()
  limiter.updateCapacity(8)
  assert.is(limiter.computeAllowedCalls(), 8)
})

test.run()
