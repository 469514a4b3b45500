// Guards against refusing callers that returned at their reserved time, because the plan with the reservation moved to another node.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DisposableStore } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { LogService } from '../../log/node/logger.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import type { ReservationEntry } from '../common/preparationJob.ts'
import { IssuedReservations } from '../common/issuedReservations.ts'
import { CoordinatorLinks } from '../node/coordinatorLinks.ts'
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import type { JobListener, JobSubmission } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { addReturningJob, ReturnLog } from '../node/returnLog.ts'
import { createJob, createStage } from './fakes.ts'

const test = suite('reservationTransfer')
const clock = new SystemClock()
const log = new LogService({ program: 'test', silent: true })
const registry = new UpstreamRegistry()
for (const id of ['x0', 'x1', 'y0', 'y1']) registry.update({ id, role: 'a', address: '127.0.0.1:2', hall: id.charAt(0), slots: 1, isLeaving: false }, 'test')
const options = { clock, log, registry, protocol: {} as PieceProtocol, getTable: () => undefined, isMembershipKnown: () => true, onDidReceiveMembers: new Emitter<void>().event, listPieceUpstreams: () => registry.list() }
const OWN_ADDRESS = '127.0.0.1:1'
const PIECES = [{ role: 'a', count: 3 }]
const ADOPTED = ['adopt', 'k', PIECES]

/** Refuses each new caller with a reservation, and admits those that have one. */
class FakeCoordinator extends PreparationCoordinator {
  readonly steps: unknown[] = []
  private readonly _reserved = new Set<string>()

  override adoptReservations (_hall: string, entries: readonly ReservationEntry[]): void {
    for (const { key, pieces } of entries) this.steps.push(['adopt', key, pieces])
    for (const { key } of entries) this._reserved.add(key)
  }

  override submit ({ job: { id: jobId, returnKey = '' }, hall }: JobSubmission, listener: JobListener): void {
    this.steps.push(returnKey)
    if (this._reserved.delete(returnKey)) return listener({ kind: 'prepared', jobId, results: [], targetId: '', prefixSourceId: '', hall, times: { queuedMs: 0, madeMs: 0, betweenMs: 0 } })
    this._reserved.add(returnKey)
    listener({ kind: 'refused', jobId, refusal: { reason: 'overloaded', retryAfterMs: 300, isReserved: true } })
  }
}

class FakeNode extends DisposableStore {
  readonly coordinator = this.add(new FakeCoordinator(options))
  readonly links = this.add(new CoordinatorLinks({ clock, log }))
  readonly server = this.add(new PreparationServer(this.coordinator, log))
  private readonly _client = this.add(new PreparationClient({ ...options, coordinator: this.coordinator, links: this.links, address: OWN_ADDRESS, listCoordinators: () => [...this._addresses, OWN_ADDRESS].map((address, incarnation) => ({ address, hall: '', incarnation, weight: 1 })) }))

  constructor (private readonly _addresses: readonly string[]) { super() }

  /** Submits one try of the same caller; resolves with whether it was admitted. */
  call = async (id: string) => (await this._client.prepare(createJob(id, [createStage('a', 1), createStage('a', 2)], { returnKey: 'k', returnWithinMs: 400 }), new AbortController().signal)).isRight()
}

/** The first two nodes coordinate, in this order; the others choose themselves if both are lost. */
async function runWithNodes (run: (nodes: readonly [FakeNode, FakeNode, FakeNode, FakeNode], addresses: readonly string[]) => Promise<void>): Promise<void> {
  const addresses: string[] = []
  const nodes = [0, 1, 2, 3].map(() => new FakeNode(addresses)) as [FakeNode, FakeNode, FakeNode, FakeNode]
  for (const { server } of nodes.slice(0, 2)) addresses.push(`127.0.0.1:${await server.listen('127.0.0.1', 0)}`)
  await run(nodes, addresses).finally(() => { for (const node of nodes) node.dispose() })
}

test('the next coordinator gets the reservations of a lost one, over an open link or before the next job', () => runWithNodes(async ([first, second, owner], [, next = '']) => {
  assert.not(await owner.call('1'))
  assert.equal(first.coordinator.steps, ['k'], 'a refusal with a reservation is final')
  await owner.links.connect(next)
  first.dispose()
  for (let turn = 0; turn < 1000 && second.coordinator.steps.length === 0; turn++) await new Promise(resolve => { setTimeout(resolve, 1) })
  assert.equal(second.coordinator.steps, [ADOPTED], 'no job is needed')
  assert.equal([await owner.call('2'), await owner.call('3')], [true, false])
  second.dispose()
  assert.equal([await owner.call('4'), owner.coordinator.steps], [true, [ADOPTED, 'k']])
}))

test('a reservation outlives its owner, and a message of an unknown kind closes no link', () => runWithNodes(async ([first, , owner, other], [address = '']) => {
  const link = await other.links.connect(address)
  link?.send({ kind: 'sentByLaterVersions' } as never)
  await owner.call('1')
  owner.dispose()
  assert.equal([await other.call('2'), first.coordinator.steps], [true, ['k', 'k']])
  assert.is(other.links.findOpen(address), link)
}))

test('reservations start a plan of a hall, unless the node handles no contention', () => {
  for (const handlesContention of [true, false]) {
    const coordinator = new PreparationCoordinator({ ...options, handlesContention })
    coordinator.adoptReservations('x', [{ key: 'k', returnInMs: 300, pieces: PIECES }])
    assert.is(coordinator.hasPlan('x'), handlesContention)
    coordinator.dispose()
  }
})

test('the latest 200 reservations of a hall are remembered until 400 ms after their time, and each plan is told once', () => {
  const issued = new IssuedReservations()
  const [made, next] = [{ hall: 'x', holder: {} }, { hall: 'x', holder: {} }]
  for (let index = 0; index < 201; index++) issued.add({ key: String(index), returnInMs: 300, pieces: PIECES }, made, 0)
  assert.equal([issued.take(made, 699).length, issued.take(next, 699).length, issued.take(next, 699).length], [0, 200, 0])
  assert.equal([issued.take(made, 700), issued.listHalls()], [[], []])
})

test('each decision on a return is one line with the request and the key of its caller', () => {
  const lines: string[] = []
  const recordedLog = new LogService({ program: 'test', silent: true })
  recordedLog.onDidLog(({ line }) => lines.push(line.replace(/^.*event=/, '')))
  const returnLog = new ReturnLog(recordedLog)
  const returnCounts = { reserved: 0, kept: 0, expired: 0, missed: 0 }
  assert.ok(addReturningJob({ returnCounts }, () => { returnCounts.kept++ }).isKept)
  returnLog.recordKept('x', createJob('j', [], { returnKey: '0123456789abcdef' }))
  returnLog.recordRefusal('x', { id: 'j', returnKey: '0123456789abcdef' }, { reason: 'overloaded', retryAfterMs: 300.4, isReserved: true }, true)
  assert.equal(lines, ['kept', 'missed', 'reserved'].map(name => `return_${name} request=j hall=x key=0123456789ab${{ kept: '', missed: ' reason=overloaded', reserved: ' return_in_ms=300' }[name]}`))
})

test.run()
