// Guards against a part of prompts that goes on crashing upstreams because its crashes are noticed late or not at all: 16 of 16
// requests reached an upstream. A run that had not ended a second after its first event counted as proof that the upstream
// works, and an address that accepts connections again as proof that it never crashed.
import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Emitter } from '../../../base/common/event.ts'
import { SeededRandom, drawBetween } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatEndedSubject } from '../../facts/common/fact.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { runFleet } from './crashingFleet.ts'
import type { CrashingFleet, FleetRequest } from './crashingFleet.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('unnoticedCrashes')

const CRASHING_PART = 'bad'
const TRIES = 16
const TRY_PERIOD_MS = 100
/** Crashes of a part after which requests with it are no longer sent, and further requests that may still reach upstreams. */
const MAX_CRASHES = 5
const MAX_LATE_REQUESTS = 3
/** Time that nodes have after the last allowed crash. */
const RECOVERY_MS = 3000
const EVENT = 'id: 1\ndata: x\n\n'
/** Room for more events than any upstream sends. */
const LENGTH = 1000 * EVENT.length
const CRASH_DELAY_MS = 10
const LATE_MS = 1400
/** Time from the head of a sound answer to its event. */
const SOUND_MS = 50
const BLOCK_AFTER_MS = 20

type CrashHandler = (request: FleetRequest & { readonly number: number }, crash: () => void) => void

interface ObservedRun {
  readonly id: string
  readonly at: number
}

/** Upstreams that crash on a part of a prompt, in the way of `handleCrashing`, and answer all else. */
class PartFleet {
  readonly reached: ObservedRun[] = []
  readonly crashTimes: number[] = []
  private readonly _servers: Server[] = []

  constructor (readonly fleet: CrashingFleet, private readonly _handleCrashing: CrashHandler) {}

  answer (request: FleetRequest, crash: () => void): void {
    const { id, text, socket } = request
    const parts = /^Parts: (.+)\r$/m.exec(text)?.[1]?.split(',').slice(0, -1) ?? []
    if (!parts.includes(CRASHING_PART)) {
      socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${EVENT.length}\r\n\r\n`)
      setTimeout(() => { if (!socket.destroyed) socket.write(EVENT) }, SOUND_MS)
      return
    }
    this.reached.push({ id, at: performance.now() })
    socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${LENGTH}\r\n\r\n${EVENT}`)
    this._handleCrashing({ ...request, number: Number(/\d+/.exec(id)?.[0]) }, () => {
      this.crashTimes.push(performance.now())
      crash()
    })
  }

  async submit (id: string, parts: readonly string[]): Promise<string> {
    return (await this.fleet.harness.submit(id, `body of ${id}`, `Parts: ${[...parts, `${id}-last`].join()}\r\n`)).text
  }

  /** Sends sound requests at each upstream's rate, so that some have always just begun there. */
  async submitSound (until: number): Promise<void> {
    const sent: Promise<string>[] = []
    for (let number = 0; performance.now() < until; number++) {
      sent.push(this.submit(`beside${number}`, ['popular', `other${number % SOUND_PARTS}`]))
      await waitFor(SOUND_PERIOD_MS)
    }
    const refused = (await Promise.all(sent)).filter(text => text.includes('requestQuarantined'))
    assert.is(refused.length, 0, 'sound requests are not quarantined')
  }

  /** One request with the crashing part and a sound one beside it; resolves when both have ended. */
  async submitPair (number: number): Promise<void> {
    const [, sound] = await Promise.all([this.submit(`try${number}`, ['popular', CRASHING_PART]), this.submit(`sound${number}`, ['popular', `other${number % 3}`])])
    assert.not.match(sound, /requestQuarantined/)
  }

  /** Another process begins to listen at the address of an upstream that crashed. */
  listenAt (port: number): void {
    this._servers.push(createServer(socket => socket.on('error', () => {}).resume()).listen(port, '127.0.0.1'))
  }

  countLate (): number {
    const allowedUntil = ([...this.crashTimes].sort((a, b) => a - b)[MAX_CRASHES - 1] ?? Infinity) + RECOVERY_MS
    return this.reached.filter(({ at }) => at > allowedUntil).length
  }

  dispose (): void {
    for (const server of this._servers) server.close()
  }
}

async function runParts (handleCrashing: (parts: PartFleet) => CrashHandler, run: (parts: PartFleet) => Promise<void>): Promise<void> {
  let parts: PartFleet | undefined
  await runFleet({ route: { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 6000 }, answer: (request, crash) => parts?.answer(request, crash) }, async fleet => {
    const created: PartFleet = new PartFleet(fleet, (request, crash) => handleCrashing(created)(request, crash))
    parts = created
    try {
      await run(created)
    } finally {
      created.dispose()
    }
  })
}

const waitFor = (ms: number) => new Promise<void>(resolve => { setTimeout(resolve, ms) })
/** Suspends this process, and with it the node. */
function blockFor (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}
const isOdd = (number: number) => number % 2 === 1

const ways: readonly (readonly [string, (parts: PartFleet) => CrashHandler])[] = [
  ['whose loss of the connection arrives late', () => ({ number }, crash) => setTimeout(crash, isOdd(number) ? CRASH_DELAY_MS : LATE_MS)],
  ['while the node is suspended', () => ({ number }, crash) => {
    if (isOdd(number)) setTimeout(crash, CRASH_DELAY_MS)
    else setTimeout(() => { setTimeout(crash, CRASH_DELAY_MS); blockFor(LATE_MS) }, BLOCK_AFTER_MS)
  }],
  ['whose last event is read after the node was suspended', () => ({ number, socket }, crash) => {
    if (isOdd(number)) setTimeout(crash, CRASH_DELAY_MS)
    else setTimeout(() => { socket.write(EVENT); setTimeout(crash, CRASH_DELAY_MS); blockFor(LATE_MS) }, BLOCK_AFTER_MS)
  }],
  ['whose address accepts connections again', parts => ({ socket }, crash) => {
    const port = socket.localPort ?? 0
    setTimeout(() => { crash(); parts.listenAt(port) }, CRASH_DELAY_MS)
  }]
]

for (const [name, handleCrashing] of ways) {
  test(`a part is quarantined for crashes ${name}`, () => runParts(handleCrashing, async parts => {
    for (let number = 0; number < TRIES; number++) {
      await parts.submitPair(number)
      await waitFor(TRY_PERIOD_MS)
    }
    assert.ok(parts.reached.length <= MAX_CRASHES + MAX_LATE_REQUESTS, `${parts.reached.length} reached upstreams`)
  }))
}

test('a run that was sent before a part was quarantined and ends late does not end the quarantine', () => runParts(() => ({ id }, crash) => setTimeout(crash, id.startsWith('late') ? LATE_MS : CRASH_DELAY_MS), async parts => {
  const submit = (id: string) => parts.submit(id, ['popular', CRASHING_PART])
  for (const id of ['try0', 'try1']) await submit(id)
  const late = ['late2', 'late3'].map(submit)
  await waitFor(TRY_PERIOD_MS / 5)
  await submit('try4')
  await Promise.all(late)
  for (let number = 5; number < 20; number++) {
    void submit(`late${number}`)
    await submit(`try${number}`)
    await waitFor(TRY_PERIOD_MS)
  }
  assert.ok(parts.reached.length <= MAX_CRASHES + MAX_LATE_REQUESTS, `${parts.reached.length} reached upstreams`)
}))

const MAX_PRODUCING_MS = 3000
const PRODUCING_TRIES = 48
const PRODUCING_PERIOD_MS = 250
const EVENT_PERIOD_MS = 100
const SOUND_PERIOD_MS = 10
const SOUND_PARTS = 7

test('a part is quarantined although upstreams produce for up to three seconds before they crash, and others begin there meanwhile', () => {
  const random = new SeededRandom(80)
  return runParts(() => ({ socket }, crash) => {
    const timer = setInterval(() => { if (socket.destroyed) clearInterval(timer); else socket.write(EVENT) }, EVENT_PERIOD_MS)
    setTimeout(() => { clearInterval(timer); crash() }, drawBetween(random, 0, MAX_PRODUCING_MS))
  }, async parts => {
    await parts.submitSound(performance.now() + PRODUCING_PERIOD_MS)
    const pairs = [parts.submitSound(performance.now() + PRODUCING_TRIES * PRODUCING_PERIOD_MS)]
    for (let number = 0; number < PRODUCING_TRIES; number++) {
      pairs.push(parts.submitPair(number))
      await waitFor(PRODUCING_PERIOD_MS)
    }
    await Promise.all(pairs)
    assert.ok(parts.countLate() <= MAX_LATE_REQUESTS, `${parts.countLate()} reached upstreams later than ${RECOVERY_MS} ms after crash ${MAX_CRASHES}`)
  })
})

// A node that was ready before its peers had answered sent what they had quarantined.
test('a node that starts sends no request with a part that its peers have quarantined', async () => {
  const facts = new FactStore(new SystemClock())
  const onDidJoin = new Emitter<void>()
  const upstream = new FakeUpstream(() => {})
  const harness = new RelayHarness({ upstreams: [upstream], route: { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 6000 }, facts, onDidJoin: onDidJoin.event })
  try {
    await harness.start()
    const answer = harness.submit('first', 'body', `Parts: popular,${CRASHING_PART},last\r\n`)
    await waitFor(TRY_PERIOD_MS)
    for (let number = 0; number < MAX_CRASHES; number++) {
      const run = { digest: `digest-${number}`, bodyBytes: 4, parts: [CRASHING_PART], isStarting: true, sentBeforeMs: 20 }
      const upstreamId = `crashed-${number}`
      facts.merge({ subject: formatEndedSubject(upstreamId, 'peer'), incarnation: 1, counter: 1, value: { kind: 'ended', upstream: upstreamId, runs: [run] }, ageMs: 1000 - number * TRY_PERIOD_MS })
    }
    onDidJoin.fire()
    assert.match((await answer).text, /^HTTP\/1\.1 503 .*requestQuarantined$/s)
    assert.is(upstream.requestHeads.length, 0)
  } finally {
    harness.dispose()
  }
})

test.run()
