import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { ChunkBuffer } from '../common/chunkBuffer.ts'

const test = suite('chunkBuffer')

test('the first text is sent immediately, text within the interval is batched, and no text is lost', () => {
  const clock = new VirtualClock()
  const chunks: string[] = []
  const buffer = new ChunkBuffer(clock, 25, text => chunks.push(text))
  buffer.add('a')
  assert.equal(chunks, ['a'])
  buffer.add('b')
  clock.advance(10)
  buffer.add('c')
  assert.equal(chunks, ['a'])
  clock.advance(15)
  assert.equal(chunks, ['a', 'bc'])
  buffer.add('d')
  buffer.flush()
  buffer.flush()
  clock.advance(100)
  assert.equal(chunks, ['a', 'bc', 'd'])
})

test('with an interval of 0 each text is sent as its own chunk', () => {
  const chunks: string[] = []
  const buffer = new ChunkBuffer(new VirtualClock(), 0, text => chunks.push(text))
  for (const text of ['a', 'b', 'c']) buffer.add(text)
  assert.equal(chunks, ['a', 'b', 'c'])
})

test.run()
