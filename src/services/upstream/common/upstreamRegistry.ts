/**
 * The upstreams that announced themselves. There is one entry per upstream instance, because an address may be reused by
 * another upstream. An instance that was marked as leaving, or whose address is answered by another instance, is never used
 * again, whichever source reports it later. One that is only missing from a list may return, because the list may have been
 * wrong. Upstreams of an evacuated hall stay in the registry but get no work until the hall is readmitted.
 */
import { BoundedSet } from '../../../base/common/boundedSet.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'

/** One instance of an upstream: a process from its start to its end. */
export interface UpstreamEntry {
  /** Unique to the instance. */
  readonly id: string
  readonly role: string
  readonly address: string
  readonly hall: string
  /** Maximum number of concurrent calls. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Until this time the cold upstream has capacity for few requests only; milliseconds on this process's clock. */
  readonly coldUntil?: number
}

/** A change of an entry. `signal` names its source or cause. */
export interface UpstreamChange {
  readonly kind: 'added' | 'changed' | 'leaving' | 'dropped'
  readonly entry: UpstreamEntry
  readonly signal: string
}

/** How current the entries are. Logged, to explain requests that were sent to an unsuitable upstream. */
export interface RegistryFreshness {
  /** The source's revision up to which all changes have been applied. */
  readonly revision: number
  /** Milliseconds since the source last confirmed that revision; Infinity before the first confirmation. */
  readonly ageMs: number
}

/** Maximum number of instance ids remembered per set, whether or not the instances are listed. */
const MAX_REMEMBERED_IDS = 2000

export class UpstreamRegistry extends Disposable {
  private readonly _entries = new Map<string, UpstreamEntry>()
  private readonly _byRole = new Map<string, readonly UpstreamEntry[]>()
  private readonly _removedIds = new BoundedSet<string>(MAX_REMEMBERED_IDS)
  private readonly _leavingIds = new BoundedSet<string>(MAX_REMEMBERED_IDS)
  private readonly _evacuatedHalls = new Set<string>()
  private _confirmedRevision = 0
  private _confirmedAt = -Infinity
  private readonly _onDidChange = this._register(new Emitter<UpstreamChange>())
  readonly onDidChange = this._onDidChange.event
  private readonly _onDidEvacuate = this._register(new Emitter<string>())
  /** Fired when a hall is evacuated, after `onDidChange` was fired for each of its upstreams. */
  readonly onDidEvacuate = this._onDidEvacuate.event

  get size (): number {
    return this._entries.size
  }

  get (id: string): UpstreamEntry | undefined {
    return this._entries.get(id)
  }

  list (): readonly UpstreamEntry[] {
    return [...this._entries.values()]
  }

  /** The upstreams of a role that accept new work. */
  listAvailable (role: string): readonly UpstreamEntry[] {
    let roleEntries = this._byRole.get(role)
    if (roleEntries === undefined) {
      roleEntries = this.list().filter(entry => entry.role === role && this.isAvailable(entry))
      this._byRole.set(role, roleEntries)
    }
    return roleEntries
  }

  /** Whether new work may be sent to the upstream. */
  isAvailable ({ hall, isLeaving }: UpstreamEntry): boolean {
    return !isLeaving && !this._evacuatedHalls.has(hall)
  }

  isEvacuated (hall: string): boolean {
    return this._evacuatedHalls.has(hall)
  }

  listEvacuatedHalls (): readonly string[] {
    return [...this._evacuatedHalls]
  }

  /** Returns false if the hall already was in that state. */
  setEvacuated (hall: string, isEvacuated: boolean): boolean {
    if (this._evacuatedHalls.has(hall) === isEvacuated) return false
    if (isEvacuated) this._evacuatedHalls.add(hall)
    else this._evacuatedHalls.delete(hall)
    this._byRole.clear()
    for (const entry of this.list()) if (entry.hall === hall) this._fire('changed', entry, isEvacuated ? 'evacuated' : 'readmitted')
    if (isEvacuated) this._onDidEvacuate.fire(hall)
    return true
  }

  /**
   * Adds or updates an entry. An instance that was leaving stays leaving, and of the known values of `coldUntil` the latest is
   * kept.
   */
  update (entry: UpstreamEntry, signal: string): void {
    if (this._removedIds.has(entry.id)) return
    const existing = this._entries.get(entry.id)
    const next = { ...entry, isLeaving: entry.isLeaving || existing?.isLeaving === true || this._leavingIds.has(entry.id), coldUntil: Math.max(entry.coldUntil ?? 0, existing?.coldUntil ?? 0) }
    this._setEntry(next)
    if (existing === undefined) this._fire('added', next, signal)
    if (next.isLeaving && existing?.isLeaving !== true) this._fire('leaving', next, signal)
    else if (existing !== undefined && !isSameEntry(existing, next)) this._fire('changed', next, signal)
  }

  /** Stops new work; calls in flight may complete. The signal may arrive before the entry of the instance. */
  markLeaving (id: string, signal: string): void {
    this._leavingIds.add(id)
    const existing = this._entries.get(id)
    if (existing === undefined || existing.isLeaving) return
    const next = { ...existing, isLeaving: true }
    this._setEntry(next)
    this._fire('leaving', next, signal)
  }

  /** Removes an entry until its source lists it again. */
  remove (id: string, signal: string): void {
    const existing = this._entries.get(id)
    if (existing === undefined) return
    this._entries.delete(id)
    this._byRole.delete(existing.role)
    // An instance that was leaving stays so, even if it is missing from the list for a while.
    if (existing.isLeaving) this._removedIds.add(id)
    this._fire('dropped', existing, signal)
  }

  /** Removes an entry permanently, because the instance is known to have ended. */
  removePermanently (id: string, signal: string): void {
    this._removedIds.add(id)
    this.remove(id, signal)
  }

  /** Records that the source confirmed this revision: all changes up to it have been applied, and there are no later ones. */
  confirmRevision (revision: number, now: number): void {
    this._confirmedRevision = revision
    this._confirmedAt = now
  }

  computeFreshness (now: number): RegistryFreshness {
    return { revision: this._confirmedRevision, ageMs: now - this._confirmedAt }
  }

  private _setEntry (entry: UpstreamEntry): void {
    const existing = this._entries.get(entry.id)
    this._entries.set(entry.id, entry)
    this._byRole.delete(entry.role)
    if (existing !== undefined && existing.role !== entry.role) this._byRole.delete(existing.role)
  }

  private _fire (kind: UpstreamChange['kind'], entry: UpstreamEntry, signal: string): void {
    this._onDidChange.fire({ kind, entry, signal })
  }
}

function isSameEntry (a: UpstreamEntry, b: UpstreamEntry): boolean {
  return a.role === b.role && a.address === b.address && a.hall === b.hall && a.slots === b.slots && a.isLeaving === b.isLeaving
}
