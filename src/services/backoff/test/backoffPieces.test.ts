import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { FreeTerms, PieceCallTerms } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome } from '../../preparation/common/plannedCall.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { BackoffPieces } from '../node/backoffPieces.ts'
import { BackoffService } from '../node/backoffService.ts'

const test = suite('backoffPieces')

const UPSTREAM: UpstreamEntry = { id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 8, isLeaving: false }
const PAUSE_MS = 3000
const TERMS: PieceCallTerms = { timeoutMs: 100 }

/** Keeps what was written, and may state a pause with its answers. */
class FakePieces extends PieceProtocol {
  readonly written: string[] = []
  pauseMs = 0

  runPieces (upstream: UpstreamEntry, _pieces: unknown, { onWillSend }: PieceCallTerms): Promise<PieceCallOutcome> {
    if (onWillSend?.() === false) return Promise.resolve({ kind: 'notRun', reason: 'withheld' })
    this.written.push('run')
    if (this.pauseMs === 0) return Promise.resolve({ kind: 'answered', pieces: [] })
    this._onDidState.fire({ upstream: upstream.id, statements: [{ kind: 'backoff', forMs: this.pauseMs }] })
    return Promise.resolve({ kind: 'notRun', reason: 'full' })
  }

  freeResults (_upstream: UpstreamEntry, handles: readonly string[], { onWillSend }: FreeTerms = {}): Promise<boolean> {
    if (onWillSend?.() === false) return Promise.resolve(false)
    this.written.push(`free ${handles.join(' ')}`)
    return Promise.resolve(true)
  }
}

function createParts () {
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  registry.update(UPSTREAM, 'test')
  const backoffs = new BackoffService({ clock, log: new LogService({ program: 'test', silent: true }), registry })
  const fake = new FakePieces()
  const pieces = new BackoffPieces(fake, backoffs, clock)
  pieces.onDidState(({ upstream }) => backoffs.note(upstream, fake.pauseMs))
  return { clock, registry, backoffs, fake, pieces }
}

/** Lets all that waits for a promise go on. */
async function settle (): Promise<void> {
  for (let count = 0; count < 20; count++) await Promise.resolve()
}

test('a call that is turned away with a pause tells its length, and none is written within it', async () => {
  const { clock, fake, pieces } = createParts()
  fake.pauseMs = PAUSE_MS
  assert.equal(await pieces.runPieces(UPSTREAM, [], TERMS), { kind: 'notRun', reason: 'backingOff', retryInMs: PAUSE_MS })
  clock.advance(1000)
  assert.equal(await pieces.runPieces(UPSTREAM, [], TERMS), { kind: 'notRun', reason: 'backingOff', retryInMs: PAUSE_MS - 1000 })
  assert.equal(fake.written, ['run'])
})

test('results are given back together at the end of a pause', async () => {
  const { clock, fake, pieces, backoffs } = createParts()
  backoffs.note('u', PAUSE_MS)
  const frees = [pieces.freeResults(UPSTREAM, ['a']), pieces.freeResults(UPSTREAM, ['b', 'c'])]
  clock.advance(PAUSE_MS - 1)
  await settle()
  assert.equal(fake.written, [])
  clock.advance(1)
  assert.equal(await Promise.all(frees), [true, true])
  assert.equal(fake.written, ['free a b c'])
})

test('what cannot be given back for long is left to its lifetime', async () => {
  const { fake, pieces, backoffs } = createParts()
  backoffs.note('u', 60_000)
  assert.not(await pieces.freeResults(UPSTREAM, ['a']))
  assert.equal(fake.written, [])
})

test('a pause ends with its boot', () => {
  const { registry, backoffs } = createParts()
  backoffs.note('u', PAUSE_MS)
  registry.drop('u', 'removed')
  assert.ok(backoffs.isEmpty)
  backoffs.note('u', PAUSE_MS)
  assert.ok(backoffs.isEmpty)
})

test('callers whom nobody takes return one at the end of the first pause, and the others spread over a second after its trial', () => {
  const { clock, backoffs } = createParts()
  clock.advance(1e6 / 7)
  backoffs.note('u', PAUSE_MS)
  const times = Array.from({ length: 3 }, () => backoffs.scheduleReturn('r', [UPSTREAM]))
  assert.equal(times.map(Math.round), [PAUSE_MS, PAUSE_MS + 250, PAUSE_MS + 300])
  clock.advance(1000 / 3)
  const later = Array.from({ length: 100 }, () => backoffs.scheduleReturn('r', [UPSTREAM]))
  assert.ok(later.every(time => time >= PAUSE_MS - 334 + 250 && time < PAUSE_MS - 333 + 1250))
  assert.is(Math.max(...Array.from(new Set(later.map(Math.round)), time => later.filter(other => Math.round(other) === time).length)), 5)
  backoffs.note('u', PAUSE_MS)
  assert.is(Math.round(backoffs.scheduleReturn('r', [UPSTREAM])), PAUSE_MS)
})

test.run()
