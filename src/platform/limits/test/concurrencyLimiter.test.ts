import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AdaptiveLimiter } from '../common/concurrencyLimiter.ts'
import type { LimitSignal } from '../common/concurrencyLimiter.ts'

const test = suite('concurrencyLimiter')

test('a limit starts at an equal share and follows the number of live gates', () => {
  const limiter = new AdaptiveLimiter({ lendFactor: 2 })
  limiter.setShare(18, 9)
  assert.is(limiter.limit, 2)
  for (let index = 0; index < 100; index++) limiter.record('ok', 99)
  assert.is(limiter.limit, 4)
  limiter.setShare(18, 3)
  for (let index = 0; index < 200; index++) limiter.record('ok', 99)
  assert.is(limiter.limit, 12)
  limiter.setShare(18, 18)
  assert.is(limiter.limit, 2)
})

test('a busy upstream shrinks the limit, and an idle one does not grow it', () => {
  const limiter = new AdaptiveLimiter()
  limiter.setShare(16, 1)
  for (let index = 0; index < 3; index++) limiter.record('busy', 16)
  assert.is(limiter.limit, 5)
  for (let index = 0; index < 100; index++) limiter.record('ok', 1)
  assert.is(limiter.limit, 5)
})

test('whatever happens, the limit stays between one and the capacity', () => {
  const signal = fc.constantFrom<LimitSignal>('ok', 'slow', 'busy', 'failed')
  fc.assert(fc.property(fc.integer({ min: 1, max: 64 }), fc.integer({ min: 1, max: 20 }), fc.array(signal, { maxLength: 100 }), (capacity, gates, signals) => {
    const limiter = new AdaptiveLimiter()
    limiter.setShare(capacity, gates)
    for (const item of signals) {
      limiter.record(item, limiter.limit)
      assert.ok(limiter.limit >= 1 && limiter.limit <= capacity)
    }
  }), { seed: 20261208, numRuns: 500 })
})

test.run()
