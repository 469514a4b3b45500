/**
 * Guards against moving jobs away from a live coordinator whose connection stalled.
 *
 * Symptom: when all open connections between nodes stalled, jobs moved from one coordinator to the next, and each link
 * timed out in turn (four within 0.9 s at one node), while the right coordinator was alive. Several nodes then planned for
 * the same upstreams without counting each other's results in the result capacity.
 *
 * Cause: a stalled connection was treated as a lost coordinator, followed by a backoff from that coordinator.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { Emitter } from '../../../base/common/event.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../common/plannedCall.ts'
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('silentCoordinator')

const UPSTREAM: UpstreamEntry = { id: 'a-0', role: 'a', address: '127.0.0.1:1', hall: 'x', slots: 1, isLeaving: false }
/** A stalled connection is detected within 750 ms. */
const MAX_WAIT_MS = 1500

class FakePieces extends PieceProtocol {
  callCount = 0

  runPieces (_upstream: UpstreamEntry, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    this.callCount++
    return Promise.resolve({ kind: 'answered', pieces: pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.index}` })) })
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }
}

function createNode () {
  const clock = new SystemClock()
  const log = new LogService({ program: 'test', silent: true })
  const registry = new UpstreamRegistry()
  const pieces = new FakePieces()
  const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
  const coordinator = new PreparationCoordinator({ clock, log, protocol: pieces, registry, getTable: () => table })
  registry.update(UPSTREAM, 'test')
  return { clock, log, registry, pieces, coordinator }
}

test('a coordinator whose connection stalled is retried over a new connection', async () => {
  const far = createNode()
  const near = createNode()
  const server = new PreparationServer(far.coordinator, far.log)
  const port = await server.listen('127.0.0.1', 0)
  const relay = new FaultRelay()
  const address = `127.0.0.1:${await relay.listen(() => ({ host: '127.0.0.1', port }))}`
  const client = new PreparationClient({
    clock: near.clock,
    log: near.log,
    protocol: near.pieces,
    registry: near.registry,
    coordinator: near.coordinator,
    address: '127.0.0.1:1',
    isMembershipKnown: () => true,
    onDidReceiveMembers: new Emitter<void>().event,
    listCoordinators: () => [
      { address, hall: 'x', incarnation: 1, weight: 100 },
      { address: '127.0.0.1:1', hall: 'x', incarnation: 2, weight: 50 }
    ],
    listPieceUpstreams: () => near.registry.list()
  })
  const { signal } = new AbortController()
  try {
    assert.ok((await client.prepare(createJob('j', [createStage('a', 1)]), signal)).isRight())
    relay.stopForwarding()
    const startedAt = performance.now()
    assert.ok((await client.prepare(createJob('k', [createStage('a', 1)]), signal)).isRight())
    assert.ok(performance.now() - startedAt < MAX_WAIT_MS)
    assert.is(far.pieces.callCount, 2)
    assert.is(near.pieces.callCount, 0)
  } finally {
    for (const part of [client, server, near.coordinator, far.coordinator, relay]) part.dispose()
  }
})

test.run()
