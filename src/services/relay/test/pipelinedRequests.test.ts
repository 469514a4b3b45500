import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { MAX_OPEN_REQUESTS } from '../../ingress/common/pipelining.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('pipelinedRequests')

/** An upstream that answers each request with its id after a delay, and counts those that run at the same time. */
class SlowUpstream extends FakeUpstream {
  maxRunning = 0
  running = 0

  constructor (delayMs: number) {
    super((socket, head) => {
      const id = /^Id: (.+)\r$/im.exec(head)?.[1] ?? ''
      this.maxRunning = Math.max(this.maxRunning, ++this.running)
      socket.once('close', () => { this.running-- })
      setTimeout(() => socket.end(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${id.length}\r\nConnection: close\r\n\r\n${id}`), delayMs)
    })
  }
}

interface Exchange {
  readonly text: string
  readonly isClosed: boolean
}

function formatRequests (count: number): string {
  return Array.from({ length: count }, (_item, index) => `GET /x HTTP/1.1\r\nHost: h\r\nId: p${index}\r\n\r\n`).join('')
}

async function exchange (relay: RelayHarness, sent: string, forMs: number): Promise<Exchange> {
  const socket: Socket = connect(relay.port, '127.0.0.1')
  let [text, isClosed] = ['', false]
  socket.on('data', data => { text += data.toString('latin1') })
  socket.on('error', () => {})
  socket.once('close', () => { isClosed = true })
  socket.write(sent)
  await waitFor(forMs)
  socket.destroy()
  return { text, isClosed }
}

function listAnswers (text: string): readonly string[] {
  return [...text.matchAll(/HTTP\/1\.1 200[^]*?\r\n\r\n(p\d+)/g)].map(match => match[1] ?? '')
}

function listIds (count: number): readonly string[] {
  return Array.from({ length: count }, (_item, index) => `p${index}`)
}

async function runRelay (upstream: SlowUpstream, run: (relay: RelayHarness) => Promise<void>, options: { readonly maxRunningRequests?: number, readonly maxHeldBytes?: number } = {}): Promise<void> {
  const relay = new RelayHarness({ upstreams: [upstream], ...options })
  try {
    await relay.start()
    await run(relay)
  } finally {
    relay.dispose()
  }
}

test('a few requests sent ahead are all answered in order, and the connection stays open', async () => {
  await runRelay(new SlowUpstream(20), async relay => {
    const { text, isClosed } = await exchange(relay, formatRequests(MAX_OPEN_REQUESTS), 600)
    assert.equal(listAnswers(text), listIds(MAX_OPEN_REQUESTS))
    assert.not(isClosed)
  })
})

test('beyond that the connection closes after the answers to what was read', async () => {
  const upstream = new SlowUpstream(20)
  await runRelay(upstream, async relay => {
    const { text, isClosed } = await exchange(relay, formatRequests(200), 800)
    assert.equal(listAnswers(text), listIds(MAX_OPEN_REQUESTS))
    assert.ok(isClosed)
    assert.is(upstream.requestHeads.length, MAX_OPEN_REQUESTS)
    assert.is(relay.server.closedPipelineCount, 1)
    assert.is(relay.logLines.filter(line => line.includes('event=pipeline_closed')).length, 1)
  })
})

test('of one connection a limited number of requests runs at a time', async () => {
  const upstream = new SlowUpstream(50)
  await runRelay(upstream, async relay => {
    await exchange(relay, formatRequests(MAX_OPEN_REQUESTS), 600)
    assert.ok(upstream.maxRunning <= 8, `${upstream.maxRunning} ran at a time`)
  })
})

test('under pressure one request of a connection runs at a time, and others are refused when as many run as may', async () => {
  const upstream = new SlowUpstream(200)
  await runRelay(upstream, async relay => {
    const [, second, third] = await Promise.all([exchange(relay, formatRequests(4), 350), relay.call('s'), waitFor(50).then(() => relay.call('t'))])
    assert.match(second.text, /^HTTP\/1.1 200/)
    assert.match(third.text, /^HTTP\/1.1 503[^]*overloaded$/)
  }, { maxRunningRequests: 2 })
})

test('requests of a connection that has closed are not run', async () => {
  const upstream = new SlowUpstream(100)
  await runRelay(upstream, async relay => {
    await exchange(relay, formatRequests(20), 50)
    await waitFor(400)
    assert.ok(upstream.requestHeads.length <= 8)
    assert.is(relay.server.activeRequestCount, 0)
    assert.ok(relay.server.isIdle)
  })
})

test('a connection whose dropped requests find no memory closes at once', async () => {
  await runRelay(new SlowUpstream(400), async relay => {
    const { isClosed, text } = await exchange(relay, formatRequests(500), 200)
    assert.ok(isClosed)
    assert.is(text, '')
  }, { maxHeldBytes: 1_000_000 })
})

test.run()
