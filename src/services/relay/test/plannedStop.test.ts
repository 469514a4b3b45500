// Guards against requests that are cut without an answer when a node stops as planned. Callers of a stopped node saw connections
// closed on uploads that it had sent to an upstream in its last second.
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions, UpstreamScript } from './fakes.ts'

const test = suite('plannedStop')

const MAX_WAIT_MS = 2000
const HEAD = 'POST /x HTTP/1.1\r\nHost: h\r\nId: a\r\n'

/** A caller that sends its request in parts and records what it receives. */
class SlowCaller {
  text = ''
  end: 'open' | 'closed' | 'reset' = 'open'
  private readonly _socket

  constructor (port: number) {
    this._socket = connect(port, '127.0.0.1')
    this._socket.on('data', data => { this.text += data.toString('latin1') })
    this._socket.on('error', () => { this.end = 'reset' })
    this._socket.on('close', () => { if (this.end === 'open') this.end = 'closed' })
  }

  send (text: string): void {
    this._socket.write(text)
  }

  waitForEnd (): Promise<boolean> {
    return waitUntil(() => this.end !== 'open', MAX_WAIT_MS)
  }

  dispose (): void {
    this._socket.destroy()
  }
}

async function runWith (scripts: readonly UpstreamScript[], options: Partial<RelayHarnessOptions>, run: (harness: RelayHarness, caller: SlowCaller, upstreams: readonly FakeUpstream[]) => Promise<void>): Promise<void> {
  const upstreams = scripts.map(script => new FakeUpstream(script))
  const harness = new RelayHarness({ ...options, upstreams })
  await harness.start()
  const caller = new SlowCaller(harness.port)
  try {
    await run(harness, caller, upstreams)
  } finally {
    caller.dispose()
    harness.dispose()
  }
}

const unrepeatable = { kind: RouteKind.UNREPEATABLE, maxAttempts: 1 }
const isReceived = (harness: RelayHarness) => waitUntil(() => harness.server.activeRequestCount > 0, MAX_WAIT_MS)

for (const [name, framing, part, rest] of [['a length', 'Content-Length: 4\r\n\r\n', 'ab', 'cd'], ['chunks', 'Transfer-Encoding: chunked\r\n\r\n', '2\r\nab\r\n', '2\r\ncd\r\n0\r\n\r\n']] as const) {
  test(`an upload in ${name} that is under way at the last moment to send is refused as not run before its last byte`, () => runWith([() => {}], { route: unrepeatable }, async (harness, caller, upstreams) => {
    caller.send(HEAD + framing + part)
    assert.ok(await isReceived(harness))
    harness.server.refuseWaiting()
    assert.ok(await caller.waitForEnd())
    assert.match(caller.text, /^HTTP\/1\.1 503 .*Connection: close\r\n.*gateDraining$/is)
    caller.send(rest)
    assert.is(upstreams[0]?.requestHeads.length, 0)
  }))
}

test.run()
