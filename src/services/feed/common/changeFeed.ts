/**
 * What a node that follows a source and one that is told by others exchange.
 */
import type { Event } from '../../../base/common/event.ts'
import type { SourceChanges } from './sourceChanges.ts'

/** Changes that a feeder told of. */
export interface FedChanges extends SourceChanges {
  /** The feeder that told. */
  readonly source: string
  /** When the feeder last heard the source again after a break, on this process's clock. */
  readonly heardSince: number
  /** When the source last told the feeder that there is no more, on this process's clock. */
  readonly confirmedAt: number
}

export interface IChangeFeed {
  /** Whether feeders can be relied on, so that the source need not be asked. */
  readonly isFed: boolean
  /** Fired when `isFed` has changed. */
  readonly onDidChange: Event<void>
  /** Changes in the order of revisions; empty ones confirm that there are none. */
  readonly onDidReceive: Event<FedChanges>

  /** A feeder told of a later era of the source than this node knows: fired with the position that it told. */
  readonly onDidOutgrow: Event<number>

  /** The revision up to which this node has taken all changes; undefined while it has no list. */
  setRevision (revision: number | undefined): void

  /** Whether others rely on this node to follow the source. */
  readonly hasReaders: boolean

  /**
   * The source itself has told this node of changes, or with none, that there are none. Since `heardSince` it was heard
   * without a break.
   */
  publish (changes: SourceChanges, heardSince: number): void

  /** This node does not hear the source any more. */
  announceLoss (): void
}
