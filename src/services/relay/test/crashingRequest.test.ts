// A request ended each upstream that began to run it, 14 of them in one minute. No try reached two upstreams, so the
// bound on attempts never bit: the caller came back within half a second with a new id, at any node, and every node took
// the try for a new request. The logs showed one line such as `event=attempt_ended outcome=lost reason="stream broke
// off" next=refuse sends=1 may_have_run=1` at each end, and no two of them had anything in common by which a later try
// could have been told from a new request.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('crashingRequest')

const CRASHING = 'crash'
const UPSTREAMS = 6
const TRIES = 20
/** What one request may end before it is no longer sent. */
const MAX_CRASHES = 3
const RUN_MS = 30
const EVENT = 'id: 1\ndata: x\n\n'
const CRASH_MS = 10

/** Upstreams that a body ends, and new boots that take their place. */
class CrashingFleet {
  readonly crashes: string[] = []
  readonly harness: RelayHarness

  constructor (route: RelayHarnessOptions['route']) {
    this.harness = new RelayHarness({ upstreams: [], route: { timeoutMs: 1000, ...route } })
  }

  async start (): Promise<void> {
    await this.harness.start()
    for (let index = 0; index < UPSTREAMS; index++) await this._addUpstream()
  }

  private async _addUpstream (): Promise<void> {
    const upstream: FakeUpstream = new FakeUpstream((socket, head) => {
      const id = /^Id: (.+)\r$/m.exec(head)?.[1]
      if (head.endsWith(CRASHING)) setTimeout(() => this._endUpstream(upstream, boot), CRASH_MS)
      else setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`) }, RUN_MS)
    })
    const boot = await this.harness.addUpstream(upstream)
  }

  private _endUpstream (upstream: FakeUpstream, boot: string): void {
    if (this.crashes.includes(boot)) return
    this.crashes.push(boot)
    upstream.end()
    void this._addUpstream()
    // The list of upstreams tells of the end later.
    setTimeout(() => this.harness.registry.drop(boot, 'test'), RUN_MS * 5)
  }
}

async function runFleet (route: RelayHarnessOptions['route'], run: (fleet: CrashingFleet) => Promise<void>): Promise<void> {
  const fleet = new CrashingFleet(route)
  try {
    await fleet.start()
    await run(fleet)
  } finally {
    fleet.harness.dispose()
  }
}

test('a request that ended three upstreams reaches no fourth, and those beside it are never refused for it', () => runFleet({ kind: RouteKind.STREAM, maxAttempts: 1 }, async ({ harness, crashes }) => {
  const refused: string[] = []
  const beside: string[] = []
  for (let index = 0; index < TRIES; index++) {
    const others = Array.from({ length: 4 }, (_item, number) => harness.submit(`beside${index}-${number}`, `text ${number}`))
    refused.push((await harness.submit(`try${index}`, CRASHING)).text)
    for (const { text } of await Promise.all(others)) beside.push(text)
  }
  assert.is(crashes.length, MAX_CRASHES)
  assert.match(refused.at(-1) ?? '', /^HTTP\/1\.1 503 .*requestQuarantined$/s)
  assert.is(beside.filter(text => text.includes('requestQuarantined')).length, 0)
  // Once it is no longer sent, all of them are served.
  assert.ok(beside.slice(TRIES * 2).every(text => text.startsWith('HTTP/1.1 200')))
}))

test('a try that may go to many upstreams ends two of them, and the next one a third', () => runFleet({ kind: RouteKind.REPEATABLE, maxAttempts: 5 }, async ({ harness, crashes }) => {
  const counts: number[] = []
  for (let index = 0; index < 4; index++) {
    await harness.submit(`try${index}`, CRASHING)
    counts.push(crashes.length)
  }
  assert.equal(counts, [2, 3, 3, 3])
}))

test('one end is counted once: an upstream that fails after it leaves a further one to answer', async () => {
  const ending = new FakeUpstream(() => ending.end())
  const answers = ['500 Failed', '200 OK']
  const others = [0, 1].map(() => new FakeUpstream(socket => { socket.write(`HTTP/1.1 ${answers.shift()}\r\nId: a\r\nContent-Length: 4\r\n\r\nbody`) }))
  const harness = new RelayHarness({ upstreams: [ending, ...others], route: { kind: RouteKind.REPEATABLE, maxAttempts: 3 } })
  try {
    await harness.start()
    assert.match((await harness.submit('a', 'text')).text, /^HTTP\/1\.1 200 /)
    assert.is(ending.heads.length, 1)
  } finally {
    harness.dispose()
  }
})

test.run()
