/**
 * Where a node learns which upstreams there are.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from './upstreamRegistry.ts'

/** News of a source. */
export type UpstreamNews =
  /** Every upstream that the source lists; one that is missing is gone. */
  | { readonly kind: 'listed', readonly entries: readonly UpstreamEntry[] }
  | { readonly kind: 'updated', readonly entry: UpstreamEntry }
  | { readonly kind: 'removed', readonly id: string }

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
