// Guards against a throw that leaves a caller without any answer: an answer that was marked as ended before its head was written, and
// a run that waited for an attempt that had thrown.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { RetryBudget } from '../../retry/common/retryPolicy.ts'
import { FakeCallerProtocol, FakeUpstream, FakeUpstreamProtocol, RelayHarness, answerWith } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('thrownErrors')

const EVENT = 'id: 1\ndata: x\n\n'
const SERVED = `HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`
const FAILED = 'HTTP/1.1 500 Failed\r\nId: a\r\nContent-Length: 0\r\n\r\n'
/** Below the timeout of the route. */
const MAX_WAIT_MS = 1500

function fail (): never {
  throw new Error('defect')
}

class UnwritableHeaders extends FakeUpstreamProtocol {
  override readHead (...[head]: Parameters<FakeUpstreamProtocol['readHead']>): ReturnType<FakeUpstreamProtocol['readHead']> {
    return { kind: 'answer', isSuccess: head.status === 200, headers: [{ name: 'X Odd', value: '1' }] }
  }
}

function createUpstreamProtocol (changes: Partial<FakeUpstreamProtocol>): FakeUpstreamProtocol {
  return Object.assign(new FakeUpstreamProtocol(), changes)
}

interface Case {
  readonly name: string
  readonly answer?: string
  readonly expected?: RegExp
  readonly logged?: string
  readonly headers?: string
  readonly options?: Omit<RelayHarnessOptions, 'upstreams'>
  readonly upstream?: FakeUpstreamProtocol
  readonly caller?: FakeCallerProtocol
}

const OUTCOME_UNKNOWN = /^HTTP\/1\.1 502 .*outcomeUnknown$/s
const INTERNAL = /^HTTP\/1\.1 502 .*internal$/s

const CASES: readonly Case[] = [
  { name: 'the head of a served answer is written', upstream: new UnwritableHeaders(), expected: OUTCOME_UNKNOWN },
  { name: 'the head of a stream is written', upstream: new UnwritableHeaders(), options: { route: { kind: RouteKind.STREAM } }, expected: OUTCOME_UNKNOWN, logged: 'reason="stream ended early"' },
  { name: 'the head of a failed answer is written', answer: FAILED, upstream: new UnwritableHeaders() },
  { name: 'the headers of an attempt are created', upstream: createUpstreamProtocol({ createHeaders: fail }), expected: OUTCOME_UNKNOWN },
  { name: 'the head of an answer is read', upstream: createUpstreamProtocol({ readHead: fail }), expected: OUTCOME_UNKNOWN },
  { name: 'the statements of an upstream are read', upstream: createUpstreamProtocol({ readStatements: fail }), expected: OUTCOME_UNKNOWN },
  { name: 'a retry is decided', answer: FAILED, options: { route: { maxAttempts: 2 }, retry: Object.assign(new RetryBudget({ maxBalance: 1 }), { acquireRetry: fail }) } },
  { name: 'the request is prepared', headers: 'Pieces: 1\r\n', options: { route: { stages: [{ role: 'p', after: [], resultBytes: 1 }] }, preparation: { prepare: fail } } },
  { name: 'the request is read', caller: Object.assign(new FakeCallerProtocol(), { readRequest: fail }) },
  { name: 'the request is refused', answer: 'x', caller: Object.assign(new FakeCallerProtocol(), { createAnswer: fail }), expected: /^$/ }
]

for (const { name, answer = SERVED, expected = INTERNAL, logged = 'event=internal ', headers, options, upstream = new FakeUpstreamProtocol(), caller = new FakeCallerProtocol() } of CASES) {
  test(`a caller has its answer, or its connection is closed, if an error is thrown when ${name}`, async () => {
    const harness = new RelayHarness({ ...options, upstreams: [new FakeUpstream(answerWith(answer))], route: { maxAttempts: 1, ...options?.route }, protocols: { caller, upstream } })
    await harness.start()
    try {
      const received = await Promise.race([harness.call('a', headers), waitFor(MAX_WAIT_MS)])
      assert.match(received?.text ?? 'no answer', expected)
      assert.is(harness.server.activeRequestCount, 0)
      assert.ok(harness.logLines.some(line => line.includes(logged)), 'the error is logged')
    } finally {
      harness.dispose()
    }
  })
}

// An attempt in flight went on without a deadline, although its caller had been answered.
test('the upstream that works on a request is left when an error is thrown', async () => {
  const upstream = new FakeUpstream(() => {})
  const retry = Object.assign(new RetryBudget({ maxBalance: 1 }), { acquireRetry: fail })
  const harness = new RelayHarness({ upstreams: [upstream], route: { maxAttempts: 2, timeoutMs: 600, goalMs: 100 }, retry })
  await harness.start()
  try {
    assert.match((await harness.call('a', '', MAX_WAIT_MS)).text, INTERNAL)
    assert.ok(await waitUntil(() => upstream.closedCount === 1, MAX_WAIT_MS), 'the upstream goes on')
  } finally {
    harness.dispose()
  }
})

test.run()
