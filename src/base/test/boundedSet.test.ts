import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BoundedSet } from '../common/boundedSet.ts'

const test = suite('boundedSet')

test('the oldest value is evicted first, and a value that is added again keeps its position', () => {
  const set = new BoundedSet<string>(2)
  for (const value of ['a', 'b', 'a', 'c']) set.add(value)
  assert.equal(['a', 'b', 'c'].filter(value => set.has(value)), ['b', 'c'])
  set.delete('b')
  set.add('d')
  assert.equal(['b', 'c', 'd'].filter(value => set.has(value)), ['c', 'd'])
  set.clear()
  assert.not(set.has('c'))
})

test.run()
