import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '../../../base/test/polling.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('slowUploads')

const MAX_WAIT_MS = 10_000
const PART_PERIOD_MS = 20
const OK = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok'

/** Sends a head and then a part of a body again and again; resolves with the answer once the connection has closed. */
async function submitSlowly (relay: RelayHarness, fields: string, part: string, times = Infinity): Promise<string> {
  const socket = connect(relay.port, '127.0.0.1')
  let [received, isClosed, count] = ['', false, 0]
  socket.on('data', data => { received += data.toString('latin1') })
  socket.on('error', () => {})
  socket.once('close', () => { isClosed = true })
  socket.write(`POST /x HTTP/1.1\r\nHost: h\r\nId: a\r\n${fields}Connection: close\r\n\r\n`)
  const timer = setInterval(() => { if (count++ < times) socket.write(part) }, PART_PERIOD_MS)
  const hasClosed = await waitUntil(() => isClosed, MAX_WAIT_MS)
  clearInterval(timer)
  socket.destroy()
  assert.ok(hasClosed)
  return received
}

async function runRelay (options: Partial<RelayHarnessOptions>, run: (relay: RelayHarness, upstream: FakeUpstream) => Promise<void>): Promise<void> {
  const upstream = new FakeUpstream(answerWith(OK))
  const relay = new RelayHarness({ upstreams: [upstream], ...options })
  try {
    await relay.start()
    await run(relay, upstream)
  } finally {
    relay.dispose()
  }
}

test('a slow body that is complete in time is served', async () => {
  await runRelay({}, async relay => {
    assert.match(await submitSlowly(relay, 'Content-Length: 10\r\n', 'x'), /^HTTP\/1.1 200/)
  })
})

test('a body that is not complete when its caller stops waiting is refused as not run', async () => {
  await runRelay({}, async (relay, upstream) => {
    assert.match(await submitSlowly(relay, 'Time: 200\r\nContent-Length: 1000000\r\n', 'x'), /^HTTP\/1.1 503[^]*deadlinePassed$/)
    assert.is(upstream.requestHeads.length, 0)
  })
})

test('a body that is not complete at the timeout of its route is refused as not run', async () => {
  await runRelay({ route: { timeoutMs: 200 } }, async relay => {
    assert.match(await submitSlowly(relay, 'Transfer-Encoding: chunked\r\n', '1\r\nx\r\n'), /^HTTP\/1.1 503[^]*deadlinePassed$/)
  })
})

test('a body that stops arriving is refused as not run', async () => {
  await runRelay({ route: { timeoutMs: 30_000 } }, async relay => {
    relay.server.applyLimits({ idleTimeoutMs: 300, headerTimeoutMs: 1000, maxBodyBytes: 0, maxHeaderBytes: 0 } as Parameters<typeof relay.server.applyLimits>[0])
    assert.match(await submitSlowly(relay, 'Content-Length: 1000\r\n', 'x', 5), /^HTTP\/1.1 503[^]*deadlinePassed$/)
  })
})

test.run()
