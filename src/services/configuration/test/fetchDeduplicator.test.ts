import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FetchDeduplicator } from '../common/fetchDeduplicator.ts'

const test = suite('fetchDeduplicator')

function createStamp (version: number) {
  return { number: { epoch: 1, version }, revision: version }
}

test('a document is fetched once, however many peers offer it', () => {
  const deduplicator = new FetchDeduplicator(new VirtualClock())
  assert.ok(deduplicator.tryBeginFetch(createStamp(2), createStamp(1)))
  assert.not(deduplicator.tryBeginFetch(createStamp(2), createStamp(1)))
  assert.ok(deduplicator.tryBeginFetch(createStamp(3), createStamp(1)))
  assert.not(deduplicator.tryBeginFetch(createStamp(2), createStamp(1)))
})

test('a document that is already held is not fetched', () => {
  const deduplicator = new FetchDeduplicator(new VirtualClock())
  assert.not(deduplicator.tryBeginFetch(createStamp(2), createStamp(2)))
  assert.not(deduplicator.tryBeginFetch(createStamp(1), createStamp(2)))
})

test('a fetch without an answer times out, and another peer is asked', () => {
  const clock = new VirtualClock()
  const deduplicator = new FetchDeduplicator(clock)
  assert.ok(deduplicator.tryBeginFetch(createStamp(2), createStamp(1)))
  clock.advance(500)
  assert.ok(deduplicator.tryBeginFetch(createStamp(2), createStamp(1)))
})

test.run()
