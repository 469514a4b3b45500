/**
 * Forwards the changes that this node receives from the source to its readers.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { createFrame } from '../../../base/node/frameConnection.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import type { PeerLink } from '../../facts/node/peerLink.ts'
import { ChangeHistory } from '../common/changeHistory.ts'
import type { SourceChange, SourceChanges } from '../common/sourceChanges.ts'

/** Upper limit of the reported time without interruption. Older interruptions are irrelevant. */
const MAX_UNINTERRUPTED_MS = 3_600_000
/**
 * Longer values are not sent to every reader: a configuration of 5 kB sent to 78 readers would occupy a link of 14 Mbit/s for
 * 0.2 s. Peers distribute it in a tree instead.
 */
const MAX_ITEM_LENGTH = 2048

export class FeedSender {
  private readonly _readers = new Set<PeerLink>()
  /** The changes received from the source; undefined while this node does not follow it. */
  private _history: ChangeHistory | undefined
  private _uninterruptedSince = 0
  private _confirmedAt = 0

  constructor (private readonly _clock: IClock) {}

  get hasReaders (): boolean {
    return this._readers.size > 0
  }

  /** Sends changes to all readers; an empty list confirms that the source has no further ones. */
  publish (changes: SourceChanges, uninterruptedSince: number): void {
    this._uninterruptedSince = uninterruptedSince
    this._confirmedAt = this._clock.now()
    if (this._history === undefined) {
      this._history = new ChangeHistory(changes.revision)
    } else if (!this._history.add(changes)) {
      // The source was listed again. Readers that are behind get the missing changes from the source or from another feeder.
      this._history = new ChangeHistory(changes.revision)
      return this._sendAll({ kind: 'feedGap', after: changes.revision })
    }
    if (changes.changes.length === 0) this._sendAll(this._createConfirmationMessage(this._history))
    else this._sendAll(this._createChangesMessage(changes))
  }

  /** Informs the readers that the source is lost. They stay registered and are notified when it is available again. */
  announceSourceLoss (): void {
    if (this._history === undefined) return
    this._history = undefined
    this._sendAll({ kind: 'feedLost' })
  }

  /** Registers a reader that has all changes up to a revision, unless this node does not follow the source. */
  addReader (link: PeerLink, after: number): void {
    if (this._history === undefined) return link.send({ kind: 'feedLost' })
    if (!this._readers.has(link)) {
      this._readers.add(link)
      link.onDidClose(() => this._readers.delete(link))
    }
    if (after >= this._history.revision) return link.send(this._createConfirmationMessage(this._history))
    const missed = this._history.listSince(after)
    link.send(missed === undefined ? { kind: 'feedGap', after } : this._createChangesMessage(missed))
  }

  /** Removes all readers: a node that reads from feeders does not follow the source itself, so it cannot be a feeder. */
  stop (): void {
    this.announceSourceLoss()
    this._readers.clear()
  }

  private _createConfirmationMessage ({ revision }: ChangeHistory): WireMessage {
    return { kind: 'feedConfirmed', revision, ...this._computeTimes() }
  }

  private _createChangesMessage ({ after, revision, changes }: SourceChanges): WireMessage {
    return { kind: 'feedChanges', after, revision, changes: changes.map(createForwardedChange), ...this._computeTimes() }
  }

  private _computeTimes (): { readonly heardForMs: number, readonly ageMs: number } {
    const now = this._clock.now()
    return {
      heardForMs: Math.min(MAX_UNINTERRUPTED_MS, Math.max(0, Math.floor(now - this._uninterruptedSince))),
      ageMs: Math.max(0, Math.ceil(now - this._confirmedAt))
    }
  }

  /** Encodes the message once for all readers. */
  private _sendAll (message: WireMessage): void {
    // A link that is replaced by a newer one of the same member is closed without a close event.
    for (const link of this._readers) if (link.isClosed) this._readers.delete(link)
    if (this._readers.size === 0) return
    const frame = createFrame(message)
    for (const link of this._readers) link.sendFrame(frame)
  }
}

function createForwardedChange (change: SourceChange): SourceChange {
  if (change.item === undefined || change.item.text.length <= MAX_ITEM_LENGTH) return change
  return { key: change.key, revision: change.revision, item: undefined, isWithheld: true }
}
