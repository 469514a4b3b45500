// Guards against using the restarted process of a lost coordinator in the place of the one that ended. When 28 of 61 hosts had
// lost power, nodes that still knew a host's earlier process dialled the later one (`event=coordinator_linked` 20 to 330 ms
// after its start), and nodes backed off from a host that had long restarted and was right for the hall. Up to five nodes
// planned for one hall within half a second.
import { create } from '@bufbuild/protobuf'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Emitter } from '../../../base/common/event.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { CoordinatorCandidate } from '../common/coordinatorChoice.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../common/plannedCall.ts'
import { CoordinatorLink } from '../node/coordinatorLink.ts'
import { CoordinatorLinks } from '../node/coordinatorLinks.ts'
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('restartedCoordinators')

const OWN_ADDRESS = '127.0.0.1:1'
const clock = new SystemClock()
const log = new LogService({ program: 'test', silent: true })

/** Counts the calls of the node that plans them. */
class CountingPieces extends PieceProtocol {
  callCount = 0

  runPieces (_upstream: unknown, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    this.callCount++
    return Promise.resolve({ kind: 'answered', pieces: pieces.map(({ jobId, index }) => ({ kind: 'made', handle: `${jobId}/${index}` })) })
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }
}

class PlanningNode {
  readonly pieces = new CountingPieces()
  readonly registry = new UpstreamRegistry()
  readonly coordinator: PreparationCoordinator
  private readonly _server: PreparationServer

  constructor (incarnation: number) {
    const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
    this.registry.update({ id: 'a-0', role: 'a', address: '127.0.0.1:2', hall: 'x', slots: 1, isLeaving: false }, 'test')
    this.coordinator = new PreparationCoordinator({ clock, log, protocol: this.pieces, registry: this.registry, getTable: () => table })
    this._server = new PreparationServer(this.coordinator, log, undefined, incarnation)
  }

  async listen (): Promise<string> {
    return `127.0.0.1:${await this._server.listen('127.0.0.1', 0)}`
  }

  dispose (): void {
    this._server.dispose()
    this.coordinator.dispose()
  }
}

interface Fleet {
  readonly own: PlanningNode
  readonly nodes: readonly PlanningNode[]
  readonly addresses: readonly string[]
  readonly links: CoordinatorLinks
  readonly unreachable: Set<string>
  readonly setCandidates: (candidates: readonly CoordinatorCandidate[]) => void
  readonly prepare: (job: string) => Promise<boolean>
}

/** Runs a test with one node for each incarnation, and a client that knows only the candidates that the test sets. */
async function runWithFleet (incarnations: readonly number[], run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const own = new PlanningNode(1)
  const nodes = incarnations.map(incarnation => new PlanningNode(incarnation))
  const addresses = await Promise.all(nodes.map(node => node.listen()))
  const unreachable = new Set<string>()
  let candidates: readonly CoordinatorCandidate[] = []
  const links = new CoordinatorLinks({
    clock,
    log,
    openLink: options => unreachable.has(options.address) ? Promise.resolve(undefined) : CoordinatorLink.open(options),
    findIncarnation: address => candidates.find(candidate => candidate.address === address)?.incarnation
  })
  const client = new PreparationClient({
    clock,
    log,
    links,
    protocol: own.pieces,
    registry: own.registry,
    coordinator: own.coordinator,
    address: OWN_ADDRESS,
    isMembershipKnown: () => true,
    onDidReceiveMembers: new Emitter<void>().event,
    listCoordinators: () => candidates,
    listPieceUpstreams: () => own.registry.list()
  })
  try {
    await run({
      own,
      nodes,
      addresses,
      links,
      unreachable,
      setCandidates: next => { candidates = next },
      prepare: async id => (await client.prepare(createJob(id, [createStage('a', 1)]), new AbortController().signal)).isRight()
    })
  } finally {
    for (const part of [client, links, own, ...nodes]) part.dispose()
  }
}

function createCandidate (address: string | undefined, incarnation: number): CoordinatorCandidate {
  return { address: address ?? '', incarnation, hall: 'x', weight: 1 }
}

test('a process that started after the one that was meant takes no jobs, and tells when it started', () => runWithFleet([30, 20], async ({ own, nodes, addresses, links, setCandidates, prepare }) => {
  const [restarted, next] = addresses
  const detected: number[] = []
  links.onDidDetectRestart(({ incarnation }) => { detected.push(incarnation) })
  setCandidates([createCandidate(restarted, 10), createCandidate(next, 20), createCandidate(OWN_ADDRESS, 40)])
  assert.ok(await prepare('j'))
  assert.equal(detected, [30])
  assert.equal([...nodes, own].map(({ pieces }) => pieces.callCount), [0, 1, 0])
}))

test('a process that has refuted a suspicion since its start accepts links', () => runWithFleet([10], async ({ nodes, addresses, setCandidates, prepare }) => {
  setCandidates([createCandidate(addresses[0], 11), createCandidate(OWN_ADDRESS, 40)])
  assert.ok(await prepare('j'))
  assert.is(nodes[0]?.pieces.callCount, 1)
}))

test('the backoff from a lost process ends when the host is known to have restarted', () => runWithFleet([30, 40], async ({ nodes, addresses, unreachable, setCandidates, prepare }) => {
  const [lost = '', next] = addresses
  unreachable.add(lost)
  setCandidates([createCandidate(lost, 10), createCandidate(next, 40), createCandidate(OWN_ADDRESS, 50)])
  assert.ok(await prepare('j'))
  unreachable.clear()
  assert.ok(await prepare('k'))
  assert.equal(nodes.map(({ pieces }) => pieces.callCount), [0, 2], 'the lost process was used again during its backoff')
  setCandidates([createCandidate(lost, 30), createCandidate(next, 40), createCandidate(OWN_ADDRESS, 50)])
  assert.ok(await prepare('l'))
  assert.equal(nodes.map(({ pieces }) => pieces.callCount), [1, 2])
}))

test.run()
