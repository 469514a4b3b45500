/**
 * The latest changes of a source, to send a reader those that it missed.
 */
import type { SourceChange, SourceChanges } from './sourceChanges.ts'

/** Approximately the number of changes when 1,000 upstreams are all replaced within a minute. */
const DEFAULT_MAX_CHANGES = 4000

export class ChangeHistory {
  private _changes: SourceChange[] = []
  /** Changes after this revision are available. */
  private _startRevision: number
  private _revision: number

  constructor (revision: number, private readonly _maxChanges = DEFAULT_MAX_CHANGES) {
    this._startRevision = revision
    this._revision = revision
  }

  get revision (): number {
    return this._revision
  }

  /** Adds changes. Returns false without adding any if there is a gap between the history and the changes. */
  add ({ after, revision, changes }: SourceChanges): boolean {
    if (after > this._revision) return false
    this._changes.push(...changes.filter(change => change.revision > this._revision))
    this._revision = Math.max(this._revision, revision)
    const excess = this._changes.length - this._maxChanges
    if (excess > 0) {
      this._startRevision = this._changes[excess - 1]?.revision ?? this._startRevision
      this._changes = this._changes.slice(excess)
    }
    return true
  }

  /** Returns the changes after a revision; undefined if some of them are no longer available. */
  listSince (after: number): SourceChanges | undefined {
    if (after < this._startRevision) return undefined
    return { after, revision: this._revision, changes: this._changes.filter(change => change.revision > after) }
  }
}
