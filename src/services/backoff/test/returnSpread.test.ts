import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ReturnSpread } from '../common/returnSpread.ts'

const test = suite('returnSpread')

const PERIOD_MS = 1 / 3

test('one caller returns at the end of a pause, whatever fractions its time is computed from', () => {
  for (let pause = 1; pause <= 50; pause++) {
    const spread = new ReturnSpread()
    const endAt = 3000 + pause * 1000 / 7
    const returns = Array.from({ length: 30 }, (_item, index) => {
      const now = 1 / 7 + index * PERIOD_MS
      return now + spread.schedule('r', endAt - now, now) - endAt
    })
    assert.is(returns.filter(afterMs => afterMs < 1).length, 1)
  }
})

test('a pause that is asked for again has a first caller of its own', () => {
  const spread = new ReturnSpread()
  assert.equal([spread.schedule('r', 500, 0), spread.schedule('r', 500, 0), spread.schedule('r', 800, 0)], [500, 750, 800])
})

test.run()
