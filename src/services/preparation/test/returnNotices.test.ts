// Guards against refusing callers that returned at their reserved time, because their return was admitted by another plan.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Emitter } from '../../../base/common/event.ts'
import { DisposableStore } from '../../../base/common/disposable.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { listPlans } from '../common/coordinatorChoice.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PieceCallOutcome } from '../common/plannedCall.ts'
import type { PreparationJob, ReturnNotice } from '../common/preparationJob.ts'
import { ReturnNotices } from '../common/returnNotices.ts'
import { CoordinatorLinks } from '../node/coordinatorLinks.ts'
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { createJob, createPlanner, createStage, WORK } from './fakes.ts'

const test = suite('returnNotices')
const log = new LogService({ program: 'test', silent: true })
const ADDRESS = '127.0.0.1:1'
const CALLER = { returnKey: 'k', returnWithinMs: 5000, deadlineInMs: 1400 }

/** No call ends, so that queues shrink only when jobs are released. */
class BusyPieces extends PieceProtocol {
  runPieces (): Promise<PieceCallOutcome> { return new Promise(() => {}) }
  freeResults (): Promise<boolean> { return Promise.resolve(true) }
}

function createCallerJob (id: string, options: Partial<PreparationJob> = {}): PreparationJob {
  return createJob(id, [createStage('a', 4)], { ...CALLER, ...options })
}

/** Two owners whose jobs are planned by one coordinator, in two halls. */
class FakeNodes extends DisposableStore {
  readonly clock = new VirtualClock()
  readonly lines: string[] = []
  readonly halls: readonly string[]
  readonly coordinator: PreparationCoordinator
  readonly owners: readonly PreparationClient[]

  constructor () {
    super()
    const { clock } = this
    const recordedLog = new LogService({ program: 'test', silent: true })
    recordedLog.onDidLog(({ line }) => this.lines.push(line))
    const registry = new UpstreamRegistry()
    for (const id of ['x0', 'x1', 'y0', 'y1']) registry.update({ id, role: 'a', address: '127.0.0.1:2', hall: id.charAt(0), slots: 1, isLeaving: false }, 'test')
    this.halls = listPlans(registry.list(), CALLER.returnKey)
    const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
    const parts = { clock, log: recordedLog, registry, protocol: new BusyPieces() }
    this.coordinator = this.add(new PreparationCoordinator({ ...parts, getTable: () => table, handlesContention: true }))
    this.owners = [0, 1].map(() => this.add(new PreparationClient({
      ...parts,
      coordinator: this.coordinator,
      links: this.add(new CoordinatorLinks({ clock, log })),
      address: ADDRESS,
      isMembershipKnown: () => true,
      onDidReceiveMembers: new Emitter<void>().event,
      listCoordinators: () => [{ address: ADDRESS, hall: '', incarnation: 1, weight: 1 }],
      listPieceUpstreams: () => registry.list()
    })))
  }

  /** Lets time pass after the first arrivals, since the usual rate is not known before. */
  recordUsualRate (): void {
    for (const hall of this.halls) {
      this.addJobs(hall, [`first in ${hall}`])
      this.coordinator.release(`first in ${hall}`)
    }
    this.clock.advance(30_000)
  }

  /** Submits jobs of other callers to the plan of a hall. */
  addJobs (hall: string, names: readonly string[]): void {
    for (const name of names) this.coordinator.submit({ job: createCallerJob(name, { returnKey: undefined, deadlineInMs: 20_000 }), hall }, () => {})
  }
}

function listNames (prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`)
}

test('a caller that returns through another node is admitted by the plan that has its reservation, although one that is asked before it could admit it too', async () => {
  const nodes = new FakeNodes()
  const { coordinator, clock, halls: [first = '', second = ''], owners: [owner, other] } = nodes
  nodes.recordUsualRate()
  const earlier = listNames('e', 20)
  nodes.addJobs(first, earlier)
  nodes.addJobs(second, listNames('l', 16))
  const refusal = (await owner?.prepare(createCallerJob('1'), new AbortController().signal))?.swap().toMaybe().extract()
  assert.equal({ ...refusal, retryAfterMs: 0 }, { reason: 'overloaded', retryAfterMs: 0, isReserved: true }, nodes.lines.join('\n'))
  for (const name of earlier) coordinator.release(name)
  clock.advance(refusal?.retryAfterMs ?? 0)
  void other?.prepare(createCallerJob('2'), new AbortController().signal)
  assert.is(coordinator.returnCounts.kept, 1, nodes.lines.join('\n'))
  assert.ok(nodes.lines.some(line => line.includes('event=return_kept') && line.includes(`hall=${second}`)))
  nodes.dispose()
})

test('a plan declines an offer with a notice once, from 100 ms before the time of return to 400 ms after it', () => {
  const offer = (now: number, isOffer = true) => {
    const planner = createPlanner({ upstreams: { a: 1 }, hasContention: true })
    planner.addReturnNotice({ key: 'k', returnInMs: 500 }, 0)
    return ['1', '2'].map(id => planner.addJob(createCallerJob(id), now, { isOffer }))
  }
  const declined = [{ reason: 'late', endInMs: 240, isReservedElsewhere: true }, undefined]
  const admitted = [undefined, undefined]
  assert.equal([399, 400, 900, 901].map(now => offer(now)), [admitted, declined, declined, admitted])
  assert.equal(offer(500, false), admitted)
})

test('the latest 1,000 notices are kept, and of two for the same caller the later time', () => {
  const notices = new ReturnNotices()
  for (let index = 0; index < 1001; index++) notices.add({ key: String(index), returnInMs: 500 }, 0)
  notices.add({ key: '1', returnInMs: 100 }, 0)
  assert.equal(['0', '1', '2'].map(key => notices.take(key, 600)), [false, true, true])
})

test('a notice reaches the coordinator of another node', async () => {
  const store = new DisposableStore()
  const received = new Promise<readonly unknown[]>(resolve => {
    class RecordingCoordinator extends PreparationCoordinator {
      override addReturnNotice (hall: string, { key, returnInMs }: ReturnNotice): void { resolve([hall, key, returnInMs]) }
    }
    const clock = new VirtualClock()
    const coordinator = store.add(new RecordingCoordinator({ clock, log, registry: new UpstreamRegistry(), protocol: new BusyPieces(), getTable: () => undefined }))
    const server = store.add(new PreparationServer(coordinator, log))
    const links = store.add(new CoordinatorLinks({ clock, log }))
    void server.listen('127.0.0.1', 0)
      .then(port => links.connect(`127.0.0.1:${port}`))
      .then(link => link?.send({ kind: 'returnNotice', hall: 'x', key: 'k', returnInMs: 300 }))
  })
  assert.equal(await received, ['x', 'k', 300])
  store.dispose()
})

test.run()
