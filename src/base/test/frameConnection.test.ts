import { PassThrough } from 'node:stream'
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../common/random.ts'
import { FrameConnection, MAX_FRAME_BYTES, createFrame } from '../node/frameConnection.ts'
import type { FrameError } from '../node/frameConnection.ts'

const test = suite('frameConnection')

/** Many times what it takes. */
const MAX_RECEIVE_MS = 1500

/** A connection that receives what is emitted as data. */
class FakeSocket extends PassThrough {
  readonly setNoDelay = () => this
}

interface Receiver {
  readonly values: unknown[]
  readonly errors: (FrameError | undefined)[]
  readonly receive: (data: Buffer) => void
}

function createReceiver (): Receiver {
  const socket = new FakeSocket()
  const connection = new FrameConnection(socket as unknown as Socket)
  const [values, errors]: [unknown[], (FrameError | undefined)[]] = [[], []]
  connection.onDidReceive(value => { values.push(value) })
  connection.onDidClose(error => { errors.push(error) })
  return { values, errors, receive: data => { socket.emit('data', data) } }
}

test('frames are received in order however their bytes are split', () => {
  const random = new SeededRandom(1)
  const sent = Array.from({ length: 300 }, (_, index) => ({ index, text: 'x'.repeat(Math.floor(random.next() * 400)) }))
  const bytes = Buffer.concat(sent.map(createFrame))
  for (const maxSize of [1, 3, 100, 5000]) {
    const { values, receive } = createReceiver()
    for (let offset = 0; offset < bytes.length;) {
      const end = offset + 1 + Math.floor(random.next() * maxSize)
      receive(bytes.subarray(offset, end))
      offset = end
    }
    assert.equal(values, sent)
  }
})

test('a long frame in small parts is collected in time proportional to its length', () => {
  const { values, receive } = createReceiver()
  const frame = createFrame('x'.repeat(MAX_FRAME_BYTES - 16))
  const startedAt = performance.now()
  for (let offset = 0; offset < frame.length && performance.now() - startedAt < MAX_RECEIVE_MS; offset += 16) receive(frame.subarray(offset, offset + 16))
  assert.is(values.length, 1)
})

for (const [name, part, error] of [['zeros', '\0', 'frameUnreadable'], ['text', 'x', 'frameTooLarge'], ['line breaks', '\n', 'frameTooLarge']] as const) {
  test(`a connection that sends ${name} is closed at once`, () => {
    const { values, errors, receive } = createReceiver()
    receive(Buffer.from(part.repeat(65536)))
    receive(Buffer.from(part.repeat(65536)))
    assert.equal([values, errors], [[], [error]])
  })
}

test.run()
