import { create, toJsonString } from '@bufbuild/protobuf'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { ConfigurationSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { ConfigurationService } from '../../configuration/common/configurationService.ts'
import { FetchGuard } from '../../configuration/common/fetchGuard.ts'
import { LogService } from '../../log/node/logger.ts'
import type { Fact } from '../common/fact.ts'
import { FactStore } from '../common/factStore.ts'
import { PeerLink } from '../node/peerLink.ts'

const test = suite('peerLink')

function createFact (name: string): Fact {
  return { subject: `leaving/${name}`, incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: name, signal: 's' }, ageMs: 0 }
}

function createSide (socket: Socket, address: string, facts = new FactStore(new VirtualClock())) {
  const clock = new VirtualClock()
  const configuration = new ConfigurationService(clock)
  const link = new PeerLink({
    connection: new FrameConnection(socket),
    facts,
    configuration,
    fetchGuard: new FetchGuard(clock),
    log: new LogService({ program: 'test', silent: true }),
    hello: { kind: 'hello', role: 'steward', address, hall: 'h' },
    mayShareConfiguration: () => true
  })
  return { facts, configuration, link }
}

type Side = ReturnType<typeof createSide>

async function openPair (known = new FactStore(new VirtualClock())): Promise<{ readonly a: Side, readonly b: Side, readonly close: () => void }> {
  return await new Promise(resolve => {
    const server = createServer(socket => {
      const [a, b] = [createSide(near, 'a', known), createSide(socket, 'b')]
      resolve({ a, b, close: () => { a.link.dispose(); b.link.dispose(); server.close() } })
    })
    let near: Socket
    server.listen(0, '127.0.0.1', () => { near = connect((server.address() as AddressInfo).port, '127.0.0.1') })
  })
}

/** Waits until the other side has read all that was sent before. */
async function settle (from: Side, to: Side): Promise<void> {
  const read = new Promise<void>(resolve => { to.link.onDidReceive(message => { if (message.kind === 'ack') resolve() }) })
  from.link.send({ kind: 'ack', id: 1 })
  await read
}

test('recent news leaves the older to a comparison, and nothing is sent twice', async () => {
  const { a, b, close } = await openPair()
  a.facts.merge(createFact('old'))
  const mark = a.facts.sequence
  a.facts.merge(createFact('new'))
  a.link.sendRecent(mark)
  await settle(a, b)
  assert.equal(b.facts.list().map(fact => fact.subject), ['leaving/new'])
  const sent = a.link.traffic.sent
  a.link.sendRecent(mark)
  assert.is(a.link.traffic.sent, sent)
  a.link.sendNews()
  await settle(a, b)
  assert.equal(b.facts.list().map(fact => fact.subject).sort(), ['leaving/new', 'leaving/old'])
  const whole = a.link.traffic.sent
  a.link.sendNews()
  a.link.sendRecent(0)
  assert.is(a.link.traffic.sent, whole)
  close()
})

test('a side that started anew is told what it had said itself before', async () => {
  const before = await openPair()
  before.b.facts.merge(createFact('u'))
  before.b.link.sendNews()
  await settle(before.b, before.a)
  before.close()
  const { a, b, close } = await openPair(before.a.facts)
  try {
    a.facts.merge(createFact('v'))
    await settle(b, a)
    b.link.askAll(1)
    await settle(b, a)
    await settle(a, b)
    assert.equal(b.facts.list().map(fact => fact.subject).sort(), ['leaving/u', 'leaving/v'])
  } finally {
    close()
  }
})

test('a fact does not go back to where it came from', async () => {
  const { a, b, close } = await openPair()
  await settle(b, a)
  await settle(a, b)
  a.facts.merge(createFact('x'))
  a.link.sendNews()
  await settle(a, b)
  const sent = b.link.traffic.sent
  b.link.sendNews()
  assert.is(b.link.traffic.sent, sent)
  close()
})

function offer (side: Side, version: number): void {
  side.configuration.offer({ text: toJsonString(ConfigurationSchema, create(ConfigurationSchema, { epoch: 1, version })), revision: version }, 'platform')
}

test('a higher document goes over once, however often the lower number is heard', async () => {
  const { a, b, close } = await openPair()
  offer(a, 2)
  offer(b, 1)
  let documents = 0
  b.link.onDidReceive(message => { if (message.kind === 'configuration') documents++ })
  for (let round = 0; round < 5; round++) b.link.announceConfiguration()
  await settle(b, a)
  await settle(a, b)
  await settle(b, a)
  await settle(a, b)
  assert.is(b.configuration.number.version, 2)
  assert.is(documents, 1)
  close()
})

test('who asks for all that is known gets the document only where it is higher', async () => {
  const { a, b, close } = await openPair()
  offer(a, 2)
  offer(b, 2)
  let documents = 0
  b.link.onDidReceive(message => { if (message.kind === 'configuration') documents++ })
  b.link.askAll(1)
  await settle(b, a)
  await settle(a, b)
  assert.is(documents, 0)
  close()
})

test.run()
