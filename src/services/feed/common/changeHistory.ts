/**
 * The last changes of a source, so that a reader that comes back is told what it missed.
 */
import type { SourceChange, SourceChanges } from './sourceChanges.ts'

/** A fleet of 1,000 upstreams that are all replaced within a minute writes about so many changes. */
const DEFAULT_MAX_CHANGES = 4000

export class ChangeHistory {
  private _changes: SourceChange[] = []
  /** Changes after this revision are held. */
  private _after: number
  private _revision: number

  constructor (revision: number, private readonly _maxChanges = DEFAULT_MAX_CHANGES) {
    this._after = revision
    this._revision = revision
  }

  get revision (): number {
    return this._revision
  }

  /** False where something is missing between what is held and the changes; then nothing is taken in. */
  add ({ after, revision, changes }: SourceChanges): boolean {
    if (after > this._revision) return false
    this._changes.push(...changes.filter(change => change.revision > this._revision))
    this._revision = Math.max(this._revision, revision)
    const excess = this._changes.length - this._maxChanges
    if (excess > 0) {
      this._after = this._changes[excess - 1]?.revision ?? this._after
      this._changes = this._changes.slice(excess)
    }
    return true
  }

  /** Undefined where some of them are no longer held. */
  listSince (after: number): SourceChanges | undefined {
    if (after < this._after) return undefined
    return { after, revision: this._revision, changes: this._changes.filter(change => change.revision > after) }
  }
}
