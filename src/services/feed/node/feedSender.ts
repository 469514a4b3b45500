/**
 * Hands on what the source tells this node to the members that listen to it.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { createFrame } from '../../../base/node/frameConnection.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import type { PeerLink } from '../../facts/node/peerLink.ts'
import { ChangeHistory } from '../common/changeHistory.ts'
import type { SourceChange, SourceChanges } from '../common/sourceChanges.ts'

/** A source that was never lost has been heard for ever; no break is of interest for so long. */
const MAX_HEARD_MS = 3_600_000
/**
 * A longer value is not handed on to every reader: a configuration of 5 kB to 78 readers would fill a link of 14 Mbit/s
 * for 0.2 s. Peers spread it in a tree.
 */
const MAX_ITEM_LENGTH = 2048

export class FeedSender {
  private readonly _readers = new Set<PeerLink>()
  /** What the source told this node; undefined while the node does not follow it. */
  private _history: ChangeHistory | undefined
  private _heardSince = 0
  private _confirmedAt = 0

  constructor (private readonly _clock: IClock) {}

  get hasReaders (): boolean {
    return this._readers.size > 0
  }

  /** Tells all readers of changes, or without any that the source has no more. */
  publish (changes: SourceChanges, heardSince: number): void {
    this._heardSince = heardSince
    this._confirmedAt = this._clock.now()
    if (this._history === undefined) {
      this._history = new ChangeHistory(changes.revision)
    } else if (!this._history.add(changes)) {
      // A new list: readers that are further behind hear what lies between from the source, or from another feeder.
      this._history = new ChangeHistory(changes.revision)
      return this._sendAll({ kind: 'feedGap', after: changes.revision })
    }
    if (changes.changes.length === 0) this._sendAll(this._createConfirmation(this._history))
    else this._sendAll(this._createNews(changes))
  }

  /** The source is not heard any more; readers stay, and hear when it is again. */
  announceLoss (): void {
    if (this._history === undefined) return
    this._history = undefined
    this._sendAll({ kind: 'feedLost' })
  }

  /** Takes a reader that knows everything up to a revision, unless there is nothing to tell it. */
  addReader (link: PeerLink, after: number): void {
    if (this._history === undefined) return link.send({ kind: 'feedLost' })
    if (!this._readers.has(link)) {
      this._readers.add(link)
      link.onDidClose(() => this._readers.delete(link))
    }
    if (after >= this._history.revision) return link.send(this._createConfirmation(this._history))
    const missed = this._history.listSince(after)
    link.send(missed === undefined ? { kind: 'feedGap', after } : this._createNews(missed))
  }

  /** A node that is fed itself does not follow the source, so nobody may rely on it. */
  end (): void {
    this.announceLoss()
    this._readers.clear()
  }

  private _createConfirmation ({ revision }: ChangeHistory): WireMessage {
    return { kind: 'feedConfirmed', revision, ...this._computeTimes() }
  }

  private _createNews ({ after, revision, changes }: SourceChanges): WireMessage {
    return { kind: 'feedChanges', after, revision, changes: changes.map(createFedChange), ...this._computeTimes() }
  }

  private _computeTimes (): { readonly heardForMs: number, readonly ageMs: number } {
    const now = this._clock.now()
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
}

function createFedChange (change: SourceChange): SourceChange {
  if (change.item === undefined || change.item.text.length <= MAX_ITEM_LENGTH) return change
  return { key: change.key, revision: change.revision, item: undefined, isWithheld: true }
}
