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

  /** Begins to follow the source, until disposed of. */
  abstract start (): void

  /** Reads the newest document; false when the source cannot be reached. What was read is published before it resolves. */
  abstract readNewest (): Promise<boolean>

  protected _publish (document: ConfigurationText): void {
    this._onDidRead.fire(document)
  }
}
