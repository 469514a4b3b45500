// Guards against a request that crashes each upstream that runs it, 14 of them in one minute. Each try reached only one
// upstream, so the limit on attempts had no effect: the caller retried within half a second, with a new id and at any
// node, and the nodes treated each try as a new request. Each crash was logged as `event=attempt_ended outcome=lost
// next=refuse sends=1 may_have_run=1`, with nothing that identified the tries as the same request.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { runFleet } from './crashingFleet.ts'
import type { CrashingFleet, CrashingFleetOptions } from './crashingFleet.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('crashingRequest')

const CRASHING = 'crash'
const TRIES = 20
/** Number of upstreams that a request may crash before it is quarantined. */
const MAX_CRASHES = 3
const RUN_MS = 30
const EVENT = 'id: 1\ndata: x\n\n'
const CRASH_MS = 10

/** Upstreams that crash on a certain request body. */
function runWithRoute (route: RelayHarnessOptions['route'], run: (fleet: CrashingFleet) => Promise<void>): Promise<void> {
  const answer: CrashingFleetOptions['answer'] = ({ id, text, socket }, crash) => {
    if (text.endsWith(CRASHING)) setTimeout(crash, CRASH_MS)
    else setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`) }, RUN_MS)
  }
  return runFleet({ route: { timeoutMs: 1000, ...route }, answer }, run)
}

test('a request that crashed three upstreams does not reach a fourth, and concurrent requests are not quarantined', () => runWithRoute({ kind: RouteKind.STREAM, maxAttempts: 1 }, async ({ harness, crashes }) => {
  const refused: string[] = []
  const concurrent: string[] = []
  for (let index = 0; index < TRIES; index++) {
    const others = Array.from({ length: 4 }, (_item, number) => harness.submit(`beside${index}-${number}`, `text ${number}`))
    refused.push((await harness.submit(`try${index}`, CRASHING)).text)
    for (const { text } of await Promise.all(others)) concurrent.push(text)
  }
  assert.is(crashes.length, MAX_CRASHES)
  assert.match(refused.at(-1) ?? '', /^HTTP\/1\.1 503 .*requestQuarantined$/s)
  assert.is(concurrent.filter(text => text.includes('requestQuarantined')).length, 0)
  // All of them are served once the crashing request is quarantined.
  assert.ok(concurrent.slice(TRIES * 2).every(text => text.startsWith('HTTP/1.1 200')))
}))

test('a try with many allowed attempts crashes two upstreams, and the next try a third', () => runWithRoute({ kind: RouteKind.REPEATABLE, maxAttempts: 5 }, async ({ harness, crashes }) => {
  const counts: number[] = []
  for (let index = 0; index < 4; index++) {
    await harness.submit(`try${index}`, CRASHING)
    counts.push(crashes.length)
  }
  assert.equal(counts, [2, 3, 3, 3])
}))

test('one crash is counted once: after a failure at a second upstream the request still goes to a third', async () => {
  const crashing = new FakeUpstream(() => crashing.stop())
  const answers = ['500 Failed', '200 OK']
  const others = [0, 1].map(() => new FakeUpstream(socket => { socket.write(`HTTP/1.1 ${answers.shift()}\r\nId: a\r\nContent-Length: 4\r\n\r\nbody`) }))
  const harness = new RelayHarness({ upstreams: [crashing, ...others], route: { kind: RouteKind.REPEATABLE, maxAttempts: 3 } })
  try {
    await harness.start()
    assert.match((await harness.submit('a', 'text')).text, /^HTTP\/1\.1 200 /)
    assert.is(crashing.requestHeads.length, 1)
  } finally {
    harness.dispose()
  }
})

test.run()
