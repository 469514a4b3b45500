/**
 * Guards against readers that keep a stalled link to a feeder. Members only probe their neighbours, so the feed itself has to
 * detect a stalled link to a feeder that is not a neighbour.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Emitter } from '../../../base/common/event.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import type { PeerLink } from '../../facts/node/peerLink.ts'
import { LogService } from '../../log/node/logger.ts'
import type { PeerMessage } from '../../membership/node/gossipService.ts'
import { chooseFeeders, listFeeders } from '../common/feederChoice.ts'
import { FeedService } from '../node/feedService.ts'
import type { IFeedLinks } from '../node/feedService.ts'

const test = suite('silentFeeder')

const MEMBERS = Array.from({ length: 8 }, (_, index) => ({ address: `10.0.0.${index}:1`, hall: `h${index % 2}` }))
const MAX_WAIT_MS = 6000

/** Links whose feeders all send the same answer, or none. */
class FakeLinks implements IFeedLinks {
  private readonly _onDidReceive = new Emitter<PeerMessage>()
  readonly onDidReceive = this._onDidReceive.event
  readonly dropped: string[] = []
  readonly connected: string[] = []

  constructor (private readonly _answer: WireMessage | undefined) {}

  connect (address: string): Promise<PeerLink | undefined> {
    const link = { peerAddress: address, send: () => this._sendAnswer(link) } as unknown as PeerLink
    this.connected.push(address)
    return Promise.resolve(link)
  }

  dropLink (address: string): void {
    this.dropped.push(address)
  }

  retainLinks (): void {}

  private _sendAnswer (link: PeerLink): void {
    if (this._answer !== undefined) this._onDidReceive.fire({ link, message: this._answer })
  }
}

async function runWithFeeders (answer: WireMessage | undefined, run: (links: FakeLinks, feed: FeedService, feeders: readonly string[]) => Promise<void>): Promise<void> {
  const feeders = listFeeders(MEMBERS)
  const own = MEMBERS.find(member => chooseFeeders(member, feeders).length > 0) ?? { address: '', hall: '' }
  const links = new FakeLinks(answer)
  const feed = new FeedService({ own, clock: new SystemClock(), log: new LogService({ program: 'test', silent: true }), links, listMembers: () => MEMBERS, hasMembers: () => true })
  try {
    feed.setRevision(5)
    await run(links, feed, chooseFeeders(own, feeders))
  } finally {
    feed.dispose()
  }
}

test('the link to a feeder that does not answer is replaced, although no member probes it', () => runWithFeeders(undefined, async (links, feed, feeders) => {
  assert.ok(await waitUntil(() => feeders.every(address => links.dropped.includes(address)), MAX_WAIT_MS), 'the links were kept')
  assert.not(feed.hasReliableFeeder)
}))

test('the link to a feeder that reports the loss of the source is kept', () => runWithFeeders({ kind: 'feedLost' }, async links => {
  assert.not(await waitUntil(() => links.dropped.length > 0, MAX_WAIT_MS - 1500))
  assert.ok(links.connected.length > 4)
}))

test.run()
