// Guards against refusing jobs when many coordinators are lost together. When 28 of 61 hosts lost power at once, the
// coordinators of two of three halls were among them, and so were the next four candidates. Each node dialled the lost
// hosts one after the other, with a dial timeout of 250 ms each (`event=coordinator_lost` for the same four hosts at 33
// nodes). These halls had no plan for 1.25 s, and 143 requests that could have waited for seconds were refused as
// interrupted (`event=preparation_moved moves=5`).
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
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('lostCoordinators')

/** A host without power never answers, so the dial times out. */
const DIAL_MS = 250
const LOST_HOSTS = 6
/** One dial that finds the first host lost, one for all lost hosts after it, and the job itself. */
const MAX_WAIT_MS = 3 * DIAL_MS
const OWN_ADDRESS = '127.0.0.1:1'

class FakePieces extends PieceProtocol {
  runPieces (_upstream: unknown, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    return Promise.resolve({ kind: 'answered', pieces: pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.index}` })) })
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }
}

test('a plan is found at once behind many coordinators that were lost together', async () => {
  const clock = new SystemClock()
  const log = new LogService({ program: 'test', silent: true })
  const registry = new UpstreamRegistry()
  const protocol = new FakePieces()
  const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
  registry.update({ id: 'a-0', role: 'a', address: '127.0.0.1:2', hall: 'x', slots: 1, isLeaving: false }, 'test')
  const [near, far] = [0, 1].map(() => new PreparationCoordinator({ clock, log, protocol, registry, getTable: () => table }))
  assert.ok(near && far)
  const server = new PreparationServer(far, log)
  const liveAddress = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`
  const lostAddresses = Array.from({ length: LOST_HOSTS }, (_item, index) => `127.0.0.1:${index + 10}`)
  const candidates: readonly CoordinatorCandidate[] = [...lostAddresses, liveAddress, OWN_ADDRESS].map((address, index) => ({ address, hall: 'x', incarnation: index, weight: 1 }))
  const opened: string[] = []
  const client = new PreparationClient({
    clock,
    log,
    protocol,
    registry,
    coordinator: near,
    address: OWN_ADDRESS,
    isMembershipKnown: () => true,
    onDidReceiveMembers: new Emitter<void>().event,
    listCoordinators: () => candidates,
    listPieceUpstreams: () => registry.list(),
    openLink: async options => {
      opened.push(options.address)
      if (options.address === liveAddress) return await CoordinatorLink.open(options)
      await new Promise(resolve => { setTimeout(resolve, DIAL_MS) })
      return undefined
    }
  })
  try {
    const startedAt = performance.now()
    const prepared = await client.prepare(createJob('j', [createStage('a', 1)]), new AbortController().signal)
    assert.ok(prepared.isRight(), 'the job was given up')
    assert.ok(performance.now() - startedAt < MAX_WAIT_MS)
    assert.equal([...opened].sort(), [...lostAddresses, liveAddress].sort())
    assert.not(near.hasJob('j'))
  } finally {
    for (const part of [client, server, near, far]) part.dispose()
  }
})

test.run()
