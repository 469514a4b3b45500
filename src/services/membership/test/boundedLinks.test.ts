/**
 * Tests a fleet over real sockets that has more members than a member has neighbours.
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
const PROPAGATION_MS = 2000
const LINK_CLOSE_MS = 8000
/** Time for a probe, the indirect probes and a suspicion of 2 s for each lost member. */
const LOSS_DETECTION_MS = 12_000
/** Reconnections to lost members are attempted one by one. */
const RECOVERY_MS = 12_000
const SEED_COUNT = 3

interface Fleet {
  readonly members: readonly FleetMember[]
  /** Starts a new member at the address of one that was disposed. */
  readonly restart: (index: number) => Promise<FleetMember>
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
    seedRetryPeriodMs: 100,
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
    assert.ok(await waitUntil(() => members.every(member => member.membership.listLive().length === MEMBER_COUNT), JOIN_MS), 'some members do not know all others')
    await run({ members, restart: index => start(index, 2) })
  } finally {
    for (const part of [...relays, ...started]) part.dispose()
  }
}

test('members keep links to a few neighbours, and a fact of one member reaches all', () => runWith(async ({ members }) => {
  assert.ok(await waitUntil(() => members.every(member => member.gossip.links.length <= RING_COUNT), LINK_CLOSE_MS), 'links to members that are not neighbours are kept')
  members[5]?.facts.merge({ subject: formatLeavingSubject('u'), incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'u', signal: 's' }, ageMs: 0 })
  assert.ok(await waitUntil(() => members.every(member => member.facts.get(formatLeavingSubject('u')) !== undefined), PROPAGATION_MS), 'the fact did not reach all members')
}))

test('seeds that all restart, and know no other member, are found by the remaining members', () => runWith(async ({ members, restart }) => {
  const remaining = members.slice(SEED_COUNT)
  for (const member of members.slice(0, SEED_COUNT)) member.dispose()
  assert.ok(await waitUntil(() => remaining.every(member => member.membership.listLive().length === remaining.length), LOSS_DETECTION_MS), 'the loss of the seeds was not detected')
  const restarted = await Promise.all([0, 1, 2].map(restart))
  assert.ok(await waitUntil(() => [...restarted, ...remaining].every(member => member.membership.listLive().length === MEMBER_COUNT), RECOVERY_MS), 'some members did not find all others')
}))

test.run()
