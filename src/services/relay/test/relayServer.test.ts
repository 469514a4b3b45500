import { Left } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PreparationJob } from '../../preparation/common/preparationJob.ts'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import { computeRemainingReturnMs } from '../../preparation/common/returnWindow.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions, UpstreamScript } from './fakes.ts'

const test = suite('relayServer')

const OK = 'HTTP/1.1 200 OK\r\nId: a\r\n'
const COMPLETE_ANSWER = `${OK}Content-Length: 4\r\n\r\nbody`
const EVENT_HEAD = `${OK}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`

function formatChunk (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

async function runWith (scripts: readonly UpstreamScript[], options: Partial<RelayHarnessOptions>, run: (harness: RelayHarness, upstreams: readonly FakeUpstream[]) => Promise<void>): Promise<void> {
  const upstreams = scripts.map(script => new FakeUpstream(script))
  const harness = new RelayHarness({ ...options, upstreams })
  try {
    await harness.start()
    await run(harness, upstreams)
  } finally {
    harness.dispose()
  }
}

test('a complete answer is forwarded unchanged', () => runWith([answerWith(COMPLETE_ANSWER)], {}, async harness => {
  const { text } = await harness.call('a')
  assert.match(text, /^HTTP\/1\.1 200 OK\r\n/)
  assert.match(text, /Content-Length: 4/)
  assert.ok(text.endsWith('\r\n\r\nbody'))
}))

const UNFRAMED = `${OK}Connection: close\r\n\r\nbo`

for (const httpVersion of ['1.0', '1.1']) {
  test(`a body that ends with its connection has a length for callers, so that the end of the node does not look like its end: HTTP/${httpVersion}`, () => runWith([answerWith(UNFRAMED, 'close')], {}, async harness => {
    const { text } = await harness.call('a', '', 0, httpVersion)
    assert.ok(text.endsWith('\r\n\r\nbo'))
    assert.match(text, /Content-Length: 2\r\n/i)
  }))

  test(`a large body keeps its length: HTTP/${httpVersion}`, () => runWith([answerWith(`${OK}Content-Length: 300000\r\n\r\n${'b'.repeat(300_000)}`)], {}, async harness => {
    const { text } = await harness.call('a', '', 0, httpVersion)
    assert.match(text, /Content-Length: 300000\r\n/i)
    assert.is(text.length - text.indexOf('\r\n\r\n') - 4, 300_000)
  }))
}

test('a stream without a length is forwarded in chunks, and ends in no other way than by the last one', async () => {
  let isWhole = true
  const answer: UpstreamScript = socket => {
    socket.write(`${OK}Connection: close\r\n\r\nid: 1\ndata: x\n\n`)
    if (isWhole) setTimeout(() => socket.end('id: 2\ndata: y\n\n'), 30)
  }
  await runWith([answer], { route: { kind: RouteKind.STREAM, maxAttempts: 1 } }, async harness => {
    const whole = await harness.call('a')
    assert.match(whole.text, /Transfer-Encoding: chunked/i)
    assert.match(whole.text, /data: x.*data: y.*\r\n0\r\n\r\n$/s)
    isWhole = false
    const cut = harness.call('a')
    setTimeout(() => harness.server.dispose(), 100)
    const { text } = await cut
    assert.match(text, /data: x/)
    assert.not.ok(text.endsWith('0\r\n\r\n'))
  })
})

test('a caller that does not know chunks gets a stream without a length as it is', () => runWith([answerWith(`${OK}Connection: close\r\n\r\nid: 1\ndata: x\n\n`, 'close')], { route: { kind: RouteKind.STREAM, maxAttempts: 1 } }, async harness => {
  const { text } = await harness.call('a', '', 0, '1.0')
  assert.ok(text.endsWith('\r\n\r\nid: 1\ndata: x\n\n'))
  assert.not.match(text, /chunked/i)
}))

for (const [name, kind, body] of [['a stream in chunks', RouteKind.STREAM, 'Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n'], ['a large answer with a length', RouteKind.REPEATABLE, `Content-Length: 300001\r\n\r\n${'x'.repeat(300_000)}`]] as const) {
  test(`${name} that breaks off does not look whole to a caller that knows no chunks`, () => runWith([answerWith(OK + body, 'reset')], { route: { kind, maxAttempts: 1 } }, async harness => {
    const { text, end } = await harness.call('a', '', 0, '1.0')
    assert.match(text, /^HTTP\/1\.1 200 (?!.*chunked).*x/is)
    const length = /Content-Length: (\d+)\r\n/i.exec(text)?.[1]
    if (length === undefined) assert.is(end, 'reset')
    else assert.ok(Number(length) > text.length - text.indexOf('\r\n\r\n') - 4)
  }))
}

const incompleteAnswers: readonly (readonly [string, UpstreamScript])[] = [
  ['a body without a length that ends in a reset', answerWith(UNFRAMED, 'reset')],
  ['a body shorter than its length', answerWith(`${OK}Content-Length: 9\r\n\r\nbody`, 'close')],
  ['a chunked body that ends early', answerWith(`${OK}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`, 'close')],
  ['an answer to another request', answerWith(COMPLETE_ANSWER.replace('Id: a', 'Id: b'))],
  ['bytes that are not an HTTP response', answerWith('nonsense\r\n\r\n', 'close')],
  ['no answer at all', socket => socket.destroy()]
]

for (const [name, script] of incompleteAnswers) {
  test(`${name} is an unknown outcome, and only a repeatable request is retried`, async () => {
    await runWith([script, script], {}, async (harness, upstreams) => {
      const { text } = await harness.call('a')
      assert.match(text, /^HTTP\/1\.1 502 .*outcomeUnknown$/s)
      assert.is(upstreams.reduce((sum, upstream) => sum + upstream.requestHeads.length, 0), 2)
    })
    await runWith([script, script], { route: { kind: RouteKind.UNREPEATABLE, maxAttempts: 2 } }, async (harness, upstreams) => {
      const { text } = await harness.call('a')
      assert.match(text, /^HTTP\/1\.1 502 .*outcomeUnknown$/s)
      assert.is(upstreams.reduce((sum, upstream) => sum + upstream.requestHeads.length, 0), 1)
    })
  })

  test(`${name} is replaced by the answer of another upstream`, () => runWith([script, answerWith(COMPLETE_ANSWER)], {}, async harness => {
    assert.ok((await harness.call('a')).text.endsWith('body'))
  }))
}

// Guards against a reset that the process reads together with the head, which then looks like the end of the answer.
test('a stream without a length that ends before its first event is an unknown outcome', () => runWith([
  answerWith(`${OK}Connection: close\r\n\r\n`, 'close')
], { route: { kind: RouteKind.STREAM } }, async harness => {
  assert.match((await harness.call('a')).text, /^HTTP\/1\.1 502 .*outcomeUnknown$/s)
}))

test('an additional answer after a complete one is discarded', () => runWith([answerWith(COMPLETE_ANSWER + COMPLETE_ANSWER.replace('Id: a', 'Id: z'))], {}, async harness => {
  assert.ok((await harness.call('a')).text.endsWith('body'))
  const { text } = await harness.call('a')
  assert.not.match(text, /Id: z/)
}))

test('additional bytes after a complete answer are ignored', () => runWith([answerWith(`${COMPLETE_ANSWER}garbage`)], {}, async harness => {
  const { text } = await harness.call('a')
  assert.ok(text.endsWith('\r\n\r\nbody'))
}))

test('a request that upstreams refused is reported as not run, also if it is not repeatable', () => runWith(
  [answerWith('HTTP/1.1 503 Busy\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n')],
  { route: { kind: RouteKind.UNREPEATABLE, maxAttempts: 1 } },
  async harness => assert.match((await harness.call('a')).text, /^HTTP\/1\.1 503 /)
))

test('an error response of the upstream is forwarded if the request must not run again', () => runWith(
  [answerWith('HTTP/1.1 500 Failed\r\nId: a\r\nContent-Length: 3\r\n\r\nbad')],
  { route: { kind: RouteKind.UNREPEATABLE, maxAttempts: 1 } },
  async harness => {
    const { text } = await harness.call('a')
    assert.match(text, /^HTTP\/1\.1 500 /)
    assert.ok(text.endsWith('bad'))
  }
))

test('a request is refused when the timeout of its route has passed', () => runWith([() => {}], { route: { timeoutMs: 200, maxAttempts: 1 } }, async harness => {
  const startedAt = performance.now()
  assert.match((await harness.call('a')).text, /^HTTP\/1\.1 502 .*deadlinePassed$/s)
  assert.ok(performance.now() - startedAt < 400)
}))

test('when a caller disconnects, its request at the upstream is cancelled', () => runWith([() => {}], {}, async (harness, upstreams) => {
  await harness.call('a', '', 100)
  await new Promise(resolve => { setTimeout(resolve, 100) })
  assert.is(upstreams[0]?.closedCount, 1)
  assert.is(harness.completedRequests[0]?.end.result, 'cancelled')
}))

/** Preparation that only ends when it is aborted. */
const blockingPreparation: IPreparationService = {
  prepare: (_job, signal) => new Promise(resolve => { signal.addEventListener('abort', () => resolve(Left({ reason: 'interrupted', retryAfterMs: 0 }))) })
}

test('a stopping node refuses waiting requests as not run, and completes those that were sent', () => runWith([
  socket => { setTimeout(() => socket.write(COMPLETE_ANSWER.replace('Id: a', 'Id: b')), 100) }
], { route: { stages: [{ role: 'p', after: [], resultBytes: 1 }] }, preparation: blockingPreparation }, async (harness, upstreams) => {
  const waiting = harness.call('a', 'Pieces: 1\r\n')
  const sent = harness.call('b')
  while (upstreams[0]?.requestHeads.length !== 1 || harness.server.activeRequestCount < 2) await new Promise(resolve => { setTimeout(resolve, 5) })
  harness.server.refuseWaiting()
  assert.match((await waiting).text, /^HTTP\/1\.1 503 .*gateDraining$/s)
  assert.match((await sent).text, /^HTTP\/1\.1 200 .*body$/s)
}))

for (const handlesContention of [true, false]) {
  test(`with contention ${handlesContention ? 'on, a job states that its caller returns within a third of its own time' : 'off, a job has no new field'}`, async () => {
    const jobs: PreparationJob[] = []
    const preparation: IPreparationService = { prepare: job => { jobs.push(job); return Promise.resolve(Left({ reason: 'overloaded', retryAfterMs: 250, isReserved: true })) } }
    await runWith([answerWith('')], { handlesContention, preparation, route: { patienceMs: 90, stages: [{ role: 'p', after: [], resultBytes: 1 }] } }, async harness => {
      for (const id of ['first', 'second']) assert.match((await harness.call(id, 'Time: 1500\r\nPieces: 2\r\n')).text, /^HTTP\/1\.1 503 /)
    })
    const [first, second] = jobs
    assert.ok(first && second)
    if (!handlesContention) return assert.not('returnKey' in first || 'returnWithinMs' in first)
    const { returnKey, returnWithinMs = 0 } = first
    assert.ok(returnKey !== undefined && returnKey === second.returnKey && returnWithinMs <= 500 && returnWithinMs > 400)
    assert.is(computeRemainingReturnMs(500, 300), 400, 'the caller has lost a third of the time that has passed')
  })
}

test('while upstreams refuse most requests, only some inputs are prepared, and all once upstreams accept again', () => {
  let unrun: string | undefined = 'invalid'
  let jobCount = 0
  const preparation: IPreparationService = { prepare: () => { jobCount++; return Promise.resolve(Left({ reason: 'noUpstream', retryAfterMs: 0 })) } }
  const answerRequest: UpstreamScript = (socket, head) => answerWith(unrun === undefined ? COMPLETE_ANSWER : `HTTP/1.1 503 x\r\nUnrun: ${unrun}\r\nContent-Length: 0\r\n\r\n`)(socket, head)
  const submit = async (harness: RelayHarness, headers = '') => { for (let index = 0; index < 20; index++) await harness.call('a', headers) }
  return runWith([answerRequest], { preparation, route: { stages: [{ role: 'p', after: [], resultBytes: 1 }] } }, async harness => {
    await submit(harness)
    await submit(harness, 'Pieces: 1\r\n')
    assert.is(jobCount, 20, 'requests that are refused as invalid do not count')
    unrun = 'full'
    jobCount = 0
    await submit(harness)
    await submit(harness, 'Pieces: 1\r\n')
    assert.ok(jobCount < 20 && jobCount > 0, `${jobCount} prepared`)
    assert.ok(harness.logLines.some(line => line.includes('accepted 0 of the last')))
    unrun = undefined
    await submit(harness)
    jobCount = 0
    await submit(harness, 'Pieces: 1\r\n')
    assert.is(jobCount, 20)
  })
})

test('a node that is about to stop refuses new requests', () => runWith([answerWith(COMPLETE_ANSWER)], {}, async (harness, upstreams) => {
  harness.server.refuseNew()
  assert.match((await harness.call('a')).text, /^HTTP\/1\.1 503 .*gateDraining$/s)
  assert.is(upstreams[0]?.requestHeads.length, 0)
}))

const stream = { kind: RouteKind.STREAM, maxAttempts: 2, isResumable: true }

test('a stream is forwarded in complete events, and resumes at another upstream after its last one', () => runWith([
  socket => {
    socket.write(EVENT_HEAD + formatChunk('id: 1\ndata: x\n\n') + formatChunk('id: 2\nda'), () => { setTimeout(() => socket.resetAndDestroy(), 30) })
  },
  (socket, head) => {
    assert.match(head, /Last-Event-Id: 1\r\n/)
    socket.write(EVENT_HEAD + formatChunk('id: 2\ndata: y\n\n') + formatChunk(''))
  }
], { route: stream }, async harness => {
  const { text } = await harness.call('a')
  const events = [...text.matchAll(/id: (\d)\ndata: (\w)\n\n/g)].map(match => `${match[1]}${match[2]}`)
  assert.equal(events, ['1x', '2y'])
  assert.ok(text.endsWith('0\r\n\r\n'))
}))

test('a stream that cannot be resumed is aborted, never ended as complete', () => runWith([
  socket => { socket.write(EVENT_HEAD + formatChunk('id: 1\ndata: x\n\n'), () => { setTimeout(() => socket.resetAndDestroy(), 30) }) }
], { route: { kind: RouteKind.STREAM, maxAttempts: 2 } }, async harness => {
  const { text } = await harness.call('a')
  assert.match(text, /data: x/)
  assert.not.ok(text.endsWith('0\r\n\r\n'))
}))

test('a stream whose last attempt ends before it resumes is aborted, whatever ended it', async () => {
  const begin: UpstreamScript = socket => { socket.write(EVENT_HEAD + formatChunk('id: 1\ndata: x\n\n'), () => { setTimeout(() => socket.resetAndDestroy(), 30) }) }
  const error = 'HTTP/1.1 500 x\r\nId: a\r\nContent-Length: 0\r\n\r\n'
  const refusal = 'HTTP/1.1 503 x\r\nUnrun: invalid\r\nContent-Length: 0\r\n\r\n'
  const endings: readonly UpstreamScript[] = [answerWith(error), answerWith(refusal), socket => socket.destroy()]
  for (const ending of endings) {
    await runWith([begin, ending], { route: stream }, async harness => {
      const { text } = await harness.call('a')
      assert.match(text, /data: x/)
      assert.not.ok(text.endsWith('0\r\n\r\n'))
      assert.is(harness.completedRequests[0]?.end.result, 'answerTorn')
    })
  }
})

test('a request without a valid customer key is refused and not sent', () => runWith([answerWith(COMPLETE_ANSWER)], { customers: [{ name: 'c', keySha256: ['0'.repeat(64)] }] }, async (harness, upstreams) => {
  assert.match((await harness.call('a', 'Key: wrong\r\n')).text, /^HTTP\/1\.1 502 .*keyWrong$/s)
  assert.is(upstreams[0]?.requestHeads.length, 0)
}))

test('the log lines with the id of a request state why it failed', () => runWith([socket => socket.resetAndDestroy()], { route: { kind: RouteKind.UNREPEATABLE, maxAttempts: 1 } }, async harness => {
  await harness.call('a')
  const lines = harness.logLines.filter(line => line.includes('request=a '))
  assert.is(lines.length, 2)
  assert.match(lines[0] ?? '', /event=attempt_ended request=a upstream=u0 role=u outcome=lost reason="(?:read ECONNRESET|socket hang up)" next=refuse sends=1 may_have_run=1 left_ms=\d+ digest=[0-9a-f]{32} answer=none output_ms=0 shared_parts=""$/)
  assert.match(lines[1] ?? '', /event=request_refused request=a code=304 result=outcomeUnknown reason="[^"]+" place=u not_run=false retry_after_ms=0 configuration="1\.7 for 20 ms"$/)
}))

test.run()
