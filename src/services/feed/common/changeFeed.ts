/**
 * The feed of source changes from feeders, which follow the source themselves, to readers, which receive its changes from
 * feeders.
 */
import type { Event } from '../../../base/common/event.ts'
import type { SourceChanges } from './sourceChanges.ts'

/** Changes received from a feeder. */
export interface FeederChanges extends SourceChanges {
  /** The feeder's address. */
  readonly source: string
  /** Since when the feeder has followed the source without interruption, in milliseconds on this process's clock. */
  readonly uninterruptedSince: number
  /** When the source last confirmed to the feeder that there are no further changes, in milliseconds on this process's clock. */
  readonly confirmedAt: number
}

export interface IChangeFeed {
  /** Whether at least one feeder is reliable, so that this node need not query the source itself. */
  readonly hasReliableFeeder: boolean
  /** Fired when the availability of a reliable feeder has changed. */
  readonly onDidChange: Event<void>
  /** Changes in the order of revisions; an empty list confirms that there are none. */
  readonly onDidReceive: Event<FeederChanges>

  /** Fired with a feeder's position when it is in a later era of the source than this node's. */
  readonly onDidDetectLaterEra: Event<number>

  /** Sets the revision up to which this node has applied all changes; undefined while it has no complete list. */
  setRevision (revision: number | undefined): void

  /** Whether other nodes receive changes from this node. */
  readonly hasReaders: boolean

  /**
   * Publishes changes that this node received from the source; an empty list confirms that there are none. The second
   * parameter is the time since which the node has followed the source without interruption.
   */
  publish (changes: SourceChanges, uninterruptedSince: number): void

  /** Informs the readers that this node has lost the source. */
  announceSourceLoss (): void
}
