import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FetchDeduplicator } from '../common/fetchDeduplicator.ts'

const test = suite('fetchDeduplicator')

function createStamp (version: number) {
  return { number: { epoch: 1, version }, revision: version }
}

test('a document is fetched once, however many peers offer it', () => {
  const guard = new FetchDeduplicator(new VirtualClock())
  assert.ok(guard.tryBeginFetch(createStamp(2), createStamp(1)))
  assert.not(guard.tryBeginFetch(createStamp(2), createStamp(1)))
  assert.ok(guard.tryBeginFetch(createStamp(3), createStamp(1)))
  assert.not(guard.tryBeginFetch(createStamp(2), createStamp(1)))
})

test('a document that is already held is not fetched', () => {
  const guard = new FetchDeduplicator(new VirtualClock())
  assert.not(guard.tryBeginFetch(createStamp(2), createStamp(2)))
  assert.not(guard.tryBeginFetch(createStamp(1), createStamp(2)))
})

test('a fetch without an answer times out, and another peer is asked', () => {
  const clock = new VirtualClock()
  const guard = new FetchDeduplicator(clock)
  assert.ok(guard.tryBeginFetch(createStamp(2), createStamp(1)))
  clock.advance(500)
  assert.ok(guard.tryBeginFetch(createStamp(2), createStamp(1)))
})

test.run()
