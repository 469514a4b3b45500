import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { DisposableStore } from '../../../base/common/disposable.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { ConfigurationService } from '../../configuration/common/configurationService.ts'
import { FetchDeduplicator } from '../../configuration/common/fetchDeduplicator.ts'
import { formatLeavingSubject } from '../../facts/common/fact.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { PeerLink } from '../../facts/node/peerLink.ts'
import { LogService } from '../../log/node/logger.ts'
import { FrameServer } from '../../rpc/node/frameServer.ts'
import { MembershipTable } from '../common/membershipTable.ts'
import { GossipService } from '../node/gossipService.ts'

const test = suite('gossipService')

/** An urgent round and a regular one send a fact over so many links. */
const PEER_COUNT = 5
const MAX_WAIT_MS = 3000
const DISABLED_PERIOD_MS = 600_000

/** Repeats a few low numbers, as a run of unlucky draws would: picked by them alone, the same three of the links are used each time. */
class RepeatingRandom implements IRandom {
  private _count = 0

  next (): number {
    return (this._count++ % 3 + 0.5) / PEER_COUNT
  }
}

function createLinkOptions (address: string, facts: FactStore) {
  const clock = new VirtualClock()
  return {
    facts,
    configuration: new ConfigurationService(clock),
    fetchGuard: new FetchDeduplicator(clock),
    log: new LogService({ program: 'test', silent: true }),
    hello: { kind: 'hello' as const, role: 'steward' as const, address, hall: 'h' },
    mayShareConfiguration: () => true
  }
}

/** Starts a peer that stores what it is sent and forwards nothing. */
async function startPeer (store: DisposableStore, index: number): Promise<{ readonly facts: FactStore, readonly address: string }> {
  const facts = store.add(new FactStore(new VirtualClock()))
  const server = store.add(new FrameServer(connection => { store.add(new PeerLink({ ...createLinkOptions(`peer-${index}`, facts), connection })) }))
  return { facts, address: `127.0.0.1:${await server.listen('127.0.0.1', 0)}` }
}

/**
 * 2.1 s passed once in 800 facts, and once in a run of CI, until all of 24 members had a fact: each of a member's neighbours had
 * drawn other links in all rounds, and the fact was left to the exchange of all facts, which comes to a link once in some 40 s.
 */
test('rounds send an urgent fact over links that it was not sent over, whatever is drawn', async () => {
  const store = new DisposableStore()
  try {
    const [clock, random, facts] = [new VirtualClock(), new RepeatingRandom(), store.add(new FactStore(new VirtualClock()))]
    const membership = store.add(new MembershipTable({ address: 'own', hall: 'h', incarnation: 1, clock, random, facts }))
    const gossip = store.add(new GossipService({ clock, membership, random, link: createLinkOptions('own', facts), listSeeds: () => [], antiEntropyPeriodMs: DISABLED_PERIOD_MS, probePeriodMs: DISABLED_PERIOD_MS }))
    const peers = await Promise.all(Array.from({ length: PEER_COUNT }, (_item, index) => startPeer(store, index)))
    for (const { address } of peers) assert.ok(await gossip.connect(address))
    const subject = formatLeavingSubject('u')
    facts.merge({ subject, incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'u', signal: 's' }, ageMs: 0 })
    gossip.scheduleUrgentRound(false)
    await waitUntil(() => peers.every(peer => peer.facts.get(subject) !== undefined), MAX_WAIT_MS)
    assert.is(peers.filter(peer => peer.facts.get(subject) !== undefined).length, PEER_COUNT)
  } finally {
    store.dispose()
  }
})

test.run()
