import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
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

function createSide (socket: Socket, address: string) {
  const clock = new VirtualClock()
  const facts = new FactStore(clock)
  const link = new PeerLink({
    connection: new FrameConnection(socket),
    facts,
    configuration: new ConfigurationService(clock),
    fetchGuard: new FetchGuard(clock),
    log: new LogService({ program: 'test', silent: true }),
    hello: { kind: 'hello', role: 'steward', address, hall: 'h' },
    mayShareConfiguration: () => true
  })
  return { facts, link }
}

type Side = ReturnType<typeof createSide>

async function openPair (): Promise<{ readonly a: Side, readonly b: Side, readonly close: () => void }> {
  return await new Promise(resolve => {
    const server = createServer(socket => {
      const [a, b] = [createSide(near, 'a'), createSide(socket, 'b')]
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

test.run()
