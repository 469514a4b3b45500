// Guards against answers that are lost when a node stops as planned: a node that had nothing left to run ended while callers that
// read slowly were still receiving their answers, and it closed the connections of requests that still ran.
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../base/common/clock.ts'
import { RouteKind } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import { waitUntil } from '../../base/test/polling.ts'
import { FakeUpstream, RelayHarness, answerWith } from '../../services/relay/test/fakes.ts'
import type { ReceivedAnswer, RelayHarnessOptions, UpstreamScript } from '../../services/relay/test/fakes.ts'
import { GracefulShutdown } from '../gracefulShutdown.ts'

const test = suite('gracefulShutdown')

const GRACE_MS = 8000
const MAX_WAIT_MS = 2000
const POLL_MS = 100

/** A relay that is stopped, on a virtual clock. */
class StoppingRelay extends RelayHarness {
  private readonly _clock = new VirtualClock()
  hasStopped = false

  constructor (readonly upstream: FakeUpstream, options: Partial<RelayHarnessOptions>) {
    super({ ...options, upstreams: [upstream] })
  }

  stop (): void {
    this.server.drain()
    const shutdown = new GracefulShutdown({ clock: this._clock, relay: this.server, countRelayed: () => 0, graceMs: GRACE_MS })
    void shutdown.run().then(() => { this.hasStopped = true })
  }

  async advance (ms: number): Promise<void> {
    this._clock.advance(ms)
    await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
  }
}

async function runWith (script: UpstreamScript, options: Partial<RelayHarnessOptions>, run: (relay: StoppingRelay) => Promise<void>): Promise<void> {
  const relay = new StoppingRelay(new FakeUpstream(script), options)
  await relay.start()
  try {
    await run(relay)
  } finally {
    relay.dispose()
  }
}

const BODY_BYTES = 250_000
const ANSWER_COUNT = 60

test('a node does not stop while a caller that reads slowly is receiving its answers', () => runWith(answerWith(`HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`), {}, async relay => {
  const caller = connect(relay.port, '127.0.0.1')
  let receivedBytes = 0
  // More answers than the buffers of the system hold.
  caller.write('GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n'.repeat(ANSWER_COUNT))
  assert.ok(await waitUntil(() => relay.completedRequests.length === ANSWER_COUNT, 2 * MAX_WAIT_MS))
  relay.stop()
  await relay.advance(GRACE_MS / 2)
  await relay.advance(GRACE_MS / 4)
  assert.not.ok(relay.hasStopped)
  caller.on('data', data => { receivedBytes += data.length })
  assert.ok(await waitUntil(() => relay.hasStopped, MAX_WAIT_MS))
  relay.dispose()
  assert.ok(await waitUntil(() => receivedBytes > ANSWER_COUNT * BODY_BYTES, MAX_WAIT_MS), `${receivedBytes} bytes received`)
}))

const EVENT_HEAD = 'HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n'
const unrepeatable = { kind: RouteKind.UNREPEATABLE, maxAttempts: 1, timeoutMs: 20_000 }
const stream = { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 20_000 }

/** Answers that are in progress when the grace period ends: the route, the bytes of the upstream, and what the caller receives. */
const abandoned: readonly (readonly [string, Partial<RelayHarnessOptions>, string, string, RegExp, 'closed' | 'reset'])[] = [
  ['a request without an answer is told that it may have run', { route: unrepeatable }, '', '1.1', /^HTTP\/1\.1 502 .*Connection: close\r\n.*gateDraining$/is, 'closed'],
  ['a stream without an event is told that it may have run', { route: stream }, EVENT_HEAD, '1.1', /^HTTP\/1\.1 502 .*gateDraining$/s, 'closed'],
  ['a stream in chunks ends without the last one', { route: stream }, `${EVENT_HEAD}data: x\n\n`, '1.1', /^HTTP\/1\.1 200 .*data: x\n\n\r\n$/s, 'closed'],
  ['a stream without chunks is reset', { route: stream }, `${EVENT_HEAD}data: x\n\n`, '1.0', /^HTTP\/1\.1 200 .*data: x\n\n$/s, 'reset']
]

for (const [name, options, bytes, httpVersion, expected, expectedEnd] of abandoned) {
  test(`when the grace period ends, ${name}`, () => runWith(answerWith(bytes), options, async relay => {
    let received: ReceivedAnswer | undefined
    void relay.call('a', '', 0, httpVersion).then(answer => { received = answer })
    assert.ok(await waitUntil(() => relay.upstream.requestHeads.length === 1, MAX_WAIT_MS))
    relay.stop()
    for (let elapsedMs = 0; elapsedMs < GRACE_MS; elapsedMs += GRACE_MS / 8) await relay.advance(GRACE_MS / 8)
    assert.ok(relay.hasStopped)
    assert.ok(await waitUntil(() => received !== undefined, MAX_WAIT_MS))
    assert.match(received?.text ?? '', expected)
    assert.is(received?.end, expectedEnd)
  }))
}

test.run()
