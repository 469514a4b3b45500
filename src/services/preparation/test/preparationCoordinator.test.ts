import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { VirtualClock } from '../../../base/common/clock.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { JobNews, PieceCallOutcome, PlannedPiece } from '../common/plannedCall.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { createJob, createStage } from './fakes.ts'

const test = suite('preparationCoordinator')

/** Stands for an owner's connection. */
const LINK = {}

/** Makes every piece at once and remembers what it was asked. */
class FakePieces extends PieceProtocol {
  readonly freed: string[] = []
  readonly halls: string[] = []

  runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    this.halls.push(upstream.hall)
    return Promise.resolve({ kind: 'answered', pieces: pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.stage}.${piece.index}` })) })
  }

  freeResults (_upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean> {
    this.freed.push(...handles)
    return Promise.resolve(true)
  }
}

async function runWith (run: (parts: { readonly coordinator: PreparationCoordinator, readonly pieces: FakePieces, readonly news: JobNews[], readonly advance: (ms: number) => Promise<void> }) => Promise<void>): Promise<void> {
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  const pieces = new FakePieces()
  const news: JobNews[] = []
  const work = { concurrentCalls: 1, maxPiecesPerCall: 4, callMs: 100, pieceMs: 10, resultRoomBytes: 1000, resultLifetimeMs: 4000 }
  const table = new RelayTable(create(RelaySchema, { roles: ['a', 'b'].map(name => ({ name, pieceWork: work })) }))
  const coordinator = new PreparationCoordinator({ clock, log: new LogService({ program: 'test', silent: true }), protocol: pieces, registry, getTable: () => table })
  for (const hall of ['x', 'y']) registry.update({ id: `a-${hall}`, role: 'a', address: '127.0.0.1:1', hall, slots: 1, isLeaving: false }, 'test')
  registry.update({ id: 'b-x', role: 'b', address: '127.0.0.1:2', hall: 'x', slots: 1, isLeaving: false }, 'test')
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 5) {
      clock.advance(5)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  await run({ coordinator, pieces, news, advance })
  coordinator.dispose()
}

for (const order of [['release', 'report'], ['report', 'release']] as const) {
  test(`results are given back and the job is forgotten when ${order.join(' and ')} come in this order`, () => runWith(async ({ coordinator, pieces, news, advance }) => {
    coordinator.submit({ job: createJob('j', [createStage('a', 2)]), hall: '' }, item => news.push(item))
    await advance(50)
    assert.is(news.at(-1)?.kind, 'prepared')
    for (const step of order) {
      if (step === 'release') coordinator.release('j')
      else coordinator.report('j', { outcome: 'produced', producedMs: 10 })
    }
    await advance(50)
    assert.equal([...pieces.freed].sort(), ['j/0.0', 'j/0.1'])
    assert.not(coordinator.holds('j'))
  }))
}

test('a job that its owner gives up before its end is forgotten at once', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '' }, item => news.push(item))
  coordinator.release('j')
  assert.not(coordinator.holds('j'))
  await advance(50)
  assert.equal(news, [])
  assert.equal(pieces.halls, [])
}))

test('the plan of a hall uses the upstreams of that hall only', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  for (const id of ['j', 'k', 'l']) coordinator.submit({ job: createJob(id, [createStage('a', 4)]), hall: 'y' }, item => news.push(item))
  await advance(100)
  assert.is(news.length, 3)
  assert.equal([...new Set(pieces.halls)], ['y'])
}))

test('a plan without upstreams refuses at once', () => runWith(async ({ coordinator, news }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: 'z' }, item => news.push(item))
  assert.ok(news[0]?.kind === 'refused' && news[0].refusal.reason === 'noUpstream')
}))

test('a coordinator that ends leaves jobs and their results to the next one', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 8), createStage('b', 1, [0], 5000)]), hall: '' }, item => news.push(item))
  await advance(50)
  const made = news.flatMap(item => item.kind === 'made' ? item.pieces : [])
  assert.is(made.length, 8)
  coordinator.moveJobs()
  assert.is(news.at(-1)?.kind, 'moved')
  assert.not(coordinator.holds('j'))
  await advance(50)
  assert.equal(pieces.freed, [])
}))

test('a plan that another coordinator should keep goes there, and what comes later starts a new one', () => runWith(async ({ coordinator, news, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('b', 1, [], 5000)]), hall: 'x' }, item => news.push(item))
  coordinator.submit({ job: createJob('k', [createStage('a', 1, [], 5000)]), hall: 'y' }, item => news.push(item))
  await advance(20)
  coordinator.moveJobsOf(hall => hall === 'x')
  assert.equal(news, [{ kind: 'moved', jobId: 'j' }])
  assert.ok(coordinator.holds('k'))
  coordinator.submit({ job: createJob('l', [createStage('b', 1)]), hall: 'x' }, item => news.push(item))
  await advance(50)
  assert.is(news.at(-1)?.kind, 'prepared')
}))

test('a coordinator that ends takes no job', () => runWith(async ({ coordinator, news }) => {
  coordinator.moveJobs()
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '' }, item => news.push(item))
  assert.equal(news, [{ kind: 'moved', jobId: 'j' }])
}))

test('the results of a job whose owner is out of reach are given back only when they must have been taken over', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '', link: LINK }, item => news.push(item))
  await advance(50)
  coordinator.detach('j', LINK)
  await advance(1000)
  assert.equal(pieces.freed, [])
  await advance(1000)
  assert.equal(pieces.freed, ['j/0.0'])
  assert.not(coordinator.holds('j'))
}))

test('the end of an old link does not take a job from the owner that came back over a new one', () => runWith(async ({ coordinator, news, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  const [oldLink, newLink] = [{}, {}]
  coordinator.submit({ job, hall: '', link: oldLink }, () => {})
  coordinator.submit({ job, hall: '', link: newLink }, item => news.push(item))
  coordinator.detach('j', oldLink)
  await advance(50)
  assert.is(news.at(-1)?.kind, 'prepared')
}))

test('an owner that comes back goes on with the results that it has', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  coordinator.submit({ job, hall: '', link: LINK }, item => news.push(item))
  await advance(50)
  coordinator.detach('j', LINK)
  const carried = [{ stage: 0, index: 0, result: { handle: 'j/0.0', upstreamId: 'a-x' }, ageMs: 50 }]
  coordinator.submit({ job, hall: '', carried }, item => news.push(item))
  await advance(2000)
  assert.equal(news.map(item => item.kind), ['prepared', 'prepared'])
  assert.is(pieces.halls.length, 1)
  assert.equal(pieces.freed, [])
}))

test('an owner that asks again over a new link is told what was said into the silence of the old one', () => runWith(async ({ coordinator, pieces, news, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  coordinator.submit({ job, hall: '', link: {} }, () => {})
  await advance(50)
  const carried = [{ stage: 0, index: 0, result: { handle: 'j/0.0', upstreamId: 'a-x' }, ageMs: 50 }]
  coordinator.submit({ job, hall: '', link: LINK, carried }, item => news.push(item))
  await advance(50)
  assert.equal(news.map(item => item.kind), ['prepared'])
  assert.is(pieces.halls.length, 1)
}))

test.run()
