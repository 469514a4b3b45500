/**
 * Guards against a job that its coordinator cannot accept and that takes the link of all other jobs with it: the owner submitted
 * it to one coordinator after the other, and each closed its link.
 */
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PieceCallOutcome } from '../common/plannedCall.ts'
import type { PreparationMessage } from '../common/preparationMessage.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { PreparationServer } from '../node/preparationServer.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('invalidJobs')

class SilentPieces extends PieceProtocol {
  runPieces (): Promise<PieceCallOutcome> {
    return new Promise(() => {})
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }
}

/** Sends messages to a coordinator, then a ping. Returns its messages up to the pong; without one if it closed the link. */
async function exchange (messages: readonly object[]): Promise<readonly PreparationMessage[]> {
  const log = new LogService({ program: 'test', silent: true })
  const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
  const registry = new UpstreamRegistry()
  registry.update({ id: 'a-0', role: 'a', address: '127.0.0.1:1', hall: 'x', slots: 1, isLeaving: false }, 'test')
  const coordinator = new PreparationCoordinator({ clock: new SystemClock(), log, protocol: new SilentPieces(), registry, getTable: () => table, maxPieces: 20_000 })
  const server = new PreparationServer(coordinator, log)
  const connection = new FrameConnection(connect(await server.listen('127.0.0.1', 0), '127.0.0.1'))
  const received: PreparationMessage[] = []
  try {
    await new Promise<void>(resolve => {
      connection.onDidClose(() => resolve())
      connection.onDidReceive(frame => {
        received.push(frame as PreparationMessage)
        if ((frame as PreparationMessage).kind === 'pong') resolve()
      })
      for (const message of [...messages, { kind: 'ping' }]) connection.send(message)
    })
    return received
  } finally {
    for (const part of [connection, server, coordinator]) part.dispose()
  }
}

function createMessage (job: object): object {
  return { kind: 'job', job, hall: '', isOffer: false, carried: [] }
}

const JOB = createJob('j', [createStage('a', 1)])

const refused: readonly (readonly [string, object])[] = [
  ['more pieces than the coordinator may keep', { ...JOB, stages: [createStage('a', 200_000_000)] }],
  ['a number of pieces that is no integer', { ...JOB, stages: [createStage('a', 1e300)] }],
  ['more shared prefixes than allowed', { ...JOB, request: { ...JOB.request, shared: Array.from({ length: 1200 }, (_, index) => ({ key: String(index), tokens: index })) } }],
  ['a number of tokens that is no integer', { ...JOB, request: { ...JOB.request, inputTokens: Infinity } }],
  ['a missing field', { id: 'j' }]
]

for (const [name, job] of refused) {
  test(`a job is refused and its link stays open: ${name}`, async () => {
    const received = await exchange([createMessage(job)])
    assert.equal(received.map(message => [message.kind, 'jobId' in message ? message.jobId : '']), [['refused', 'j'], ['pong', '']])
  })
}

test('jobs with long ids and with many stages are accepted', async () => {
  const long = 'x'.repeat(16_000)
  const stages = Array.from({ length: 100 }, (_, index) => createStage('a', index === 0 ? 1 : 0))
  const received = await exchange([createMessage({ ...JOB, id: long, key: long }), createMessage({ ...JOB, stages })])
  assert.equal(received.map(({ kind }) => kind), ['pong'])
})

test('a link is closed on other invalid messages', async () => {
  assert.equal(await exchange([{ kind: 'release' }]), [])
})

test.run()
