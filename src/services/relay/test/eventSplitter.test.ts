import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EventSplitter } from '../common/eventSplitter.ts'

const test = suite('eventSplitter')

const LINES = ['\n', '\r\n', ':\n', 'id: 1\n', 'id:2\r\n', 'id: \n', 'data: a\n', 'data: id: 3\r\n', 'x']
/** Many times what it takes. */
const MAX_COLLECT_MS = 1500

/** The offset after the last blank line of a text. */
function findEnd (text: string): number {
  return /^(?:[^]*\n)?\r?\n/.exec(text)?.[0].length ?? 0
}

test('all bytes up to the last blank line are returned as soon as they arrive, with the last id in them', () => {
  fc.assert(fc.property(fc.array(fc.constantFrom(...LINES), { maxLength: 20 }), fc.array(fc.nat(8)), (lines, sizes) => {
    const text = lines.join('')
    const splitter = new EventSplitter()
    let [offset, received, lastId] = [0, '', undefined as string | undefined]
    for (const size of [...sizes, text.length]) {
      const events = splitter.add(Buffer.from(text.slice(offset, offset + size)))
      offset = Math.min(text.length, offset + size)
      received += events?.bytes.toString() ?? ''
      lastId = events?.lastId ?? lastId
      if (events !== undefined) assert.is(events.hasFields, /^[^:\r\n]/m.test(events.bytes.toString()))
      assert.is(received, text.slice(0, findEnd(text.slice(0, offset))))
      assert.is(splitter.pendingBytes, offset - received.length)
    }
    assert.is(lastId, [...received.matchAll(/^id: ?(.*?)\r?$/gm)].at(-1)?.[1])
  }), { seed: 1, numRuns: 2000 })
})

test('an event that never ends is collected in time proportional to its length', () => {
  const splitter = new EventSplitter()
  const part = Buffer.from('data: x\n')
  const startedAt = performance.now()
  while (!splitter.isTooLarge && performance.now() - startedAt < MAX_COLLECT_MS) splitter.add(part)
  assert.ok(splitter.isTooLarge, `only ${splitter.pendingBytes} bytes in ${MAX_COLLECT_MS} ms`)
})

test.run()
