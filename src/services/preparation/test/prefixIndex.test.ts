import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PrefixIndex } from '../common/prefixIndex.ts'

const test = suite('prefixBook')

const COMMON = { key: 'system', tokens: 100 }
const SHARED = [COMMON, { key: 'system/topic', tokens: 300 }]

test('the longest prefix that an upstream has cached is counted', () => {
  const index = new PrefixIndex()
  index.add(SHARED, 'a', 0)
  assert.is(index.countCachedTokens(SHARED, 'a', 10), 300)
  assert.is(index.countCachedTokens([COMMON, { key: 'system/other', tokens: 500 }], 'a', 10), 100)
  assert.is(index.countCachedTokens(SHARED, 'b', 10), 0)
})

test('cached prefixes are forgotten when their upstream is dropped, and after one minute', () => {
  const index = new PrefixIndex()
  index.add(SHARED, 'a', 0)
  assert.is(index.countCachedTokens(SHARED, 'a', 60_000), 0)
  index.removeTarget('a')
  assert.is(index.countCachedTokens(SHARED, 'a', 10), 0)
  assert.not(index.isKnown(SHARED))
})

test('another index can be filled from the list, and an older entry does not replace a newer one', () => {
  const index = new PrefixIndex()
  index.add(SHARED, 'a', 1000)
  const other = new PrefixIndex()
  other.add(SHARED, 'a', 59_000)
  for (const { shared, targetId, ageMs } of index.list(10, 31_000)) other.add(shared, targetId, 61_000 - ageMs)
  assert.is(other.countCachedTokens(SHARED, 'a', 110_000), 300)
  assert.equal(index.list(1, 31_000), [{ shared: SHARED, targetId: 'a', ageMs: 30_000 }])
})

test.run()
