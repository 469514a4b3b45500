/**
 * Where a node reads the configuration that operators publish.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { ConfigurationText } from './configurationDocument.ts'

export abstract class ConfigurationSource extends Disposable {
  private readonly _onDidRead = this._register(new Emitter<ConfigurationText>())
  /** A document in the product's own form. */
  readonly onDidRead = this._onDidRead.event

  private readonly _onDidMiss = this._register(new Emitter<number>())
  /** A document of this revision of the source was published and not told; peers may have it. */
  readonly onDidMiss = this._onDidMiss.event

  /** Begins to follow the source, until disposed of. */
  abstract start (): void

  /** Reads the newest document; false when the source cannot be reached. What was read is published before it resolves. */
  abstract readNewest (): Promise<boolean>

  protected _publish (document: ConfigurationText): void {
    this._onDidRead.fire(document)
  }

  protected _noteMissed (revision: number): void {
    this._onDidMiss.fire(revision)
  }
}
