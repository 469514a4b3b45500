/**
 * Where a node learns which upstreams there are.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from './upstreamRegistry.ts'

/** What an operator said last of a hall: that its upstreams get nothing new, or that they take work again. */
export interface Evacuation {
  readonly hall: string
  /** The source's revision of that word: of two, the later one counts. */
  readonly revision: number
}

/** News of a source. */
export type UpstreamNews =
  /** Every upstream and every evacuation that the source lists; what is missing is gone. */
  | { readonly kind: 'listed', readonly entries: readonly UpstreamEntry[], readonly evacuations: readonly Evacuation[], readonly revision: number }
  | { readonly kind: 'updated', readonly entry: UpstreamEntry }
  | { readonly kind: 'removed', readonly id: string }
  | { readonly kind: 'evacuated', readonly evacuation: Evacuation }
  | { readonly kind: 'readmitted', readonly evacuation: Evacuation }

export abstract class UpstreamSource extends Disposable {
  private readonly _onDidRead = this._register(new Emitter<UpstreamNews>())
  readonly onDidRead = this._onDidRead.event
  private readonly _onDidConfirm = this._register(new Emitter<number>())
  /** Everything up to this revision of the source was told. */
  readonly onDidConfirm = this._onDidConfirm.event

  /** Whether the source answered lately, so that what it does not list is not there. */
  abstract get isCurrent (): boolean

  /** Has everything listed anew at once. */
  abstract listAgain (): void

  /** Begins to follow the source, until disposed of. */
  abstract start (): void

  protected _confirm (revision: number): void {
    this._onDidConfirm.fire(revision)
  }

  protected _publish (news: UpstreamNews): void {
    this._onDidRead.fire(news)
  }
}
