import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeenNumbers } from '../common/seenNumbers.ts'

const SEED = 20261202
const test = suite('seenNumbers')

test('a number is new only until it is added', () => {
  const seen = new SeenNumbers()
  assert.is(seen.check(5), 'new')
  seen.add(5)
  assert.is(seen.check(5), 'seen')
  assert.is(seen.check(4), 'new')
})

test('for any sequence of numbers, a seen number never becomes new again and the number of intervals stays bounded', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 300 }), fc.integer({ min: 1, max: 8 }), (numbers, maxIntervals) => {
    const seen = new SeenNumbers(maxIntervals)
    const model = new Set<number>()
    for (const number of numbers) {
      const state = seen.check(number)
      if (model.has(number)) assert.is.not(state, 'new')
      if (state === 'seen') assert.ok(model.has(number))
      if (state === 'new') {
        seen.add(number)
        model.add(number)
      }
      assert.ok(seen.intervalCount <= maxIntervals)
    }
  }), { seed: SEED, numRuns: 3000 })
})

test('consecutive numbers need no intervals', () => {
  const seen = new SeenNumbers()
  for (let number = 1; number <= 1000; number++) seen.add(number)
  assert.is(seen.intervalCount, 0)
  assert.is(seen.check(1000), 'seen')
  assert.is(seen.check(1001), 'new')
})

test.run()
