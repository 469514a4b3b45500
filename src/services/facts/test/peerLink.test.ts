import { create, toJsonString } from '@bufbuild/protobuf'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { ConfigurationSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { ConfigurationService } from '../../configuration/common/configurationService.ts'
import { FetchDeduplicator } from '../../configuration/common/fetchDeduplicator.ts'
import { LogService } from '../../log/node/logger.ts'
import type { Fact } from '../common/fact.ts'
import { FactStore } from '../common/factStore.ts'
import { PeerLink } from '../node/peerLink.ts'

const test = suite('peerLink')

function createFact (name: string): Fact {
  return { subject: `leaving/${name}`, incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: name, signal: 's' }, ageMs: 0 }
}

function createEndpoint (socket: Socket, address: string, facts = new FactStore(new VirtualClock())) {
  const clock = new VirtualClock()
  const configuration = new ConfigurationService(clock)
  const link = new PeerLink({
    connection: new FrameConnection(socket),
    facts,
    configuration,
    fetchGuard: new FetchDeduplicator(clock),
    log: new LogService({ program: 'test', silent: true }),
    hello: { kind: 'hello', role: 'steward', address, hall: 'h' },
    mayShareConfiguration: () => true
  })
  return { facts, configuration, link, clock }
}

type Endpoint = ReturnType<typeof createEndpoint>

async function openLinkPair (factsOfA = new FactStore(new VirtualClock())): Promise<{ readonly a: Endpoint, readonly b: Endpoint, readonly close: () => void }> {
  return await new Promise(resolve => {
    const server = createServer(socket => {
      const [a, b] = [createEndpoint(near, 'a', factsOfA), createEndpoint(socket, 'b')]
      resolve({ a, b, close: () => { a.link.dispose(); b.link.dispose(); server.close() } })
    })
    let near: Socket
    server.listen(0, '127.0.0.1', () => { near = connect((server.address() as AddressInfo).port, '127.0.0.1') })
  })
}

/** Waits until the other side has received all messages that were sent before. */
async function waitForDelivery (from: Endpoint, to: Endpoint): Promise<void> {
  const read = new Promise<void>(resolve => { to.link.onDidReceive(message => { if (message.kind === 'ack') resolve() }) })
  from.link.send({ kind: 'ack', id: 1 })
  await read
}

test('sending recent facts leaves older ones to a full send, and nothing is sent twice', async () => {
  const { a, b, close } = await openLinkPair()
  a.facts.merge(createFact('old'))
  const mark = a.facts.sequence
  a.facts.merge(createFact('new'))
  a.link.sendRecentFacts(mark)
  await waitForDelivery(a, b)
  assert.equal(b.facts.list().map(fact => fact.subject), ['leaving/new'])
  const sent = a.link.traffic.sent
  a.link.sendRecentFacts(mark)
  assert.is(a.link.traffic.sent, sent)
  a.link.sendNewFacts()
  await waitForDelivery(a, b)
  assert.equal(b.facts.list().map(fact => fact.subject).sort(), ['leaving/new', 'leaving/old'])
  const whole = a.link.traffic.sent
  a.link.sendNewFacts()
  a.link.sendRecentFacts(0)
  assert.is(a.link.traffic.sent, whole)
  close()
})

test('a restarted peer is sent the facts that it had sent itself before the restart', async () => {
  const before = await openLinkPair()
  before.b.facts.merge(createFact('u'))
  before.b.link.sendNewFacts()
  await waitForDelivery(before.b, before.a)
  before.close()
  const { a, b, close } = await openLinkPair(before.a.facts)
  try {
    a.facts.merge(createFact('v'))
    await waitForDelivery(b, a)
    b.link.askForRefresh(1)
    await waitForDelivery(b, a)
    await waitForDelivery(a, b)
    assert.equal(b.facts.list().map(fact => fact.subject).sort(), ['leaving/u', 'leaving/v'])
  } finally {
    close()
  }
})

test('a fact is not sent back to the peer that sent it', async () => {
  const { a, b, close } = await openLinkPair()
  await waitForDelivery(b, a)
  await waitForDelivery(a, b)
  a.facts.merge(createFact('x'))
  a.link.sendNewFacts()
  await waitForDelivery(a, b)
  const sent = b.link.traffic.sent
  b.link.sendNewFacts()
  assert.is(b.link.traffic.sent, sent)
  close()
})

function offerConfiguration (side: Endpoint, version: number): void {
  side.configuration.offer({ text: toJsonString(ConfigurationSchema, create(ConfigurationSchema, { epoch: 1, version })), revision: version }, 'platform')
}

test('a higher configuration is sent once, however often the lower number is announced', async () => {
  const { a, b, close } = await openLinkPair()
  offerConfiguration(a, 2)
  offerConfiguration(b, 1)
  let documents = 0
  b.link.onDidReceive(message => { if (message.kind === 'configuration') documents++ })
  for (let round = 0; round < 5; round++) b.link.announceConfiguration()
  await waitForDelivery(b, a)
  await waitForDelivery(a, b)
  await waitForDelivery(b, a)
  await waitForDelivery(a, b)
  assert.is(b.configuration.number.version, 2)
  assert.is(documents, 1)
  close()
})

// Guards against documents that are longer than a frame: the link was closed, and a node without the source stayed behind.
for (const [name, letter] of [['ASCII', 'r'], ['surrogate pairs', '\u{1f332}']] as const) {
  test(`a document of 12 million code units is sent in parts: ${name}`, async () => {
    const { a, b, close } = await openLinkPair()
    try {
      const routeName = `x${letter.repeat(12_000_000 / letter.length)}`
      a.configuration.offer({ text: toJsonString(ConfigurationSchema, create(ConfigurationSchema, { epoch: 1, version: 3, relay: { roles: [{ name: routeName }] } })), revision: 3 }, 'platform')
      b.link.announceConfiguration()
      for (let round = 0; round < 100 && b.configuration.number.version !== 3; round++) {
        await waitForDelivery(b, a)
        await waitForDelivery(a, b)
      }
      assert.is(b.configuration.number.version, 3)
      assert.ok(b.configuration.current?.text === a.configuration.current?.text)
    } finally {
      close()
    }
  })
}

// Guards against a mix of two documents when the sender's one is replaced during the transfer.
test('if the document is replaced during its transfer, the new one is sent instead', async () => {
  const { a, b, close } = await openLinkPair()
  try {
    const offer = (version: number) => a.configuration.offer({ text: toJsonString(ConfigurationSchema, create(ConfigurationSchema, { epoch: 1, version, relay: { roles: [{ name: String(version).repeat(2_000_000) }] } })), revision: version }, 'platform')
    offer(2)
    let partCount = 0
    b.link.onDidReceive(message => {
      if (message.kind === 'configurationPart' && ++partCount === 2) {
        offer(3)
        b.clock.advance(1000)
      }
    })
    b.link.announceConfiguration()
    for (let round = 0; round < 100 && b.configuration.number.version !== 3; round++) {
      await waitForDelivery(b, a)
      await waitForDelivery(a, b)
    }
    assert.ok(b.configuration.current?.text === a.configuration.current?.text)
    assert.is(b.configuration.number.version, 3)
  } finally {
    close()
  }
})

test('a peer that asks for a refresh gets the configuration only if it is higher', async () => {
  const { a, b, close } = await openLinkPair()
  offerConfiguration(a, 2)
  offerConfiguration(b, 2)
  let documents = 0
  b.link.onDidReceive(message => { if (message.kind === 'configuration') documents++ })
  b.link.askForRefresh(1)
  await waitForDelivery(b, a)
  await waitForDelivery(a, b)
  assert.is(documents, 0)
  close()
})

test.run()
