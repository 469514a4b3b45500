// An upstream that stated a limit of one request a second got 14 requests within 4 s from nodes that knew it.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('statedRateLimit')

const PER_S = 5
const TRAFFIC_MS = 2000
const PERIOD_MS = 10
/** The limit is not known before its first answer. */
const KNOWN_MS = 500
const MS_PER_S = 1000

/** Answers each request, and keeps when it came. */
class CountingUpstream extends FakeUpstream {
  readonly arrivedAt: number[] = []

  constructor (getLimit: () => string | undefined) {
    super((socket, head) => {
      this.arrivedAt.push(performance.now())
      const limit = getLimit()
      const stated = limit === undefined ? '' : `Limit: ${limit}\r\n`
      socket.write(`HTTP/1.1 200 OK\r\nId: ${/^Id: (.+)\r$/m.exec(head)?.[1]}\r\n${stated}Content-Length: 4\r\n\r\nbody`)
    })
  }

  countAfter (at: number): number {
    return this.arrivedAt.filter(arrivedAt => arrivedAt >= at).length
  }
}

/** A caller sends one request after the other for some time; resolves with all answers. */
async function callFor (harness: RelayHarness, forMs: number): Promise<readonly string[]> {
  const until = performance.now() + forMs
  const answers: Promise<string>[] = []
  while (performance.now() < until) {
    answers.push(harness.call(`r${answers.length}-${forMs}`).then(({ text }) => text))
    await new Promise(resolve => { setTimeout(resolve, PERIOD_MS) })
  }
  return await Promise.all(answers)
}

async function runRelay (limits: readonly (() => string | undefined)[], run: (harness: RelayHarness, upstreams: readonly CountingUpstream[]) => Promise<void>): Promise<void> {
  const upstreams = limits.map(getLimit => new CountingUpstream(getLimit))
  const harness = new RelayHarness({ upstreams })
  try {
    await harness.start()
    await run(harness, upstreams)
  } finally {
    harness.dispose()
  }
}

const isServed = (text: string) => text.startsWith('HTTP/1.1 200')

test('an upstream gets close to the limit that it states and no more, and the others get the rest', () => runRelay([() => String(PER_S), () => undefined], async (harness, [limited]) => {
  const startedAt = performance.now()
  const answers = await callFor(harness, TRAFFIC_MS)
  const count = limited?.countAfter(startedAt + KNOWN_MS) ?? 0
  const perS = count / (TRAFFIC_MS - KNOWN_MS) * MS_PER_S
  assert.ok(perS <= PER_S * 1.5, `${perS} a second`)
  assert.ok(perS >= PER_S * 0.8, `${perS} a second`)
  assert.ok(answers.every(isServed))
}))

test('when all upstreams of a role are at their limits, what they do not accept is refused at once', () => runRelay([() => String(PER_S), () => String(PER_S)], async (harness, upstreams) => {
  await callFor(harness, KNOWN_MS)
  const startedAt = performance.now()
  const answers = await callFor(harness, TRAFFIC_MS)
  const arrived = upstreams.reduce((sum, upstream) => sum + upstream.countAfter(startedAt), 0)
  assert.ok(arrived / TRAFFIC_MS * MS_PER_S <= 2 * PER_S * 1.5, `${arrived} arrived`)
  assert.is(answers.filter(isServed).length, arrived)
  assert.ok(answers.filter(text => !isServed(text)).every(text => text.startsWith('HTTP/1.1 503')))
  assert.ok(harness.ended.filter(({ end }) => end.attempts === 0).every(({ elapsedMs }) => elapsedMs < 100))
}))

test('a limit of 0 is taken back with an answer that does not state it', async () => {
  let limit: string | undefined = '0'
  await runRelay([() => limit], async (harness, [limited]) => {
    await callFor(harness, KNOWN_MS)
    const startedAt = performance.now()
    await callFor(harness, TRAFFIC_MS)
    assert.ok((limited?.countAfter(startedAt) ?? 0) <= 1)
    limit = undefined
    await callFor(harness, TRAFFIC_MS * 2)
    assert.ok((await callFor(harness, KNOWN_MS)).every(isServed))
  })
})

test('a value that is no rate changes nothing, and is logged with its name', () => runRelay([() => 'soon'], async harness => {
  assert.ok((await callFor(harness, KNOWN_MS)).every(isServed))
  assert.ok(harness.lines.some(line => line.includes('event=statement_invalid') && line.includes('name=limit value=soon')))
}))

test.run()
