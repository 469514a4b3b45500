/**
 * Hands on what the source says to the hosts that listen, and listens to those that follow it, so that calls to the
 * source grow with halls and changes, not with hosts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { createFrame } from '../../../base/node/frameConnection.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import type { PeerLink } from '../../facts/node/peerLink.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { PeerMessage } from '../../membership/node/gossipService.ts'
import { ChangeHistory } from '../common/changeHistory.ts'
import type { FedChanges, IChangeFeed } from '../common/changeFeed.ts'
import { FeedBelief, MAX_SILENCE_MS } from '../common/feedBelief.ts'
import { chooseFeeders, listFeeders } from '../common/feederChoice.ts'
import type { FeedMember } from '../common/feederChoice.ts'
import type { SourceChange, SourceChanges } from '../common/sourceChanges.ts'

/** The links that a feed goes over. */
export interface IFeedLinks {
  readonly onDidReceive: (listener: (received: PeerMessage) => void) => IDisposable
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

/** Members change by the hundred when a fleet starts, and the choice is made over all of them. */
const CHOICE_PERIOD_MS = 500
/** How often a feeder that is not relied on is asked again. */
const ASK_PERIOD_MS = 1000
/** A link to a feeder that has been silent for so long is opened anew: it may be the link's own doing. */
const REPLACE_LINK_MS = 3000
/** A source that was never lost has been heard for ever; no break is of interest for so long. */
const MAX_HEARD_MS = 3_600_000
/**
 * A longer value is not handed on to every reader: a configuration of 5 kB to 78 readers would fill a link of 14 Mbit/s
 * for 0.2 s. Peers spread it in a tree.
 */
const MAX_ITEM_LENGTH = 2048

export class FeedService extends Disposable implements IChangeFeed {
  private readonly _options: FeedServiceOptions
  private readonly _belief = new FeedBelief()
  private readonly _readers = new Set<PeerLink>()
  private readonly _askedAt = new Map<string, number>()
  private _members: readonly FeedMember[] = []
  private _feeders: readonly string[] = []
  private _revision: number | undefined
  /** What the source told this node; undefined while the node does not follow it. */
  private _history: ChangeHistory | undefined
  private _heardSince = 0
  private _confirmedAt = 0
  private _isFed = false
  private _doubtTimer: IDisposable | undefined
  private readonly _onDidChange = this._register(new Emitter<void>())
  private readonly _onDidReceive = this._register(new Emitter<FedChanges>())
  readonly onDidChange = this._onDidChange.event
  readonly onDidReceive = this._onDidReceive.event

  constructor (options: FeedServiceOptions) {
    super()
    this._options = options
    this._register(options.links.onDidReceive(({ link, message }) => this._take(link, message)))
    this._register(startInterval(CHOICE_PERIOD_MS, () => this._refresh()))
    this._register(toDisposable(() => this._doubtTimer?.dispose()))
  }

  get isFed (): boolean {
    return this._isFed
  }

  get hasReaders (): boolean {
    return this._readers.size > 0
  }

  setRevision (revision: number | undefined): void {
    this._revision = revision
    this._belief.setRevision(revision, this._options.clock.now())
    this._decide()
  }

  publish (changes: SourceChanges, heardSince: number): void {
    this._heardSince = heardSince
    this._confirmedAt = this._options.clock.now()
    if (this._history === undefined) {
      this._history = new ChangeHistory(changes.revision)
    } else if (!this._history.add(changes)) {
      // A new list: readers that are further behind have to list as well.
      this._history = new ChangeHistory(changes.revision)
      return this._sendAll({ kind: 'feedGap', after: changes.revision })
    }
    if (this._readers.size === 0) return
    const times = this._computeTimes()
    if (changes.changes.length === 0) this._sendAll({ kind: 'feedConfirmed', revision: this._history.revision, ...times })
    else this._sendAll({ kind: 'feedChanges', after: changes.after, revision: changes.revision, ...times, changes: changes.changes.map(createFedChange) })
  }

  announceLoss (): void {
    if (this._history === undefined) return
    this._history = undefined
    this._sendAll({ kind: 'feedLost' })
  }

  private _computeTimes (): { readonly heardForMs: number, readonly ageMs: number } {
    const now = this._options.clock.now()
    return {
      heardForMs: Math.min(MAX_HEARD_MS, Math.max(0, Math.floor(now - this._heardSince))),
      ageMs: Math.max(0, Math.ceil(now - this._confirmedAt))
    }
  }

  /** Encoded once for all readers. */
  private _sendAll (message: WireMessage): void {
    // A link that was replaced by a newer one of the same member is closed without a word.
    for (const link of this._readers) if (link.isClosed) this._readers.delete(link)
    if (this._readers.size === 0) return
    const frame = createFrame(message)
    for (const link of this._readers) link.sendFrame(frame)
  }

  private _take (link: PeerLink, message: WireMessage): void {
    if (message.kind === 'feedWanted') return this._addReader(link, message.after)
    if (message.kind === 'feedChanges') return this._takeChanges(link.peerAddress, message)
    if (message.kind === 'feedConfirmed') return this._takeChanges(link.peerAddress, { ...message, after: message.revision, changes: [] })
    if (message.kind === 'feedLost') this._belief.noteLost(link.peerAddress)
    else if (message.kind === 'feedGap') this._askLater(link.peerAddress)
    else return
    this._decide()
  }

  private _addReader (link: PeerLink, after: number): void {
    if (this._history === undefined || this._isFed) return link.send({ kind: 'feedLost' })
    if (!this._readers.has(link)) {
      this._readers.add(link)
      link.onDidClose(() => this._readers.delete(link))
    }
    const times = this._computeTimes()
    if (after >= this._history.revision) return link.send({ kind: 'feedConfirmed', revision: this._history.revision, ...times })
    const missed = this._history.listSince(after)
    if (missed === undefined) link.send({ kind: 'feedGap', after })
    else link.send({ kind: 'feedChanges', ...missed, ...times, changes: missed.changes.map(createFedChange) })
  }

  private _takeChanges (source: string, told: SourceChanges & { readonly heardForMs: number, readonly ageMs: number }): void {
    // A feeder of before, whose news may have a gap.
    if (!this._feeders.includes(source) || this._revision === undefined) return
    const now = this._options.clock.now()
    const { after, revision, changes, heardForMs, ageMs } = told
    if (after > this._revision) return this._ask(source)
    this._belief.noteHeard(source, revision, now - ageMs, now)
    this._onDidReceive.fire({ after, revision, changes, source, heardSince: now - heardForMs, confirmedAt: now - ageMs })
    this._decide()
  }

  private _refresh (): void {
    if (!this._options.hasMembers()) return
    const members = this._options.listMembers()
    if (members !== this._members) this._chooseFeeders(members)
    const now = this._options.clock.now()
    for (const address of this._feeders) {
      if (this._belief.findDoubt(address, now) === undefined) continue
      const silentMs = this._belief.computeSilentMs(address, now)
      if (silentMs >= REPLACE_LINK_MS && silentMs !== Infinity && this._isAskDue(address, REPLACE_LINK_MS)) this._options.links.dropLink(address)
      if (this._isAskDue(address, ASK_PERIOD_MS)) this._ask(address)
    }
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

  private _isAskDue (address: string, periodMs: number): boolean {
    return this._options.clock.now() - (this._askedAt.get(address) ?? -Infinity) >= periodMs
  }

  /** The next round asks, when this node has listed. */
  private _askLater (address: string): void {
    this._belief.noteLost(address)
    this._askedAt.set(address, this._options.clock.now())
  }

  private _ask (address: string): void {
    if (this._revision === undefined) return
    this._askedAt.set(address, this._options.clock.now())
    void this._options.links.connect(address).then(link => {
      if (this._revision !== undefined && !this._isDisposed) link?.send({ kind: 'feedWanted', after: this._revision })
    })
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
    this._options.log.info(isFed ? 'feed_taken' : 'feed_doubted', { feeders: doubts.join(','), revision: this._revision ?? 0 })
    if (isFed) this._endFeeding()
    this._onDidChange.fire()
  }

  /** A node that is fed does not follow the source, so nobody may rely on it. */
  private _endFeeding (): void {
    this._sendAll({ kind: 'feedLost' })
    this._readers.clear()
    this._history = undefined
  }
}

function createFedChange (change: SourceChange): SourceChange {
  if (change.item === undefined || change.item.text.length <= MAX_ITEM_LENGTH) return change
  return { key: change.key, revision: change.revision, item: undefined, isWithheld: true }
}
