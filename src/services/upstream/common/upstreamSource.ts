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

  /** Whether the source answered lately, so that what it does not list is not there. */
  abstract get isCurrent (): boolean

  /** Has everything listed anew at once. */
  abstract listAgain (): void

  /** Begins to follow the source, until disposed of. */
  abstract start (): void

  protected _publish (news: UpstreamNews): void {
    this._onDidRead.fire(news)
  }
}
