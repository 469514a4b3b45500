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
import type { JobUpdate, PieceCallOutcome, PlannedPiece } from '../common/plannedCall.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import type { PreparationCoordinatorOptions } from '../node/preparationCoordinator.ts'
import { createJob, createStage } from './fakes.ts'

const test = suite('preparationCoordinator')

/** Represents the connection of an owner. */
const LINK = {}

/** Computes every piece at once, and records the halls that were called and the handles that were freed. */
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

async function runWith (run: (parts: { readonly coordinator: PreparationCoordinator, readonly pieces: FakePieces, readonly updates: JobUpdate[], readonly advance: (ms: number) => Promise<void> }) => Promise<void>, options: Pick<PreparationCoordinatorOptions, 'maxPieces'> = {}): Promise<void> {
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  const pieces = new FakePieces()
  const updates: JobUpdate[] = []
  const work = { concurrentCalls: 1, maxPiecesPerCall: 4, callMs: 100, pieceMs: 10, resultRoomBytes: 1000, resultLifetimeMs: 4000 }
  const table = new RelayTable(create(RelaySchema, { roles: ['a', 'b'].map(name => ({ name, pieceWork: work })) }))
  const coordinator = new PreparationCoordinator({ clock, log: new LogService({ program: 'test', silent: true }), protocol: pieces, registry, getTable: () => table, ...options })
  for (const hall of ['x', 'y']) registry.update({ id: `a-${hall}`, role: 'a', address: '127.0.0.1:1', hall, slots: 1, isLeaving: false }, 'test')
  registry.update({ id: 'b-x', role: 'b', address: '127.0.0.1:2', hall: 'x', slots: 1, isLeaving: false }, 'test')
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 5) {
      clock.advance(5)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  await run({ coordinator, pieces, updates, advance })
  coordinator.dispose()
}

for (const order of [['release', 'report'], ['report', 'release']] as const) {
  test(`results are freed and the job is forgotten after ${order.join(' and ')} in this order`, () => runWith(async ({ coordinator, pieces, updates, advance }) => {
    coordinator.submit({ job: createJob('j', [createStage('a', 2)]), hall: '' }, update => updates.push(update))
    await advance(50)
    assert.is(updates.at(-1)?.kind, 'prepared')
    for (const step of order) {
      if (step === 'release') coordinator.release('j')
      else coordinator.report('j', { outcome: 'produced', producedMs: 10 })
    }
    await advance(50)
    assert.equal([...pieces.freed].sort(), ['j/0.0', 'j/0.1'])
    assert.not(coordinator.hasJob('j'))
  }))
}

test('a job that its owner releases before its end is forgotten at once', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '' }, update => updates.push(update))
  coordinator.release('j')
  assert.not(coordinator.hasJob('j'))
  await advance(50)
  assert.equal(updates, [])
  assert.equal(pieces.halls, [])
}))

// Guards against jobs whose pieces together take more memory than the process has; each alone is within the bound.
test('a job is refused while the pieces of all jobs exceed the bound, and nothing of it is kept', () => runWith(async ({ coordinator, updates, advance }) => {
  const submit = (id: string, count: number) => coordinator.submit({ job: createJob(id, [createStage('a', count)], { deadlineInMs: 60_000 }), hall: '' }, update => updates.push(update))
  submit('j', 60)
  submit('k', 60)
  assert.equal(updates.map(update => [update.jobId, update.kind]), [['k', 'refused']])
  assert.is(coordinator.pieceCount, 60)
  submit('l', 40)
  assert.is(coordinator.pieceCount, 100)
  coordinator.release('j')
  submit('m', 60)
  assert.is(coordinator.pieceCount, 100)
  await advance(10)
}, { maxPieces: 100 }))

test('the plan of a hall uses the upstreams of that hall only', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  for (const id of ['j', 'k', 'l']) coordinator.submit({ job: createJob(id, [createStage('a', 4)]), hall: 'y' }, update => updates.push(update))
  await advance(100)
  assert.is(updates.length, 3)
  assert.equal([...new Set(pieces.halls)], ['y'])
}))

test('a plan without upstreams refuses at once', () => runWith(async ({ coordinator, updates }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: 'z' }, update => updates.push(update))
  assert.ok(updates[0]?.kind === 'refused' && updates[0].refusal.reason === 'noUpstream')
}))

test('a draining coordinator moves jobs and their results to the next one', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 8), createStage('b', 1, [0], 5000)]), hall: '' }, update => updates.push(update))
  await advance(50)
  const computed = updates.flatMap(update => update.kind === 'made' ? update.pieces : [])
  assert.is(computed.length, 8)
  coordinator.drain()
  assert.is(updates.at(-1)?.kind, 'moved')
  assert.not(coordinator.hasJob('j'))
  await advance(50)
  assert.equal(pieces.freed, [])
}))

test('the jobs of a plan move to the coordinator that is responsible, and a later job starts a new plan', () => runWith(async ({ coordinator, updates, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('b', 1, [], 5000)]), hall: 'x' }, update => updates.push(update))
  coordinator.submit({ job: createJob('k', [createStage('a', 1, [], 5000)]), hall: 'y' }, update => updates.push(update))
  await advance(20)
  coordinator.movePlans(hall => hall === 'x')
  assert.equal(updates, [{ kind: 'moved', jobId: 'j' }])
  assert.ok(coordinator.hasJob('k'))
  coordinator.submit({ job: createJob('l', [createStage('b', 1)]), hall: 'x' }, update => updates.push(update))
  await advance(50)
  assert.is(updates.at(-1)?.kind, 'prepared')
}))

test('a draining coordinator accepts no job', () => runWith(async ({ coordinator, updates }) => {
  coordinator.drain()
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '' }, update => updates.push(update))
  assert.equal(updates, [{ kind: 'moved', jobId: 'j' }])
}))

test('the results of a job whose owner is unreachable are freed only after another coordinator must have used them', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  coordinator.submit({ job: createJob('j', [createStage('a', 1)]), hall: '', link: LINK }, update => updates.push(update))
  await advance(50)
  coordinator.detach('j', LINK)
  await advance(1000)
  assert.equal(pieces.freed, [])
  await advance(1000)
  assert.equal(pieces.freed, ['j/0.0'])
  assert.not(coordinator.hasJob('j'))
}))

test('the close of an old link does not detach a job that its owner submitted again over a new link', () => runWith(async ({ coordinator, updates, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  const [oldLink, newLink] = [{}, {}]
  coordinator.submit({ job, hall: '', link: oldLink }, () => {})
  coordinator.submit({ job, hall: '', link: newLink }, update => updates.push(update))
  coordinator.detach('j', oldLink)
  await advance(50)
  assert.is(updates.at(-1)?.kind, 'prepared')
}))

test('a job that its owner submits again continues with the results that the owner has', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  coordinator.submit({ job, hall: '', link: LINK }, update => updates.push(update))
  await advance(50)
  coordinator.detach('j', LINK)
  const carried = [{ stage: 0, index: 0, result: { handle: 'j/0.0', upstreamId: 'a-x' }, ageMs: 50 }]
  coordinator.submit({ job, hall: '', carried }, update => updates.push(update))
  await advance(2000)
  assert.equal(updates.map(update => update.kind), ['prepared', 'prepared'])
  assert.is(pieces.halls.length, 1)
  assert.equal(pieces.freed, [])
}))

test('an owner that submits a job again over a new link receives the updates that were lost on the stalled old link', () => runWith(async ({ coordinator, pieces, updates, advance }) => {
  const job = createJob('j', [createStage('a', 1)])
  coordinator.submit({ job, hall: '', link: {} }, () => {})
  await advance(50)
  const carried = [{ stage: 0, index: 0, result: { handle: 'j/0.0', upstreamId: 'a-x' }, ageMs: 50 }]
  coordinator.submit({ job, hall: '', link: LINK, carried }, update => updates.push(update))
  await advance(50)
  assert.equal(updates.map(update => update.kind), ['prepared'])
  assert.is(pieces.halls.length, 1)
}))

test.run()
