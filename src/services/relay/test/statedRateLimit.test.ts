// Guards against exceeding a stated rate limit: an upstream with a limit of one request per second received 14 requests
// within 4 s from nodes that knew the limit.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('statedRateLimit')

const LIMIT_PER_S = 5
const TRAFFIC_MS = 2000
const PERIOD_MS = 10
/** Time after which the relay knows the limit, which comes with the first answer. */
const LIMIT_KNOWN_MS = 500
const MS_PER_S = 1000

/** Answers each request and records its time of arrival. */
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

/** Sends a request every 10 ms for the given time; resolves with all answers. */
async function callRepeatedly (harness: RelayHarness, durationMs: number): Promise<readonly string[]> {
  const until = performance.now() + durationMs
  const answers: Promise<string>[] = []
  while (performance.now() < until) {
    answers.push(harness.call(`r${answers.length}-${durationMs}`).then(({ text }) => text))
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

test('an upstream is used up to the limit that it states, and the others get the remaining requests', () => runRelay([() => String(LIMIT_PER_S), () => undefined], async (harness, [limited]) => {
  const startedAt = performance.now()
  const answers = await callRepeatedly(harness, TRAFFIC_MS)
  const count = limited?.countAfter(startedAt + LIMIT_KNOWN_MS) ?? 0
  const perS = count / (TRAFFIC_MS - LIMIT_KNOWN_MS) * MS_PER_S
  assert.ok(perS <= LIMIT_PER_S * 1.5, `${perS} a second`)
  assert.ok(perS >= LIMIT_PER_S * 0.8, `${perS} a second`)
  assert.ok(answers.every(isServed))
}))

test('when all upstreams of a role are at their limits, further requests are refused at once', () => runRelay([() => String(LIMIT_PER_S), () => String(LIMIT_PER_S)], async (harness, upstreams) => {
  await callRepeatedly(harness, LIMIT_KNOWN_MS)
  const startedAt = performance.now()
  const answers = await callRepeatedly(harness, TRAFFIC_MS)
  const arrived = upstreams.reduce((sum, upstream) => sum + upstream.countAfter(startedAt), 0)
  assert.ok(arrived / TRAFFIC_MS * MS_PER_S <= 2 * LIMIT_PER_S * 1.5, `${arrived} arrived`)
  assert.is(answers.filter(isServed).length, arrived)
  assert.ok(answers.filter(text => !isServed(text)).every(text => text.startsWith('HTTP/1.1 503')))
  assert.ok(harness.completedRequests.filter(({ end }) => end.attempts === 0).every(({ elapsedMs }) => elapsedMs < 100))
}))

test('a limit of 0 is withdrawn by an answer that does not state a limit', async () => {
  let limit: string | undefined = '0'
  await runRelay([() => limit], async (harness, [limited]) => {
    await callRepeatedly(harness, LIMIT_KNOWN_MS)
    const startedAt = performance.now()
    await callRepeatedly(harness, TRAFFIC_MS)
    assert.ok((limited?.countAfter(startedAt) ?? 0) <= 1)
    limit = undefined
    await callRepeatedly(harness, TRAFFIC_MS * 2)
    assert.ok((await callRepeatedly(harness, LIMIT_KNOWN_MS)).every(isServed))
  })
})

test('an invalid rate has no effect, and is logged with the name of its header', () => runRelay([() => 'soon'], async harness => {
  assert.ok((await callRepeatedly(harness, LIMIT_KNOWN_MS)).every(isServed))
  assert.ok(harness.logLines.some(line => line.includes('event=statement_invalid') && line.includes('name=limit value=soon')))
}))

test.run()
