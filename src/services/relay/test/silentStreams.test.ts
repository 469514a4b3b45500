/**
 * Streams whose upstreams fall silent for a while. A stream must not be cut before another upstream has taken over.
 */
import fc from 'fast-check'
import { Left, Right } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { IPreparationService, IPreparedInputs } from '../../preparation/common/preparationService.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'
import { EVENT_COUNT, PausableUpstream, isWholeStream, listEventIds } from './pausableUpstream.ts'
import type { PausableUpstreamOptions } from './pausableUpstream.ts'

const test = suite('silentStreams')

/** A stream has stalled after a pause of 100 ms; callers wait for 2 s. */
const route = { kind: RouteKind.STREAM, isResumable: true, maxAttempts: 2, maxPauseMs: 20, timeoutMs: 4000 }

/** Longer than the route's timeout. */
const MAX_RUN_MS = 6000

async function runWith (upstreams: readonly PausableUpstream[], options: Partial<RelayHarnessOptions>, run: (harness: RelayHarness) => Promise<void>): Promise<void> {
  const harness = new RelayHarness({ route, ...options, upstreams })
  let timer: NodeJS.Timeout | undefined
  const overdue = new Promise<void>((_resolve, reject) => { timer = setTimeout(() => reject(new Error('an answer did not end')), MAX_RUN_MS) })
  try {
    await harness.start()
    await Promise.race([run(harness), overdue])
  } finally {
    clearTimeout(timer)
    harness.dispose()
  }
}

function wait (delayMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, delayMs) })
}

function createUpstreams (count: number, options?: PausableUpstreamOptions): readonly PausableUpstream[] {
  return Array.from({ length: count }, () => new PausableUpstream(options))
}

/** Prepares results at once; for new ones the coordinator is asked. */
function createPreparation (prepareAgain: (inputs: IPreparedInputs) => ReturnType<IPreparedInputs['prepareAgain']>): IPreparationService {
  let isReleased = false
  const inputs: IPreparedInputs = {
    handles: ['h'],
    bytes: 1,
    get isReleased () { return isReleased },
    targetId: '',
    prefixSourceId: '',
    hall: '',
    report: () => {},
    release: () => { isReleased = true },
    prepareAgain: () => prepareAgain(inputs)
  }
  return { prepare: () => Promise.resolve(Right(inputs)) }
}

const preparedRoute = { ...route, stages: [{ role: 'p', after: [], resultBytes: 1 }] }
const PIECES_HEADER = 'Pieces: 1\r\n'

const obstacles: readonly (readonly [string, number, () => Partial<RelayHarnessOptions>, string])[] = [
  ['all upstreams are silent', 2, () => ({}), ''],
  ['no attempts are left', 2, () => ({ route: { ...route, maxAttempts: 1 } }), ''],
  ['the budget refuses a retry', 2, () => ({ retries: 0 }), ''],
  ['there is no other upstream', 1, () => ({}), ''],
  ['new results are refused', 2, () => ({ route: preparedRoute, preparation: createPreparation(() => Promise.resolve(Left({ reason: 'overloaded', retryAfterMs: 300 }))) }), PIECES_HEADER]
]

async function checkPausedStream (upstreams: readonly PausableUpstream[], options: Partial<RelayHarnessOptions>, headers: string, pauseMs: number): Promise<void> {
  await runWith(upstreams, options, async harness => {
    const answer = harness.call('a', headers)
    await wait(100)
    for (const upstream of upstreams) upstream.blockFor(pauseMs)
    assert.ok(isWholeStream((await answer).text), `paused for ${pauseMs} ms`)
  })
}

for (const [name, upstreamCount, createOptions, headers] of obstacles) {
  test(`a stream that pauses is whole although ${name}`, async () => {
    await Promise.all([500, 1500].map(pauseMs => checkPausedStream(createUpstreams(upstreamCount), createOptions(), headers, pauseMs)))
  })
}

/** Runs a stream whose upstream pauses beside one that keeps streaming to other callers. */
async function runBesideOthers (pauseMs: number, options: PausableUpstreamOptions, check: (text: string, paused: PausableUpstream, other: PausableUpstream) => void): Promise<void> {
  let isPausing = false
  const upstreams = createUpstreams(2, { answer: (socket, id) => isPausing && id === 'a' && options.answer?.(socket, id) === true })
  await runWith(upstreams, {}, async harness => {
    const others = Array.from({ length: 8 }, async (_, index) => { await wait(index * 120); return await harness.call(`b${index}`) })
    const answer = harness.call('a')
    await wait(100)
    const [paused, other] = upstreams[0]?.hasRequest('a') === true ? upstreams : [...upstreams].reverse()
    if (paused === undefined || other === undefined) throw new Error('expected two upstreams')
    isPausing = true
    paused.blockFor(pauseMs)
    const { text } = await answer
    check(text, paused, other)
    await Promise.all(others)
  })
}

test('a stream whose upstream alone is silent is resumed at one that speaks', () => runBesideOthers(3000, {}, (text, _, other) => {
  assert.ok(isWholeStream(text))
  assert.ok(other.requestHeads.some(head => /Id: a\r\n.*Last-Event-Id: \d/s.test(head)))
}))

const replacements: readonly (readonly [string, PausableUpstreamOptions])[] = [
  ['refuses it', { answer: socket => socket.write('HTTP/1.1 503 x\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n') }],
  ['fails', { answer: (socket, id) => socket.write(`HTTP/1.1 500 x\r\nId: ${id}\r\nContent-Length: 0\r\n\r\n`) }],
  ['closes the connection', { answer: socket => { socket.destroy(); return true } }]
]

for (const [name, options] of replacements) {
  test(`a silent upstream goes on with its stream if the one that should take over ${name}`, () => runBesideOthers(500, options, text => {
    assert.ok(isWholeStream(text))
  }))
}

test('a silent upstream that speaks before the one that should take over answers the caller, and the other is cancelled', () => runBesideOthers(190, { answer: () => true }, (text, paused, other) => {
  assert.ok(isWholeStream(text))
  assert.is(paused.requestHeads.filter(head => head.includes('Id: a\r\n')).length, 1)
  assert.ok(other.hasRequest('a'))
  assert.is(other.closedCount, 1)
}))

test('a node that stops lets a stream that has begun get its new results and resume', () => {
  let hasReset = false
  const upstreams = createUpstreams(2, {
    answer: socket => {
      if (!hasReset) setTimeout(() => socket.resetAndDestroy(), 90)
      hasReset = true
      return false
    }
  })
  const preparation = createPreparation(async inputs => { await wait(200); return Right(inputs) })
  return runWith(upstreams, { route: preparedRoute, preparation }, async harness => {
    const answer = harness.call('a', PIECES_HEADER)
    await wait(200)
    harness.server.refuseWaiting()
    assert.ok(isWholeStream((await answer).text))
  })
})

type Behaviour = 'stream' | 'pause' | 'reset' | 'fail' | 'refuse' | 'silence'

/** Returns an upstream that draws what it does from a list, request by request. */
function createErraticUpstream (behaviours: readonly Behaviour[]): PausableUpstream {
  let index = 0
  const upstream: PausableUpstream = new PausableUpstream({
    answer: (socket, id) => {
      const behaviour = behaviours[index++ % behaviours.length]
      if (behaviour === 'fail') return socket.write(`HTTP/1.1 500 x\r\nId: ${id}\r\nContent-Length: 0\r\n\r\n`)
      if (behaviour === 'refuse') return socket.write('HTTP/1.1 503 x\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n')
      if (behaviour === 'pause') setTimeout(() => upstream.blockFor(300), 80)
      if (behaviour === 'reset') setTimeout(() => socket.resetAndDestroy(), 90)
      return behaviour === 'silence'
    }
  })
  return upstream
}

test('every stream ends, and one that appears complete has each event once, whatever its upstreams do', async () => {
  const behaviour = fc.constantFrom<Behaviour>('stream', 'pause', 'reset', 'fail', 'refuse', 'silence')
  const cases = fc.sample(fc.array(fc.array(behaviour, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 3 }), { seed: 71, numRuns: 30 })
  await Promise.all(cases.map(async lists => {
    const upstreams = lists.map(behaviours => createErraticUpstream(behaviours))
    await runWith(upstreams, { route: { ...route, timeoutMs: 2000 } }, async harness => {
      const answers = await Promise.all(['a', 'b', 'c'].map(id => harness.call(id)))
      for (const { text } of answers) {
        const ids = listEventIds(text)
        const description = `${JSON.stringify(lists)}: ${ids.join()}`
        assert.equal(ids, ids.map((_, index) => index + 1), description)
        if (ids.length > 0 && text.endsWith('0\r\n\r\n')) assert.is(ids.length, EVENT_COUNT, description)
      }
    })
  }))
})

// A node that continues after a suspension runs its timers before it reads its connections.
test('a stream whose events wait in the connection of a suspended node has not stalled', async () => {
  const pauseTimeoutMs = 100
  const formatEvent = (id: number) => `id: ${id}\ndata: x\n\n`
  const upstreams = [0, 1].map(() => new FakeUpstream(socket => {
    socket.write(`HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: ${3 * formatEvent(1).length}\r\n\r\n${formatEvent(1)}`)
    setTimeout(() => {
      socket.write(formatEvent(2))
      for (const until = performance.now() + 8 * pauseTimeoutMs; performance.now() < until;);
      setTimeout(() => socket.write(formatEvent(3)), pauseTimeoutMs / 2)
    }, pauseTimeoutMs / 2)
  }))
  const harness = new RelayHarness({ route, upstreams })
  try {
    await harness.start()
    const { text } = await harness.call('a')
    assert.match(text, /^HTTP\/1\.1 200 [\s\S]*id: 3\n/)
    assert.is(upstreams.flatMap(({ requestHeads }) => requestHeads).length, 1, 'no other upstream takes over')
  } finally {
    harness.dispose()
  }
})

test.run()
