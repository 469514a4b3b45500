/**
 * Guards against answers that end only when what their request waits for ends, which may be long after the timeout of the route:
 * callers got neither another event nor an end.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Emitter } from '../../../base/common/event.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { IQuotaService } from '../../quota/common/quota.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions, UpstreamScript } from './fakes.ts'

const test = suite('deadlines')

const TIMEOUT_MS = 400
/** What a request waits for ends this long after the timeout. */
const OVERDUE_MS = 1500
const MAX_LATE_MS = 150
const BEGUN_STREAM = 'HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid:1\n\r\n6\r\ndata:\n\r\n1\r\n\n\r\n'
const STREAM = { kind: RouteKind.STREAM, isResumable: true, maxAttempts: 2, timeoutMs: TIMEOUT_MS }

function waitTooLong<T> (result: T): Promise<T> {
  return new Promise(resolve => { setTimeout(() => resolve(result), TIMEOUT_MS + OVERDUE_MS) })
}

const SILENT_QUOTA: IQuotaService = {
  acquire: () => waitTooLong(true),
  isLimited: () => false,
  isUnconfirmed: () => false,
  getWaitMs: () => 0,
  scheduleRetryAfter: () => 0
}

interface HeldRequest {
  readonly name: string
  readonly script: UpstreamScript
  readonly options: Omit<RelayHarnessOptions, 'upstreams'>
  readonly headers?: string
  readonly isBegun?: boolean
  /** Requests that the upstream gets. */
  readonly sendCount: number
  readonly phase: string
}

const held: readonly HeldRequest[] = [
  { name: 'a preparation that does not end', script: answerWith(''), options: { route: { timeoutMs: TIMEOUT_MS, stages: [{ role: 'p', after: [], resultBytes: 1 }] }, preparation: { prepare: () => new Promise(() => {}) } }, headers: 'Pieces: 1\r\n', sendCount: 0, phase: 'preparing' },
  { name: 'a silent owner of a quota', script: answerWith(''), options: { route: { timeoutMs: TIMEOUT_MS }, quota: SILENT_QUOTA }, sendCount: 0, phase: 'selecting' },
  { name: 'the evidence of peers', script: answerWith(''), options: { route: { timeoutMs: TIMEOUT_MS }, onDidJoin: new Emitter<void>().event }, headers: 'Parts: p,q\r\n', sendCount: 0, phase: 'peers' },
  { name: 'a probe of an upstream without an answer', script: answerWith('HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nb', 'reset'), options: { route: { timeoutMs: TIMEOUT_MS }, probe: () => waitTooLong('accepted' as const) }, sendCount: 1, phase: 'recording' },
  { name: 'a probe of an upstream that broke a stream', script: answerWith(BEGUN_STREAM, 'reset'), options: { route: STREAM, probe: () => waitTooLong('accepted' as const) }, isBegun: true, sendCount: 1, phase: 'recording' },
  { name: 'a stream that stops', script: answerWith(BEGUN_STREAM), options: { route: STREAM }, isBegun: true, sendCount: 1, phase: 'attempt' }
]

for (const { name, script, options, headers = '', isBegun = false, sendCount, phase } of held) {
  test(`a request is answered at the timeout of its route while it waits for ${name}`, async () => {
    const upstream = new FakeUpstream(script)
    const harness = new RelayHarness({ ...options, upstreams: [upstream] })
    try {
      await harness.start()
      const startedAt = performance.now()
      const { text } = await harness.call('a', headers, TIMEOUT_MS + OVERDUE_MS)
      const tookMs = performance.now() - startedAt
      assert.ok(tookMs < TIMEOUT_MS + MAX_LATE_MS, `took ${Math.round(tookMs)} ms`)
      if (isBegun) assert.ok(text.startsWith('HTTP/1.1 200 ') && !text.endsWith('0\r\n\r\n'), text)
      else assert.match(text, sendCount === 0 ? /^HTTP\/1\.1 503 .*deadlinePassed$/s : /^HTTP\/1\.1 502 .*deadlinePassed$/s)
      assert.is(upstream.requestHeads.length, sendCount)
      assert.ok(harness.logLines.some(line => line.includes('deadline_passed') && line.includes(`phase=${phase} `)), harness.logLines.join('\n'))
      await new Promise(resolve => { setTimeout(resolve, OVERDUE_MS + 300) })
      // The answer stated whether the request ran, so nothing may be sent when the wait ends.
      assert.is(upstream.requestHeads.length, sendCount)
      assert.is(harness.server.activeRequestCount, name.includes('preparation') ? 1 : 0)
    } finally {
      harness.dispose()
    }
  })
}

test.run()
