/**
 * The source from which a node learns which upstreams exist.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from './upstreamRegistry.ts'

/** An operator's latest change of a hall: its upstreams get no new work (evacuated), or get work again (readmitted). */
export interface Evacuation {
  readonly hall: string
  /** The source's revision of the change; the higher one takes precedence. */
  readonly revision: number
}

/** A change reported by a source. */
export type UpstreamUpdate =
  /** All upstreams and evacuations of the source; those not included no longer exist. */
  | { readonly kind: 'listed', readonly entries: readonly UpstreamEntry[], readonly evacuations: readonly Evacuation[], readonly revision: number }
  | { readonly kind: 'updated', readonly entry: UpstreamEntry }
  | { readonly kind: 'removed', readonly id: string }
  | { readonly kind: 'evacuated', readonly evacuation: Evacuation }
  | { readonly kind: 'readmitted', readonly evacuation: Evacuation }

export abstract class UpstreamSource extends Disposable {
  private readonly _onDidRead = this._register(new Emitter<UpstreamUpdate>())
  readonly onDidRead = this._onDidRead.event
  private readonly _onDidConfirm = this._register(new Emitter<number>())
  /** Fired when all changes up to this revision of the source have been published. */
  readonly onDidConfirm = this._onDidConfirm.event

  /** Whether the source answered recently, so that an upstream that it does not list can be assumed not to exist. */
  abstract get isCurrent (): boolean

  /** Requests the complete list again immediately. */
  abstract refreshList (): void

  /** Starts following the source, until disposed. */
  abstract start (): void

  protected _confirm (revision: number): void {
    this._onDidConfirm.fire(revision)
  }

  protected _publish (update: UpstreamUpdate): void {
    this._onDidRead.fire(update)
  }
}
