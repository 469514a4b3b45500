/**
 * Hands on what the source says to the hosts that listen, and listens to those that follow it, so that calls to the
 * source grow with halls and changes, not with hosts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { Event } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import type { PeerLink } from '../../facts/node/peerLink.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { PeerMessage } from '../../membership/node/gossipService.ts'
import type { FedChanges, IChangeFeed } from '../common/changeFeed.ts'
import { FeedBelief, MAX_SILENCE_MS } from '../common/feedBelief.ts'
import { chooseFeeders, listFeeders } from '../common/feederChoice.ts'
import type { FeedMember } from '../common/feederChoice.ts'
import type { SourceChanges } from '../common/sourceChanges.ts'
import { formatPosition, readEra } from '../common/sourcePosition.ts'
import { FeedSender } from './feedSender.ts'

/** The links that a feed goes over. */
export interface IFeedLinks {
  readonly onDidReceive: Event<PeerMessage>
  connect (address: string): Promise<PeerLink | undefined>
  dropLink (address: string): void
  /** Links that have to stay open. */
  holdLinks (addresses: readonly string[]): void
}

export interface FeedServiceOptions {
  readonly own: FeedMember
  readonly clock: IClock
  readonly log: ILogService
  readonly links: IFeedLinks
  /** All members taken for alive, this one included. */
  readonly listMembers: () => readonly FeedMember[]
  /** Whether the members are known well enough to choose feeders. */
  readonly hasMembers: () => boolean
}

/** What was asked of a feeder. */
interface AskedFeeder {
  readonly lastAt: number
  /** Since when questions have had no answer; the last answer where there was one. */
  readonly unansweredSince: number
}

/** Members change by the hundred when a fleet starts, and the choice is made over all of them. */
const CHOICE_PERIOD_MS = 500
/** How often a feeder that is not relied on is asked again. */
const ASK_PERIOD_MS = 1000
/** A feeder that has not answered for so long is asked over a new link. */
const REPLACE_LINK_MS = 3000
export class FeedService extends Disposable implements IChangeFeed {
  private readonly _options: FeedServiceOptions
  private readonly _belief = new FeedBelief()
  private readonly _sender: FeedSender
  private readonly _asked = new Map<string, AskedFeeder>()
  private _members: readonly FeedMember[] = []
  private _feeders: readonly string[] = []
  private _revision: number | undefined
  private _isFed = false
  private _doubtTimer: IDisposable | undefined
  private readonly _onDidChange = this._register(new Emitter<void>())
  private readonly _onDidReceive = this._register(new Emitter<FedChanges>())
  readonly onDidChange = this._onDidChange.event
  readonly onDidReceive = this._onDidReceive.event
  private readonly _onDidOutgrow = this._register(new Emitter<number>())
  readonly onDidOutgrow = this._onDidOutgrow.event

  constructor (options: FeedServiceOptions) {
    super()
    this._options = options
    this._sender = new FeedSender(options.clock)
    this._register(options.links.onDidReceive(({ link, message }) => this._take(link, message)))
    this._register(startInterval(CHOICE_PERIOD_MS, () => this._refresh()))
    this._register(toDisposable(() => this._doubtTimer?.dispose()))
  }

  get isFed (): boolean {
    return this._isFed
  }

  get hasReaders (): boolean {
    return this._sender.hasReaders
  }

  setRevision (revision: number | undefined): void {
    this._revision = revision
    this._belief.setRevision(revision, this._options.clock.now())
    this._decide()
  }

  publish (changes: SourceChanges, heardSince: number): void {
    this._sender.publish(changes, heardSince)
  }

  announceLoss (): void {
    this._sender.announceLoss()
  }

  private _take (link: PeerLink, message: WireMessage): void {
    if (message.kind === 'feedWanted') return this._isFed ? link.send({ kind: 'feedLost' }) : this._sender.addReader(link, message.after)
    if (message.kind !== 'feedChanges' && message.kind !== 'feedConfirmed' && message.kind !== 'feedLost' && message.kind !== 'feedGap') return
    const feeder = link.peerAddress
    this._noteAnswered(feeder)
    if (message.kind === 'feedChanges') return this._takeChanges(feeder, message)
    if (message.kind === 'feedConfirmed') return this._takeChanges(feeder, { ...message, after: message.revision, changes: [] })
    if (message.kind === 'feedGap' && this._isOutgrownBy(message.after)) this._onDidOutgrow.fire(message.after)
    // After a gap as after a loss it is asked again in a second, when this node has heard more.
    this._belief.noteLost(feeder)
    this._decide()
  }

  private _takeChanges (source: string, told: SourceChanges & { readonly heardForMs: number, readonly ageMs: number }): void {
    // A feeder of before, whose news may have a gap.
    if (!this._feeders.includes(source) || this._revision === undefined) return
    const now = this._options.clock.now()
    const { after, revision, changes, heardForMs, ageMs } = told
    if (this._isOutgrownBy(revision)) return this._onDidOutgrow.fire(revision)
    if (after > this._revision) return this._ask(source)
    this._belief.noteHeard(source, revision, now - ageMs, now)
    this._onDidReceive.fire({ after, revision, changes, source, heardSince: now - heardForMs, confirmedAt: now - ageMs })
    this._decide()
  }

  private _isOutgrownBy (position: number): boolean {
    return this._revision !== undefined && readEra(position) > readEra(this._revision)
  }

  private _refresh (): void {
    if (!this._options.hasMembers()) return
    const members = this._options.listMembers()
    if (members !== this._members) this._chooseFeeders(members)
    const now = this._options.clock.now()
    for (const address of this._feeders) if (this._belief.findDoubt(address, now) !== undefined) this._askAgain(address, now)
    this._decide()
  }

  private _chooseFeeders (members: readonly FeedMember[]): void {
    this._members = members
    const feeders = chooseFeeders(this._options.own, listFeeders(members))
    if (feeders.join() === this._feeders.join()) return
    this._feeders = feeders
    this._belief.setFeeders(feeders)
    this._options.links.holdLinks(feeders)
    this._options.log.info('feeders_chosen', { feeders: feeders.join(','), members: members.length })
  }

  /** Asks a feeder that is not relied on; over a new link where it does not answer: the old one may have gone silent. */
  private _askAgain (address: string, now: number): void {
    const asked = this._asked.get(address)
    if (asked !== undefined && now - asked.lastAt < ASK_PERIOD_MS) return
    if (asked !== undefined && now - asked.unansweredSince >= REPLACE_LINK_MS) {
      this._options.links.dropLink(address)
      this._asked.delete(address)
    }
    this._ask(address)
  }

  private _ask (address: string): void {
    if (this._revision === undefined) return
    const now = this._options.clock.now()
    this._asked.set(address, { lastAt: now, unansweredSince: this._asked.get(address)?.unansweredSince ?? now })
    void this._options.links.connect(address).then(link => {
      if (this._revision !== undefined && !this._isDisposed) link?.send({ kind: 'feedWanted', after: this._revision })
    })
  }

  private _noteAnswered (address: string): void {
    const asked = this._asked.get(address)
    if (asked !== undefined) this._asked.set(address, { lastAt: asked.lastAt, unansweredSince: this._options.clock.now() })
  }

  /** Looks whether feeders can be relied on, now and again when the last of them would have been silent for too long. */
  private _decide (): void {
    const now = this._options.clock.now()
    const trusted = this._feeders.length === 0 ? [] : this._belief.listTrusted(now)
    const isFed = trusted.length > 0
    this._doubtTimer?.dispose()
    if (isFed) {
      const silentMs = Math.min(...trusted.map(address => this._belief.computeSilentMs(address, now)))
      this._doubtTimer = this._options.clock.schedule(MAX_SILENCE_MS - silentMs + 1, () => this._decide())
    }
    if (isFed === this._isFed) return
    this._isFed = isFed
    const doubts = this._feeders.map(address => `${address}:${this._belief.findDoubt(address, now) ?? 'trusted'}`)
    this._options.log.info(isFed ? 'feed_taken' : 'feed_doubted', { feeders: doubts.join(','), revision: formatPosition(this._revision ?? 0) })
    if (isFed) this._sender.end()
    this._onDidChange.fire()
  }
}
