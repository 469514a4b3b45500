/**
 * Forwards changes of the source between hosts, as a feeder or as a reader, so that the number of calls to the source grows
 * with halls and changes instead of with hosts.
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
import type { FeederChanges, IChangeFeed } from '../common/changeFeed.ts'
import { FeederTracker, MAX_SILENCE_MS } from '../common/feederTracker.ts'
import { chooseFeeders, listFeeders } from '../common/feederChoice.ts'
import type { FeedMember } from '../common/feederChoice.ts'
import type { SourceChanges } from '../common/sourceChanges.ts'
import { formatPosition, readEra } from '../common/sourcePosition.ts'
import { FeedSender } from './feedSender.ts'

/** The links to other members that the feed uses. */
export interface IFeedLinks {
  readonly onDidReceive: Event<PeerMessage>
  connect (address: string): Promise<PeerLink | undefined>
  dropLink (address: string): void
  /** Sets the members whose links have to stay open. */
  retainLinks (addresses: readonly string[]): void
}

export interface FeedServiceOptions {
  readonly own: FeedMember
  readonly clock: IClock
  readonly log: ILogService
  readonly links: IFeedLinks
  /** All members considered alive, including this one. */
  readonly listMembers: () => readonly FeedMember[]
  /** Whether the members are known completely enough to choose feeders. */
  readonly hasMembers: () => boolean
}

/** The state of the requests to one feeder. */
interface FeederRequest {
  readonly lastSentAt: number
  /** Time of the last answer; before the first answer, time of the first request. */
  readonly unansweredSince: number
}

/** Feeders are chosen periodically instead of on each change: the choice covers all members, and hundreds change when a fleet starts. */
const CHOICE_PERIOD_MS = 500
/** Interval between requests to a feeder that is not reliable. */
const REQUEST_PERIOD_MS = 1000
/** A feeder that has not answered for this time is contacted over a new link. */
const RECONNECT_AFTER_MS = 3000

export class FeedService extends Disposable implements IChangeFeed {
  private readonly _options: FeedServiceOptions
  private readonly _tracker = new FeederTracker()
  private readonly _sender: FeedSender
  private readonly _requests = new Map<string, FeederRequest>()
  private _members: readonly FeedMember[] = []
  private _feeders: readonly string[] = []
  private _revision: number | undefined
  private _hasReliableFeeder = false
  private _silenceTimer: IDisposable | undefined
  private readonly _onDidChange = this._register(new Emitter<void>())
  private readonly _onDidReceive = this._register(new Emitter<FeederChanges>())
  readonly onDidChange = this._onDidChange.event
  readonly onDidReceive = this._onDidReceive.event
  private readonly _onDidDetectLaterEra = this._register(new Emitter<number>())
  readonly onDidDetectLaterEra = this._onDidDetectLaterEra.event

  constructor (options: FeedServiceOptions) {
    super()
    this._options = options
    this._sender = new FeedSender(options.clock)
    this._register(options.links.onDidReceive(({ link, message }) => this._processMessage(link, message)))
    this._register(startInterval(CHOICE_PERIOD_MS, () => this._refresh()))
    this._register(toDisposable(() => this._silenceTimer?.dispose()))
  }

  get hasReliableFeeder (): boolean {
    return this._hasReliableFeeder
  }

  get hasReaders (): boolean {
    return this._sender.hasReaders
  }

  setRevision (revision: number | undefined): void {
    this._revision = revision
    this._tracker.setRevision(revision, this._options.clock.now())
    this._updateReliability()
  }

  publish (changes: SourceChanges, uninterruptedSince: number): void {
    this._sender.publish(changes, uninterruptedSince)
  }

  announceSourceLoss (): void {
    this._sender.announceSourceLoss()
  }

  private _processMessage (link: PeerLink, message: WireMessage): void {
    if (message.kind === 'feedWanted') return this._hasReliableFeeder ? link.send({ kind: 'feedLost' }) : this._sender.addReader(link, message.after)
    if (message.kind !== 'feedChanges' && message.kind !== 'feedConfirmed' && message.kind !== 'feedLost' && message.kind !== 'feedGap') return
    const feeder = link.peerAddress
    this._recordAnswer(feeder)
    if (message.kind === 'feedChanges') return this._processChanges(feeder, message)
    if (message.kind === 'feedConfirmed') return this._processChanges(feeder, { ...message, after: message.revision, changes: [] })
    if (message.kind === 'feedGap' && this._isLaterEra(message.after)) this._onDidDetectLaterEra.fire(message.after)
    // The request is retried after a second for a gap as well; by then this node may have received the missing changes.
    this._tracker.recordSourceLoss(feeder)
    this._updateReliability()
  }

  private _processChanges (source: string, received: SourceChanges & { readonly heardForMs: number, readonly ageMs: number }): void {
    // Ignores messages of former feeders, whose changes may have a gap, and those that arrive before the first list.
    if (!this._feeders.includes(source) || this._revision === undefined) return
    const now = this._options.clock.now()
    const { after, revision, changes, heardForMs, ageMs } = received
    if (this._isLaterEra(revision)) return this._onDidDetectLaterEra.fire(revision)
    if (after > this._revision) return this._queryChanges(source)
    this._tracker.recordConfirmation(source, revision, now - ageMs, now)
    this._onDidReceive.fire({ after, revision, changes, source, uninterruptedSince: now - heardForMs, confirmedAt: now - ageMs })
    this._updateReliability()
  }

  private _isLaterEra (position: number): boolean {
    return this._revision !== undefined && readEra(position) > readEra(this._revision)
  }

  private _refresh (): void {
    if (!this._options.hasMembers()) return
    const members = this._options.listMembers()
    if (members !== this._members) this._chooseFeeders(members)
    const now = this._options.clock.now()
    for (const address of this._feeders) if (this._tracker.findProblem(address, now) !== undefined) this._retryRequest(address, now)
    this._updateReliability()
  }

  private _chooseFeeders (members: readonly FeedMember[]): void {
    this._members = members
    const feeders = chooseFeeders(this._options.own, listFeeders(members))
    if (feeders.join() === this._feeders.join()) return
    this._feeders = feeders
    this._tracker.setFeeders(feeders)
    this._options.links.retainLinks(feeders)
    this._options.log.info('feeders_chosen', { feeders: feeders.join(','), members: members.length })
  }

  /** Requests changes from a feeder that is not reliable. Replaces the link if the feeder does not answer, as it may be stalled. */
  private _retryRequest (address: string, now: number): void {
    const request = this._requests.get(address)
    if (request !== undefined && now - request.lastSentAt < REQUEST_PERIOD_MS) return
    if (request !== undefined && now - request.unansweredSince >= RECONNECT_AFTER_MS) {
      this._options.links.dropLink(address)
      this._requests.delete(address)
    }
    this._queryChanges(address)
  }

  private _queryChanges (address: string): void {
    if (this._revision === undefined) return
    const now = this._options.clock.now()
    this._requests.set(address, { lastSentAt: now, unansweredSince: this._requests.get(address)?.unansweredSince ?? now })
    void this._options.links.connect(address).then(link => {
      if (this._revision !== undefined && !this._isDisposed) link?.send({ kind: 'feedWanted', after: this._revision })
    })
  }

  private _recordAnswer (address: string): void {
    const request = this._requests.get(address)
    if (request !== undefined) this._requests.set(address, { lastSentAt: request.lastSentAt, unansweredSince: this._options.clock.now() })
  }

  /** Updates whether any feeder is reliable, and schedules the next check for when the last reliable one would become silent. */
  private _updateReliability (): void {
    const now = this._options.clock.now()
    const reliableFeeders = this._feeders.length === 0 ? [] : this._tracker.listReliable(now)
    const hasReliableFeeder = reliableFeeders.length > 0
    this._silenceTimer?.dispose()
    if (hasReliableFeeder) {
      const silentMs = Math.min(...reliableFeeders.map(address => this._tracker.computeSilenceMs(address, now)))
      this._silenceTimer = this._options.clock.schedule(MAX_SILENCE_MS - silentMs + 1, () => this._updateReliability())
    }
    if (hasReliableFeeder === this._hasReliableFeeder) return
    this._hasReliableFeeder = hasReliableFeeder
    const feederStates = this._feeders.map(address => `${address}:${this._tracker.findProblem(address, now) ?? 'trusted'}`)
    this._options.log.info(hasReliableFeeder ? 'feed_taken' : 'feed_doubted', { feeders: feederStates.join(','), revision: formatPosition(this._revision ?? 0) })
    if (hasReliableFeeder) this._sender.stop()
    this._onDidChange.fire()
  }
}
