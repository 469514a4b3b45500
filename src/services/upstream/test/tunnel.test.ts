import { request } from 'node:http'
import type { Agent } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { DisposableStore, toDisposable } from '../../../base/common/disposable.ts'
import { measureLoad, sendEndlessly } from '../../../base/test/endlessBytes.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { LogService } from '../../log/node/logger.ts'
import { answerWith, FakeUpstream } from '../../relay/test/fakes.ts'
import type { UpstreamScript } from '../../relay/test/fakes.ts'
import { PartitionDetector } from '../common/connectionPolicy.ts'
import { TunnelPeers } from '../common/tunnelPeers.ts'
import { startExchange } from '../node/httpExchange.ts'
import { readBody } from '../node/responseBody.ts'
import type { ExchangeStart } from '../node/httpExchange.ts'
import { TunnelServer } from '../node/tunnelServer.ts'
import type { TunnelRefusal } from '../node/tunnelServer.ts'
import { openTunnel } from '../node/tunnelSocket.ts'
import { UpstreamAgent } from '../node/upstreamAgent.ts'
import { UpstreamConnector } from '../node/upstreamConnector.ts'

const test = suite('tunnel')

const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody'
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
/** What the buffers of three connections hold. */
const MAX_UNREAD_BYTES = 24 * 1024 * 1024
const MAX_GROWTH_BYTES = 100e6
const CLOSED_PORT = '127.0.0.1:1'

interface Parts {
  readonly upstream: FakeUpstream
  readonly server: TunnelServer
  readonly policy: PartitionDetector
  /** Sends a request by the agent of a node whose peers are a dead one and the server. */
  readonly send: (address?: string, signal?: AbortSignal) => Promise<ExchangeStart>
}

/** Runs a test with an upstream, a peer that reaches it, and a node that is partitioned from it. */
async function runWith (script: UpstreamScript, run: (parts: Parts) => Promise<void>, obstacle?: TunnelRefusal): Promise<void> {
  const store = new DisposableStore()
  const log = new LogService({ program: 'test', silent: true })
  const clock = new SystemClock()
  const upstream = store.add(new FakeUpstream(script))
  await upstream.listen()
  const dial = (address: string) => connect(Number(address.split(':')[1]), '127.0.0.1').on('error', () => {})
  const server = store.add(new TunnelServer({ log, dial, findObstacle: () => obstacle }))
  const port = await server.listen('127.0.0.1', 0)
  const policy = new PartitionDetector()
  const peers = new TunnelPeers({ random: new SeededRandom(1), listPeers: () => [CLOSED_PORT, `127.0.0.1:${port}`].map(address => ({ address, hall: '' })) })
  const connector = store.add(new UpstreamConnector({ clock, log, peers, policy, listHalls: () => [] }))
  const agent: Agent = new UpstreamAgent(connector, () => clock.now())
  store.add(toDisposable(() => agent.destroy()))
  for (const address of ['x:1', 'y:1']) policy.recordDirect(address, false, clock.now())
  policy.recordPeerResult('x:1', 'opened', clock.now())
  assert.is(policy.getMode(clock.now()), 'peers')
  // The node itself reaches nothing.
  policy.tryAcquireTrial(clock.now())
  try {
    await run({ upstream, server, policy, send: (address = upstream.address, signal) => startExchange({ address, signal, method: 'POST', path: '/x', body: 'asked', agent, connectTimeoutMs: 400 }) })
  } finally {
    store.dispose()
  }
}

async function readAnswer (start: ExchangeStart): Promise<string> {
  if (start.kind !== 'response') return start.kind
  return await readBody(start, 1000) ?? 'truncated'
}

test('a request and its answer pass unchanged, and the peer closes the connection after it', () => runWith(answerWith(FRAMED), async ({ upstream, server, send }) => {
  assert.is(await readAnswer(await send()), 'body')
  assert.match(upstream.requestHeads.join(''), /^POST \/x HTTP\/1\.1\r\n[\s\S]*asked/)
  assert.ok(await waitUntil(() => server.openCount === 0 && upstream.closedCount === 1, 1000))
}))

const INVALID_ANSWERS: readonly (readonly [string, string])[] = [
  ['is invalid right after its head', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n'],
  ['ends only with its connection', 'HTTP/1.1 200 OK\r\n\r\n'],
  ['switches protocols', 'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n']
]
for (const [name, answer] of INVALID_ANSWERS) {
  test(`a peer whose answer ${name} has opened no tunnel, and the process goes on`, async () => {
    const peer = new FakeUpstream(answerWith(answer))
    try {
      const start = await Promise.race([openTunnel({ peer: await peer.listen(), upstream: CLOSED_PORT, timeoutMs: 400 }), waitFor(1000)])
      assert.is(start?.kind, 'failed')
      assert.ok(await waitUntil(() => peer.closedCount === 1, 1000))
    } finally {
      peer.dispose()
    }
  })
}

test('an answer that ends with its connection is whole', () => runWith(answerWith(UNFRAMED, 'close'), async ({ send }) => {
  assert.is(await readAnswer(await send()), 'body')
}))

test('an answer whose connection the upstream resets is not whole', () => runWith(answerWith(UNFRAMED, 'reset'), async ({ send }) => {
  assert.not.equal(await readAnswer(await send()), 'body')
}))

test('an answer whose bytes and reset reach the peer together is not whole', () => runWith(answerWith(UNFRAMED, 'resetAtOnce'), async ({ send }) => {
  for (let round = 0; round < 20; round++) assert.not.equal(await readAnswer(await send()), 'body')
}))

test('an answer whose peer ends midway is not whole', () => runWith(answerWith(UNFRAMED), async ({ server, send }) => {
  const start = await send()
  server.dispose()
  assert.not.equal(await readAnswer(start), 'body')
}))

test('a caller that leaves ends the work at the upstream', () => runWith(() => {}, async ({ upstream, server, send }) => {
  const controller = new AbortController()
  const pending = send(undefined, controller.signal)
  assert.ok(await waitUntil(() => upstream.requestHeads.length === 1, 1000))
  assert.is(server.openCount, 1)
  controller.abort()
  assert.is((await pending).kind, 'lost')
  assert.ok(await waitUntil(() => upstream.closedCount === 1, 1000))
}))

test('an upstream that peers do not reach either was sent nothing', () => runWith(answerWith(FRAMED), async ({ send }) => {
  assert.is((await send(CLOSED_PORT)).kind, 'notSent')
}))

for (const obstacle of ['unknown', 'full', 'draining', 'partitioned', 'backingOff'] as const) {
  test(`a peer that refuses a tunnel as ${obstacle} opens no connection`, () => runWith(answerWith(FRAMED), async ({ upstream, send, policy }) => {
    assert.is((await send()).kind, 'notSent')
    assert.is(upstream.requestHeads.length, 0)
    assert.is(policy.getMode(performance.now()), 'peers')
  }, obstacle))
}

test('a draining peer refuses further tunnels and completes open ones', () => runWith(answerWith(FRAMED), async ({ server, send }) => {
  const start = await send()
  server.drain()
  assert.is(await readAnswer(start), 'body')
  assert.is((await send()).kind, 'notSent')
}))

test('requests that are no tunnel are refused', () => runWith(answerWith(FRAMED), async ({ server }) => {
  const port = await server.listen('127.0.0.1', 0)
  for (const path of ['/', '/tunnel', '/other/127.0.0.1:1', `/tunnel/${'9'.repeat(4000)}`]) {
    const status = await new Promise(resolve => { request({ port, path, method: 'POST', agent: false }, response => resolve(response.statusCode)).end() })
    assert.is(status, 503)
  }
}, 'unknown'))

test('a peer that does not answer counts as failed', async () => {
  assert.is((await openTunnel({ peer: CLOSED_PORT, upstream: CLOSED_PORT, timeoutMs: 100 })).kind, 'failed')
  assert.is((await openTunnel({ peer: 'nonsense', upstream: CLOSED_PORT, timeoutMs: 100 })).kind, 'failed')
})

// With a status line that is not HTTP the tunnel counted as open, and with a change of protocol nobody learned of its end.
test('a peer whose answer is not HTTP counts as failed', async () => {
  for (const head of ['HTTP/2.0 200 OK\r\nTransfer-Encoding: chunked', 'HTTP/0.9 200 OK', 'HTTP/1.1 000 Odd', 'HTTP/1.1 101 Odd', 'HTTP/1.1 101 Odd\r\nConnection: upgrade\r\nUpgrade: x']) {
    const peer = new FakeUpstream(answerWith(`${head}\r\n\r\n`))
    const start = await Promise.race([openTunnel({ peer: await peer.listen(), upstream: CLOSED_PORT, timeoutMs: 100 }), waitFor(1000)])
    if (start?.kind === 'opened') start.socket.on('error', () => {}).destroy()
    peer.dispose()
    assert.is(start?.kind, 'failed', head)
  }
})

test('a request that is given up before its answer began resets the connection that its peer has opened', async () => {
  const controller = new AbortController()
  let ending: unknown
  const abortRequest: UpstreamScript = socket => {
    socket.once('error', (error: NodeJS.ErrnoException) => { ending = error.code })
    socket.once('end', () => { ending ??= 'closed' })
    controller.abort()
  }
  await runWith(abortRequest, async ({ send, upstream }) => {
    const start = await send(upstream.address, controller.signal)
    assert.equal(start, { kind: 'lost', reason: 'aborted' })
    await waitUntil(() => ending !== undefined, 1000)
    assert.is(ending, 'ECONNRESET')
  })
})

for (const [name, beginning, part] of [
  ['a body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(16384)],
  ['chunks of one byte', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'.repeat(3000)]
] as const) {
  test(`${name} without end is read through ten tunnels no faster than it is wanted, and each ends with its request`, () => {
    const sockets: Socket[] = []
    const answer: UpstreamScript = socket => {
      sockets.push(socket)
      socket.write(beginning)
      sendEndlessly(socket, part)
    }
    return runWith(answer, async ({ server, send }) => {
      const starts: ExchangeStart[] = []
      const load = await measureLoad(Promise.all(Array.from({ length: 10 }, async () => starts.push(await send()))).then(() => waitFor(300)))
      const responses = starts.flatMap(start => start.kind === 'response' ? [start.response] : [])
      assert.is(responses.length, 10)
      assert.ok(sockets.every(({ bytesWritten }) => bytesWritten < MAX_UNREAD_BYTES), sockets.map(({ bytesWritten }) => bytesWritten).join())
      assert.ok(load.grownBytes < MAX_GROWTH_BYTES, `grew by ${Math.round(load.grownBytes / 1e6)} MB`)
      for (const response of responses) response.destroy()
      assert.ok(await waitUntil(() => server.openCount === 0 && sockets.every(({ destroyed }) => destroyed), 1000))
    })
  })
}

test('a request body without end is written through a tunnel no faster than the upstream reads it', async () => {
  const upstream = createServer(socket => socket.on('error', () => {}))
  const store = new DisposableStore()
  store.add(toDisposable(() => upstream.close()))
  await new Promise<void>(resolve => { upstream.listen(0, '127.0.0.1', resolve) })
  const server = store.add(new TunnelServer({ log: new LogService({ program: 'test', silent: true }), dial: address => connect(Number(address.split(':')[1]), '127.0.0.1').on('error', () => {}), findObstacle: () => undefined }))
  const peer = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`
  try {
    const start = await openTunnel({ peer, upstream: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, timeoutMs: 400 })
    if (start.kind !== 'opened') throw new Error(start.reason)
    let sentBytes = 0
    const part = Buffer.alloc(16384)
    const sendAll = () => {
      do sentBytes += part.length
      while (start.socket.write(part))
    }
    start.socket.on('drain', sendAll)
    sendAll()
    await waitFor(300)
    assert.ok(sentBytes > 2 * part.length && sentBytes < MAX_UNREAD_BYTES, `${sentBytes} bytes`)
    start.socket.destroy()
  } finally {
    store.dispose()
  }
})

test.run()
