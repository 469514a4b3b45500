/**
 * Guards against stalled links that stay in use. 9 s after all open connections between 86 nodes had stalled, no node had
 * received leaving facts of upstreams from a peer, and nodes considered each other dead (252 log lines member_changed on
 * two nodes within 24 s although no node had failed). Each node then planned alone.
 *
 * An unanswered probe made the member suspect, but its link was kept and used for all further messages, including the
 * indirect probes of other members.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { findFreePort, waitUntil } from '../../../base/test/polling.ts'
import { formatLeavingSubject } from '../../facts/common/fact.ts'
import { LogService } from '../../log/node/logger.ts'
import { FleetMember } from '../node/fleetMember.ts'

const test = suite('silentLinks')

const MEMBER_COUNT = 4
const MAX_STALL_MS = 2600

/** Runs a test with members that are connected through relays only, each linked to all others. */
async function runWith (run: (members: readonly FleetMember[], relays: readonly FaultRelay[], events: readonly string[]) => Promise<void>): Promise<void> {
  const events: string[] = []
  const relays = Array.from({ length: MEMBER_COUNT }, () => new FaultRelay())
  const targets = await Promise.all(relays.map(() => findFreePort()))
  const ports = await Promise.all(relays.map((relay, index) => relay.listen(() => ({ host: '127.0.0.1', port: targets[index] ?? 0 }))))
  const addresses = ports.map(port => `127.0.0.1:${port}`)
  const members = addresses.map((address, index) => {
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(event => { events.push(event.line) })
    return new FleetMember({ address, hall: 'h', incarnation: 1, clock: new SystemClock(), random: new SeededRandom(index), log, listSeeds: () => addresses, readyWaitMs: 500, probePeriodMs: 200, seedRetryPeriodMs: 100 })
  })
  try {
    await Promise.all(members.map((member, index) => member.listen({ host: '127.0.0.1', port: targets[index] ?? 0 })))
    await Promise.all(members.map(member => member.join(Promise.resolve(true))))
    assert.ok(await waitUntil(() => members.every(member => member.gossip.links.length === MEMBER_COUNT - 1), MAX_STALL_MS))
    await run(members, relays, events)
  } finally {
    for (const part of [...members, ...relays]) part.dispose()
  }
}

test('stalled links are replaced: facts reach all members, and no live member is considered dead', () => runWith(async (members, relays, events) => {
  for (const relay of relays) relay.stopForwarding()
  members[0]?.facts.merge({ subject: formatLeavingSubject('u'), incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'u', signal: 's' }, ageMs: 0 })
  const hasReceived = (member: FleetMember) => member.facts.get(formatLeavingSubject('u')) !== undefined
  assert.ok(await waitUntil(() => members.every(hasReceived), MAX_STALL_MS), 'a member did not receive the fact')
  assert.not(await waitUntil(() => members.some(member => member.membership.listLive().length < MEMBER_COUNT), MAX_STALL_MS))
  assert.not(events.some(event => event.includes('state=dead')))
}))

test.run()
