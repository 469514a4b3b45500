/**
 * A fleet that is larger than a member has neighbours, over real sockets.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { findFreePort, waitUntil } from '../../../base/test/polling.ts'
import { formatLeavingSubject } from '../../facts/common/fact.ts'
import { LogService } from '../../log/node/logger.ts'
import { RING_COUNT } from '../common/neighbours.ts'
import { FleetMember } from '../node/fleetMember.ts'

const test = suite('boundedLinks')

const MEMBER_COUNT = 24
const JOIN_MS = 8000
const SPREAD_MS = 2000
const CLOSE_MS = 8000
/** A probe, its helpers and a suspicion of 2 s, for each that goes. */
const LOSS_MS = 12_000
/** The lost are tried one by one. */
const HEAL_MS = 12_000
const SEED_COUNT = 3

interface Fleet {
  readonly members: readonly FleetMember[]
  /** A member at the address of one that is gone. */
  readonly startAgain: (index: number) => Promise<FleetMember>
}

function createMember (addresses: readonly string[], index: number, incarnation: number): FleetMember {
  return new FleetMember({
    address: addresses[index] ?? '',
    hall: `h${index % 3}`,
    incarnation,
    clock: new SystemClock(),
    random: new SeededRandom(index),
    log: new LogService({ program: 'test', silent: true }),
    listSeeds: () => addresses.slice(0, SEED_COUNT),
    readyWaitMs: 500,
    seedPeriodMs: 100,
    hasGates: false
  })
}

async function runWith (run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const relays = Array.from({ length: MEMBER_COUNT }, () => new FaultRelay())
  const targets: number[] = []
  const ports = await Promise.all(relays.map((relay, index) => relay.listen(() => ({ host: '127.0.0.1', port: targets[index] ?? 0 }))))
  for (const index of relays.keys()) targets[index] = await findFreePort()
  const addresses = ports.map(port => `127.0.0.1:${port}`)
  const started: FleetMember[] = []
  const start = async (index: number, incarnation: number): Promise<FleetMember> => {
    const member = createMember(addresses, index, incarnation)
    started.push(member)
    await member.listen({ host: '127.0.0.1', port: targets[index] ?? 0 })
    await member.join(Promise.resolve(true))
    return member
  }
  try {
    const members = await Promise.all(addresses.map((_, index) => start(index, 1)))
    assert.ok(await waitUntil(() => members.every(member => member.membership.listLive().length === MEMBER_COUNT), JOIN_MS), 'not all know all')
    await run({ members, startAgain: index => start(index, 2) })
  } finally {
    for (const part of [...relays, ...started]) part.dispose()
  }
}

test('members keep links to a few neighbours, and what one learns reaches all', () => runWith(async ({ members }) => {
  assert.ok(await waitUntil(() => members.every(member => member.gossip.links.length <= RING_COUNT), CLOSE_MS), 'links to others are kept')
  members[5]?.facts.merge({ subject: formatLeavingSubject('u'), incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'u', signal: 's' }, ageMs: 0 })
  assert.ok(await waitUntil(() => members.every(member => member.facts.get(formatLeavingSubject('u')) !== undefined), SPREAD_MS), 'not all heard')
}))

test('seeds that all start anew, and know nobody, are found by the members that are left', () => runWith(async ({ members, startAgain }) => {
  const left = members.slice(SEED_COUNT)
  for (const member of members.slice(0, SEED_COUNT)) member.dispose()
  assert.ok(await waitUntil(() => left.every(member => member.membership.listLive().length === left.length), LOSS_MS), 'the loss was not noticed')
  const again = await Promise.all([0, 1, 2].map(startAgain))
  assert.ok(await waitUntil(() => [...again, ...left].every(member => member.membership.listLive().length === MEMBER_COUNT), HEAL_MS), 'not all found each other')
}))

test.run()
