/**
 * The values and changes of a key-value source. Revisions are positions (see sourcePosition.ts), which also increase across
 * eras.
 */

/** A value of the source, with its key. */
export interface SourceItem {
  readonly key: string
  readonly text: string
  /** The source's revision of the value's last write. */
  readonly revision: number
}

/** A change of the source; without an item, the value was deleted unless it is withheld. */
export interface SourceChange {
  readonly key: string
  readonly revision: number
  readonly item: SourceItem | undefined
  /** The value was written, but is too long to be forwarded by a feed. */
  readonly isWithheld?: boolean
}

/** All changes after one revision, up to another. */
export interface SourceChanges {
  readonly after: number
  readonly revision: number
  readonly changes: readonly SourceChange[]
}

/**
 * Returns the changes after a revision that is known already. Changes of the same source arrive from several senders in any
 * order: applied unfiltered, a late change would restore a value whose deletion was received earlier.
 */
export function dropKnownChanges (received: SourceChanges, known: number): SourceChanges {
  return {
    after: Math.max(received.after, known),
    revision: Math.max(received.revision, known),
    changes: received.changes.filter(change => change.revision > known)
  }
}
