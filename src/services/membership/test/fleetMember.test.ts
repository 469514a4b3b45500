import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { findFreePort } from '../../../base/test/polling.ts'
import { LogService } from '../../log/node/logger.ts'
import { FleetMember } from '../node/fleetMember.ts'
import type { FleetMemberOptions } from '../node/fleetMember.ts'

const test = suite('fleetMember')

function createMember (port: number, seedPort: number, options: Partial<FleetMemberOptions> = {}): FleetMember {
  return new FleetMember({
    address: `127.0.0.1:${port}`,
    hall: 'h',
    incarnation: port,
    clock: new SystemClock(),
    random: new SeededRandom(port),
    log: new LogService({ program: 'test', silent: true }),
    listSeeds: () => [`127.0.0.1:${seedPort}`],
    readyWaitMs: 100,
    seedRetryPeriodMs: 50,
    ...options
  })
}

test('a member that started before its seed connects to it soon after the seed starts', async () => {
  const seedPort = await findFreePort()
  const early = createMember(1, seedPort)
  const seed = createMember(seedPort, seedPort)
  try {
    await early.join(Promise.resolve())
    assert.is(early.membership.listLive().length, 1)
    await seed.listen({ host: '127.0.0.1', port: seedPort })
    for (let count = 0; count < 100 && seed.membership.listLive().length < 2; count++) await new Promise(resolve => { setTimeout(resolve, 10) })
    assert.is(seed.membership.listLive().length, 2)
  } finally {
    early.dispose()
    seed.dispose()
  }
})

test('a member that a peer has connected to does not wait for its unresponsive seed', async () => {
  const port = await findFreePort()
  const silent = createServer(() => {})
  await new Promise<void>(resolve => { silent.listen(0, '127.0.0.1', resolve) })
  const found = createMember(port, (silent.address() as AddressInfo).port, { isSourceAuthoritative: true, readyWaitMs: 5000 })
  const finder = createMember(1, port, { isSourceAuthoritative: true, readyWaitMs: 5000 })
  try {
    await found.listen({ host: '127.0.0.1', port })
    const joining = found.join(Promise.resolve(true))
    const startedAt = performance.now()
    await Promise.all([joining, finder.join(Promise.resolve(true))])
    assert.ok(performance.now() - startedAt < 800)
    assert.is(found.membership.listLive().length, 2)
  } finally {
    found.dispose()
    finder.dispose()
    silent.close()
  }
})

const SOURCES = [
  { name: 'is authoritative and was read', isAuthoritative: true, isRead: true, isReadyBeforePeers: true },
  { name: 'is authoritative and could not be read', isAuthoritative: true, isRead: false, isReadyBeforePeers: false },
  { name: 'may be stale', isAuthoritative: false, isRead: true, isReadyBeforePeers: false }
]

for (const { name, isAuthoritative, isRead, isReadyBeforePeers } of SOURCES) {
  test(`a member whose source ${name} is ${isReadyBeforePeers ? '' : 'not '}ready before the wait for its unresponsive seed times out`, async () => {
    const silent = createServer(() => {})
    await new Promise<void>(resolve => { silent.listen(0, '127.0.0.1', resolve) })
    const member = createMember(1, (silent.address() as AddressInfo).port, { isSourceAuthoritative: isAuthoritative, readyWaitMs: 400 })
    try {
      const joining = member.join(Promise.resolve(isRead))
      await new Promise(resolve => { setImmediate(resolve) })
      assert.is(member.isReady, isReadyBeforePeers)
      assert.not(member.hasJoined)
      await joining
      assert.ok(member.isReady && member.hasJoined)
    } finally {
      member.dispose()
      silent.close()
    }
  })
}

test.run()
