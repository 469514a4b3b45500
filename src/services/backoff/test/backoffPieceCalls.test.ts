import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { FreeOptions, PieceCallOptions } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome } from '../../preparation/common/plannedCall.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { BackoffPieceCalls } from '../node/backoffPieceCalls.ts'
import { BackoffService } from '../node/backoffService.ts'

const test = suite('backoffPieceCalls')

const UPSTREAM: UpstreamEntry = { id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 8, isLeaving: false }
const BACKOFF_MS = 3000
const TERMS: PieceCallOptions = { timeoutMs: 100 }

/** Records the calls that were sent, and can request a backoff in its answers. */
class FakePieceProtocol extends PieceProtocol {
  readonly sentCalls: string[] = []
  backoffMs = 0

  runPieces (upstream: UpstreamEntry, _pieces: unknown, { onWillSend }: PieceCallOptions): Promise<PieceCallOutcome> {
    if (onWillSend?.() === false) return Promise.resolve({ kind: 'notRun', reason: 'withheld' })
    this.sentCalls.push('run')
    if (this.backoffMs === 0) return Promise.resolve({ kind: 'answered', pieces: [] })
    this._onDidReceiveStatement.fire({ upstream: upstream.id, statements: [{ kind: 'backoff', forMs: this.backoffMs }] })
    return Promise.resolve({ kind: 'notRun', reason: 'full' })
  }

  freeResults (_upstream: UpstreamEntry, handles: readonly string[], { onWillSend }: FreeOptions = {}): Promise<boolean> {
    if (onWillSend?.() === false) return Promise.resolve(false)
    this.sentCalls.push(`free ${handles.join(' ')}`)
    return Promise.resolve(true)
  }
}

function createParts () {
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  registry.update(UPSTREAM, 'test')
  const backoffs = new BackoffService({ clock, log: new LogService({ program: 'test', silent: true }), registry })
  const fake = new FakePieceProtocol()
  const pieces = new BackoffPieceCalls(fake, backoffs, clock)
  pieces.onDidReceiveStatement(({ upstream }) => backoffs.recordBackoff(upstream, fake.backoffMs))
  return { clock, registry, backoffs, fake, pieces }
}

/** Lets pending promise callbacks run. */
async function flushPromises (): Promise<void> {
  for (let count = 0; count < 20; count++) await Promise.resolve()
}

test('a call that is refused with a backoff returns its length, and no call is sent before it ends', async () => {
  const { clock, fake, pieces } = createParts()
  fake.backoffMs = BACKOFF_MS
  assert.equal(await pieces.runPieces(UPSTREAM, [], TERMS), { kind: 'notRun', reason: 'backingOff', retryInMs: BACKOFF_MS })
  clock.advance(1000)
  assert.equal(await pieces.runPieces(UPSTREAM, [], TERMS), { kind: 'notRun', reason: 'backingOff', retryInMs: BACKOFF_MS - 1000 })
  assert.equal(fake.sentCalls, ['run'])
})

test('results are freed together at the end of a backoff', async () => {
  const { clock, fake, pieces, backoffs } = createParts()
  backoffs.recordBackoff('u', BACKOFF_MS)
  const frees = [pieces.freeResults(UPSTREAM, ['a']), pieces.freeResults(UPSTREAM, ['b', 'c'])]
  clock.advance(BACKOFF_MS - 1)
  await flushPromises()
  assert.equal(fake.sentCalls, [])
  clock.advance(1)
  assert.equal(await Promise.all(frees), [true, true])
  assert.equal(fake.sentCalls, ['free a b c'])
})

test('results that cannot be freed for a long time are left to expire', async () => {
  const { fake, pieces, backoffs } = createParts()
  backoffs.recordBackoff('u', 60_000)
  assert.not(await pieces.freeResults(UPSTREAM, ['a']))
  assert.equal(fake.sentCalls, [])
})

test('a backoff ends when its upstream instance is removed', () => {
  const { registry, backoffs } = createParts()
  backoffs.recordBackoff('u', BACKOFF_MS)
  registry.remove('u', 'removed')
  assert.ok(backoffs.isEmpty)
  backoffs.recordBackoff('u', BACKOFF_MS)
  assert.ok(backoffs.isEmpty)
})

test('one caller retries at the end of the first backoff, and the others are spread over one second after its trial', () => {
  const { clock, backoffs } = createParts()
  clock.advance(1e6 / 7)
  backoffs.recordBackoff('u', BACKOFF_MS)
  const times = Array.from({ length: 3 }, () => backoffs.scheduleRetryAfter('r', [UPSTREAM]))
  assert.equal(times.map(Math.round), [BACKOFF_MS, BACKOFF_MS + 250, BACKOFF_MS + 300])
  clock.advance(1000 / 3)
  const later = Array.from({ length: 100 }, () => backoffs.scheduleRetryAfter('r', [UPSTREAM]))
  assert.ok(later.every(time => time >= BACKOFF_MS - 334 + 250 && time < BACKOFF_MS - 333 + 1250))
  assert.is(Math.max(...Array.from(new Set(later.map(Math.round)), time => later.filter(other => Math.round(other) === time).length)), 5)
  backoffs.recordBackoff('u', BACKOFF_MS)
  assert.is(Math.round(backoffs.scheduleRetryAfter('r', [UPSTREAM])), BACKOFF_MS)
})

test.run()
