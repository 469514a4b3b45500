/**
 * Upstreams that send bytes without end, as fast as they are read or slowly, until their connection is closed.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { listChunks, measureLoad, sendEndlessly } from '../../../base/test/endlessBytes.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness, answerWith } from './fakes.ts'

const test = suite('endlessAnswers')

const FILLER = 'x'.repeat(16 * 1024)
/** What the buffers of a few connections hold in addition to what a node reads. */
const MAX_BYTES = 16 * 1024 * 1024
/** Well below the memory of a node, of 256 MB. */
const MAX_GROWTH_BYTES = 100e6
const MAX_BLOCKED_MS = 300
/** Shorter than the timeout of the route. */
const MAX_ANSWER_MS = 1000

/** Sends a beginning, then a part again and again while the connection takes more. */
class EndlessUpstream extends FakeUpstream {
  readonly sockets: Socket[] = []

  constructor (beginning: string, part: string) {
    super(socket => {
      this.sockets.push(socket)
      socket.write(beginning)
      sendEndlessly(socket, part)
    })
  }

  get sentBytes (): number {
    return this.sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)
  }
}

function formatChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

const CHUNK = formatChunk(FILLER)
const CASES: readonly (readonly [string, string, string, RouteKind?])[] = [
  ['body of an error response in chunks', 'HTTP/1.1 500 Failed\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK],
  ['body of an error response without a length', 'HTTP/1.1 500 Failed\r\nId: a\r\n\r\n', FILLER],
  ['body of a refusal', 'HTTP/1.1 503 Busy\r\nId: a\r\nUnrun: full\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK],
  ['body of an answer to another request', 'HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK],
  ['sequence of interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(200)],
  ['sequence of 100 responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(200)],
  ['head', 'HTTP/1.1 200 OK\r\nId: a\r\n', `X-Filler: ${FILLER.slice(0, 1024)}\r\n`],
  ['line of a head', 'HTTP/1.1 200 OK\r\nId: a\r\nX-Filler: ', FILLER],
  ['sequence of trailers', 'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', `X-Filler: ${FILLER.slice(0, 1024)}\r\n`],
  ['chunk extension', 'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;', FILLER],
  ['text that is not HTTP', '', FILLER],
  ['stream event', 'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK, RouteKind.STREAM],
  ['sequence of line breaks in a stream', 'HTTP/1.1 200 OK\r\nId: a\r\n\r\ndata: x\n\n', '\n'.repeat(16384), RouteKind.STREAM],
  ['sequence of comments in a stream', 'HTTP/1.1 200 OK\r\nId: a\r\n\r\n', ': x\n\n'.repeat(2000), RouteKind.STREAM]
]

for (const [name, beginning, part, kind] of CASES) {
  test(`a ${name} without end is given up at once`, async () => {
    const upstream = new EndlessUpstream(beginning, part)
    const harness = new RelayHarness({ upstreams: [upstream], route: { maxAttempts: 1, ...kind === undefined ? {} : { kind } } })
    await harness.start()
    try {
      const startedAt = performance.now()
      await harness.call('a')
      const tookMs = performance.now() - startedAt
      await waitFor(100)
      assert.ok(tookMs < MAX_ANSWER_MS, `answered after ${Math.round(tookMs)} ms`)
      assert.ok(upstream.sentBytes < MAX_BYTES, `${upstream.sentBytes} bytes were read`)
      assert.ok(upstream.sockets.every(({ destroyed }) => destroyed), 'the connection is still open')
    } finally {
      harness.dispose()
    }
  })
}

test('an error response whose body comes slowly and without end is given up with the request', async () => {
  const upstream = new FakeUpstream(socket => {
    socket.write('HTTP/1.1 500 Failed\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n')
    const timer = setInterval(() => socket.write(formatChunk('x')), 50)
    socket.on('close', () => clearInterval(timer))
  })
  const harness = new RelayHarness({ upstreams: [upstream], route: { maxAttempts: 1 } })
  await harness.start()
  try {
    assert.match((await harness.call('a', 'Time: 600\r\n')).text, /^HTTP\/1\.1 502/)
    await waitFor(50)
    assert.is(upstream.closedCount, 1)
  } finally {
    harness.dispose()
  }
})

test('a long answer is read no faster than its caller reads it', async () => {
  const warnings: string[] = []
  const recordWarning = ({ name }: Error) => { warnings.push(name) }
  process.on('warning', recordWarning)
  const upstream = new EndlessUpstream('HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n', CHUNK)
  const harness = new RelayHarness({ upstreams: [upstream] })
  await harness.start()
  const caller = connect(harness.port, '127.0.0.1')
  try {
    caller.write('GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n')
    // Reads a part now and then, so that the node waits for the caller often.
    for (let count = 0; count < 30; count++) {
      caller.resume()
      await waitFor(2)
      caller.pause()
      await waitFor(10)
    }
    assert.ok(upstream.sentBytes - caller.bytesRead < MAX_BYTES, `${upstream.sentBytes - caller.bytesRead} bytes are buffered`)
    assert.equal(warnings, [])
  } finally {
    process.off('warning', recordWarning)
    caller.destroy()
    harness.dispose()
  }
})

const TINY_EVENTS: readonly (readonly [string, string, string])[] = [
  ['line breaks', '', '\n'.repeat(65536)],
  ['comments', '', ':\n\n'.repeat(20000)],
  ['events that consist of an id', '', 'id: 1\n\n'.repeat(8000)],
  ['events of one byte', '', 'x\n\n'.repeat(20000)],
  ['events in a chunk each', 'Transfer-Encoding: chunked\r\n', formatChunk('x\n\n').repeat(8000)]
]
const STREAM_COUNT = 10

for (const [name, field, part] of TINY_EVENTS) {
  for (const isRead of [true, false]) {
    test(`streams of ${name} to callers that ${isRead ? '' : 'do not '}read neither grow the node nor block it`, async () => {
      const upstream = new FakeUpstream((socket, head) => {
        socket.write(`HTTP/1.1 200 OK\r\nId: ${/^Id: (.+)\r$/m.exec(head)?.[1] ?? ''}\r\n${field}\r\n`)
        sendEndlessly(socket, part, 1)
      })
      const harness = new RelayHarness({ upstreams: [upstream], route: { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 6000 } })
      await harness.start()
      const callers = Array.from({ length: STREAM_COUNT }, (_, index) => {
        const caller = connect(harness.port, '127.0.0.1').on('error', () => {})
        if (isRead) caller.resume()
        caller.write(`GET /x HTTP/1.1\r\nHost: h\r\nId: ${index}\r\n\r\n`)
        return caller
      })
      try {
        const { grownBytes, blockedMs } = await measureLoad(waitFor(500))
        assert.ok(grownBytes < MAX_GROWTH_BYTES, `grew by ${Math.round(grownBytes / 1e6)} MB`)
        assert.ok(blockedMs < MAX_BLOCKED_MS, `stood still for ${Math.round(blockedMs)} ms`)
      } finally {
        for (const caller of callers) caller.destroy()
        harness.dispose()
      }
    })
  }
}

test('events that arrive together are passed on in one part', async () => {
  const events = `${':\n\n'.repeat(2000)}id: 1\ndata: a\n\n\r\nid: 2\n\r\ndata: b\n\n`
  const upstream = new FakeUpstream(answerWith(`HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: ${events.length}\r\n\r\n${events}`))
  const harness = new RelayHarness({ upstreams: [upstream], route: { kind: RouteKind.STREAM, maxAttempts: 1 } })
  await harness.start()
  try {
    const chunks = listChunks((await harness.call('a')).text)
    assert.is(chunks.join(''), events)
    assert.ok(chunks.length < 5, `${chunks.length} parts`)
  } finally {
    harness.dispose()
  }
})

test.run()
