/**
 * What a source of keyed values says of them, by its revisions. All of these are positions, which grow over eras too.
 */

/** A value of the source. */
export interface SourceItem {
  readonly key: string
  readonly text: string
  /** The source's revision of the value's last write. */
  readonly revision: number
}

/** A change of the source; without an item the value is gone. */
export interface SourceChange {
  readonly key: string
  readonly revision: number
  readonly item: SourceItem | undefined
  /** The value was written, but is too long to be handed on by a feed. */
  readonly isWithheld?: boolean
}

/** All changes after one revision, up to another. */
export interface SourceChanges {
  readonly after: number
  readonly revision: number
  readonly changes: readonly SourceChange[]
}

/**
 * What changes add to a revision that is known already. Two that tell of the same source overtake each other: taken whole,
 * the slower one would bring back what the faster one said is gone.
 */
export function dropKnown (told: SourceChanges, known: number): SourceChanges {
  return {
    after: Math.max(told.after, known),
    revision: Math.max(told.revision, known),
    changes: told.changes.filter(change => change.revision > known)
  }
}
