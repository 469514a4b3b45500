// Guards against requests that are cut without an answer when a node stops as planned. Callers of a stopped node saw connections
// closed on uploads that it had sent to an upstream in its last second.
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Right } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import type { IPreparationService, IPreparedInputs } from '../../preparation/common/preparationService.ts'
import { CallerAnswer } from '../node/callerAnswer.ts'
import { FakeUpstream, RelayHarness, answerWith } from './fakes.ts'
import type { RelayHarnessOptions, UpstreamScript } from './fakes.ts'

const test = suite('plannedStop')

const MAX_WAIT_MS = 2000
const inputs: IPreparedInputs = { handles: ['h'], bytes: 1, isReleased: false, targetId: '', prefixSourceId: '', hall: '', report: () => {}, release: () => {}, prepareAgain: () => Promise.resolve(Right(inputs)) }
/** More than the buffers of the system hold. */
const LARGE_BYTES = 64 * 1024 * 1024
const HEAD = 'POST /x HTTP/1.1\r\nHost: h\r\nId: a\r\n'

/** A caller that sends its request in parts and records what it receives. */
class SlowCaller {
  text = ''
  end: 'open' | 'closed' | 'reset' = 'open'
  private readonly _socket

  constructor (port: number) {
    this._socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    this._socket.on('data', data => { this.text += data.toString('latin1') })
    this._socket.on('error', () => { this.end = 'reset' })
    // A reset that arrives together with bytes may be reported as an orderly end, but a write after it fails.
    this._socket.on('end', () => this._socket.write('x', error => this._socket.destroy(error ?? undefined)))
    this._socket.on('close', () => { if (this.end === 'open') this.end = 'closed' })
  }

  stopReading (): void {
    this._socket.pause()
  }

  startReading (): void {
    this._socket.resume()
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

const repeatable = { kind: RouteKind.REPEATABLE, maxAttempts: 2, goalMs: 100, timeoutMs: 900 }
const unrun = 'HTTP/1.1 503 x\r\nId: a\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n'
const ends: readonly (readonly [string, (socket: Socket) => void, RegExp])[] = [
  ['refused by its upstream', socket => socket.write(unrun), /^HTTP\/1\.1 503 .*gateDraining$/s],
  ['reset by its upstream', socket => socket.resetAndDestroy(), /^HTTP\/1\.1 502 .*outcomeUnknown$/s],
  ['stalled', () => {}, /^HTTP\/1\.1 502 .*deadlinePassed$/s]
]

for (const [name, end, expected] of ends) {
  test(`a request that is ${name} after the last moment to send is sent to no other upstream`, () => {
    const sockets: Socket[] = []
    const acceptOnly: UpstreamScript = socket => { sockets.push(socket) }
    return runWith([acceptOnly, acceptOnly], { route: repeatable }, async harness => {
      const answer = harness.call('a')
      assert.ok(await waitUntil(() => sockets.length === 1, MAX_WAIT_MS))
      harness.server.refuseWaiting()
      for (const socket of sockets) end(socket)
      assert.match((await answer).text, expected)
      assert.is(sockets.length, 1)
    })
  })
}

test('a request whose connection is being opened at the last moment to send is refused as not run', () => {
  // The connection opens in the next turn of the event loop.
  const preparation: IPreparationService = { prepare: () => { setImmediate(() => harness?.server.refuseWaiting()); return Promise.resolve(Right(inputs)) } }
  let harness: RelayHarness | undefined
  return runWith([() => {}], { route: { ...unrepeatable, stages: [{ role: 'p', after: [], resultBytes: 1 }] }, preparation }, async (started, _caller, upstreams) => {
    harness = started
    assert.match((await started.call('a', 'Pieces: 1\r\n')).text, /^HTTP\/1\.1 503 .*gateDraining$/s)
    assert.is(upstreams[0]?.requestHeads.length, 0)
  })
})

const lateRequests: readonly (readonly [string, number, string, string])[] = [
  ['is refused as not run if its goal is later than the end of the node', 400, '', '503'],
  ['is served if its goal is earlier', 5000, '', '200'],
  ['is served if its caller waits for less', 400, 'Time: 300\r\n', '200']
]

for (const [name, abandonInMs, header, status] of lateRequests) {
  test(`a request at a stopping node ${name}`, () => runWith([answerWith('HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody')], { route: { ...unrepeatable, goalMs: 900 } }, async harness => {
    harness.server.drain(abandonInMs)
    assert.is((await harness.call('a', header)).text.slice(9, 12), status)
  }))
}

test('an upload that takes longer than a stopping node has left for its goal is refused as not run', () => runWith([() => {}], { route: { ...unrepeatable, goalMs: 300 } }, async (harness, caller, upstreams) => {
  caller.send(`${HEAD}Content-Length: 4\r\n\r\nab`)
  assert.ok(await isReceived(harness))
  harness.server.drain(200)
  caller.send('cd')
  assert.ok(await waitUntil(() => caller.text.endsWith('gateDraining'), MAX_WAIT_MS))
  assert.match(caller.text, /^HTTP\/1\.1 503 /)
  assert.is(upstreams[0]?.requestHeads.length, 0)
}))

test('an answer in progress when a node closes its connections says that its connection closes', () => {
  let finish = () => {}
  return runWith([socket => { finish = () => { socket.write('HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody') } }], { route: unrepeatable }, async (harness, caller, upstreams) => {
    caller.send(`${HEAD}Content-Length: 0\r\n\r\n`)
    assert.ok(await waitUntil(() => upstreams[0]?.requestHeads.length === 1, MAX_WAIT_MS))
    harness.server.close()
    finish()
    assert.ok(await caller.waitForEnd())
    assert.match(caller.text, /^HTTP\/1\.1 200 .*Connection: close\r\n.*body$/is)
  })
})

test('an answer without framing that has ended does not end in order if it is cut before it is written', async () => {
  let answer: CallerAnswer | undefined
  const server = createServer((request, response) => {
    answer = new CallerAnswer(request, response)
    answer.begin(200, [])
    answer.write(Buffer.alloc(LARGE_BYTES))
    answer.finish()
  })
  const port = await new Promise<number>(resolve => { server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port)) })
  const caller = new SlowCaller(port)
  caller.stopReading()
  caller.send('GET / HTTP/1.0\r\nHost: h\r\n\r\n')
  await waitUntil(() => answer?.hasEnded === true, MAX_WAIT_MS)
  answer?.cut()
  caller.startReading()
  await caller.waitForEnd()
  caller.dispose()
  server.close()
  server.closeAllConnections()
  assert.is(caller.end, 'reset')
})

test.run()
