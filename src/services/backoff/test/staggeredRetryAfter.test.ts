import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { StaggeredRetryAfter } from '../common/staggeredRetryAfter.ts'

const test = suite('staggeredRetryAfter')

const INTERVAL_MS = 1 / 3

test('one caller retries at the end of a backoff, also with times that are fractions of a millisecond', () => {
  for (let pause = 1; pause <= 50; pause++) {
    const retryAfter = new StaggeredRetryAfter()
    const endAt = 3000 + pause * 1000 / 7
    const delaysMs = Array.from({ length: 30 }, (_item, index) => {
      const now = 1 / 7 + index * INTERVAL_MS
      return now + retryAfter.schedule('r', endAt - now, now) - endAt
    })
    assert.is(delaysMs.filter(afterMs => afterMs < 1).length, 1)
  }
})

test('a backoff that is prolonged has a first caller of its own', () => {
  const retryAfter = new StaggeredRetryAfter()
  assert.equal([retryAfter.schedule('r', 500, 0), retryAfter.schedule('r', 500, 0), retryAfter.schedule('r', 800, 0)], [500, 750, 800])
})

test.run()
