/**
 * The upstreams that announced themselves: one entry for each boot, since an address may be given to another upstream.
 * A boot that was marked as leaving, or whose address answers as another, never comes back into use, whoever speaks of
 * it later. One that is only missing from a list may: the list may have been wrong. Upstreams of a hall that is evacuated
 * are known, but take no work until the hall is taken back.
 */
import { BoundedSet } from '../../../base/common/boundedSet.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'

/** One boot of an upstream. */
export interface UpstreamEntry {
  /** Unique to the boot. */
  readonly id: string
  readonly role: string
  readonly address: string
  readonly hall: string
  /** Calls that it works on at once. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Until then it bears few requests, on the process's clock. */
  readonly coldUntil?: number
}

/** What changed of an entry. */
export interface UpstreamChange {
  readonly kind: 'added' | 'changed' | 'leaving' | 'dropped'
  readonly entry: UpstreamEntry
  readonly signal: string
}

/** How current the entries are, for logs: a request that went to the wrong place is explained by it. */
export interface PictureAge {
  /** The source's revision up to which its changes are known. */
  readonly revision: number
  /** Milliseconds since the source last said so; Infinity before it did. */
  readonly ageMs: number
}

/** Ids of boots that are remembered, whether or not they are listed. */
const MAX_REMEMBERED = 2000

export class UpstreamRegistry extends Disposable {
  private readonly _entries = new Map<string, UpstreamEntry>()
  private readonly _byRole = new Map<string, readonly UpstreamEntry[]>()
  private readonly _gone = new BoundedSet<string>(MAX_REMEMBERED)
  private readonly _leaving = new BoundedSet<string>(MAX_REMEMBERED)
  private readonly _evacuatedHalls = new Set<string>()
  private _confirmedRevision = 0
  private _confirmedAt = -Infinity
  private readonly _onDidChange = this._register(new Emitter<UpstreamChange>())
  readonly onDidChange = this._onDidChange.event
  private readonly _onDidEvacuate = this._register(new Emitter<string>())
  /** A hall's upstreams take no new work from now on; fired after each of them was told to have changed. */
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

  /** The upstreams of a role that take new work. */
  listRole (role: string): readonly UpstreamEntry[] {
    let listed = this._byRole.get(role)
    if (listed === undefined) {
      listed = this.list().filter(entry => entry.role === role && this.mayUse(entry))
      this._byRole.set(role, listed)
    }
    return listed
  }

  /** Whether anything new may be sent to the upstream. */
  mayUse ({ hall, isLeaving }: UpstreamEntry): boolean {
    return !isLeaving && !this._evacuatedHalls.has(hall)
  }

  isEvacuated (hall: string): boolean {
    return this._evacuatedHalls.has(hall)
  }

  listEvacuated (): readonly string[] {
    return [...this._evacuatedHalls]
  }

  /** False where the hall was known to be so. */
  setEvacuated (hall: string, isEvacuated: boolean): boolean {
    if (this._evacuatedHalls.has(hall) === isEvacuated) return false
    if (isEvacuated) this._evacuatedHalls.add(hall)
    else this._evacuatedHalls.delete(hall)
    this._byRole.clear()
    for (const entry of this.list()) if (entry.hall === hall) this._fire('changed', entry, isEvacuated ? 'evacuated' : 'readmitted')
    if (isEvacuated) this._onDidEvacuate.fire(hall)
    return true
  }

  /** Takes in what an upstream said of itself; a boot that left stays so, and one that is cold for as long as was ever known. */
  update (entry: UpstreamEntry, signal: string): void {
    if (this._gone.has(entry.id)) return
    const held = this._entries.get(entry.id)
    const next = { ...entry, isLeaving: entry.isLeaving || held?.isLeaving === true || this._leaving.has(entry.id), coldUntil: Math.max(entry.coldUntil ?? 0, held?.coldUntil ?? 0) }
    this._set(next)
    if (held === undefined) this._fire('added', next, signal)
    if (next.isLeaving && held?.isLeaving !== true) this._fire('leaving', next, signal)
    else if (held !== undefined && !isSameEntry(held, next)) this._fire('changed', next, signal)
  }

  /** New work stops; what runs there may end. The word may come before the boot's entry does. */
  markLeaving (id: string, signal: string): void {
    this._leaving.add(id)
    const held = this._entries.get(id)
    if (held === undefined || held.isLeaving) return
    const next = { ...held, isLeaving: true }
    this._set(next)
    this._fire('leaving', next, signal)
  }

  /** Takes an entry out until its source speaks of it again. */
  drop (id: string, signal: string): void {
    const held = this._entries.get(id)
    if (held === undefined) return
    this._entries.delete(id)
    this._byRole.delete(held.role)
    // Leaving is for good, also over a gap in the list.
    if (held.isLeaving) this._gone.add(id)
    this._fire('dropped', held, signal)
  }

  /** Takes an entry out for good: the boot is known to have ended. */
  dropForGood (id: string, signal: string): void {
    this._gone.add(id)
    this.drop(id, signal)
  }

  /** The source says that nothing changed beyond what was taken in up to this revision. */
  confirm (revision: number, now: number): void {
    this._confirmedRevision = revision
    this._confirmedAt = now
  }

  computeAge (now: number): PictureAge {
    return { revision: this._confirmedRevision, ageMs: now - this._confirmedAt }
  }

  private _set (entry: UpstreamEntry): void {
    const held = this._entries.get(entry.id)
    this._entries.set(entry.id, entry)
    this._byRole.delete(entry.role)
    if (held !== undefined && held.role !== entry.role) this._byRole.delete(held.role)
  }

  private _fire (kind: UpstreamChange['kind'], entry: UpstreamEntry, signal: string): void {
    this._onDidChange.fire({ kind, entry, signal })
  }
}

function isSameEntry (a: UpstreamEntry, b: UpstreamEntry): boolean {
  return a.role === b.role && a.address === b.address && a.hall === b.hall && a.slots === b.slots && a.isLeaving === b.isLeaving
}
