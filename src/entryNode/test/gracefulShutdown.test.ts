// Guards against answers that are lost when a node stops as planned: a node that had nothing left to run ended while callers that
// read slowly were still receiving their answers.
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../base/common/clock.ts'
import { waitUntil } from '../../base/test/polling.ts'
import { FakeUpstream, RelayHarness, answerWith } from '../../services/relay/test/fakes.ts'
import type { RelayHarnessOptions, UpstreamScript } from '../../services/relay/test/fakes.ts'
import { GracefulShutdown } from '../gracefulShutdown.ts'

const test = suite('gracefulShutdown')

const GRACE_MS = 8000
const MAX_WAIT_MS = 2000
const POLL_MS = 100

/** A relay that is stopped, on a virtual clock. */
class StoppingRelay extends RelayHarness {
  private readonly _clock = new VirtualClock()
  hasStopped = false

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
  const relay = new StoppingRelay({ ...options, upstreams: [new FakeUpstream(script)] })
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

test.run()
