/**
 * The source from which a node reads the configuration that operators publish.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ConfigurationText } from './configurationDocument.ts'

/** The source revision of a document, and why it cannot be used. */
export interface RefusedDocument {
  readonly revision: number
  readonly reason: PepperwoodError
}

export abstract class ConfigurationSource extends Disposable {
  private readonly _onDidRead = this._register(new Emitter<ConfigurationText>())
  /** Fires with each document read, converted to the JSON form of the configuration schema. */
  readonly onDidRead = this._onDidRead.event

  private readonly _onDidMissDocument = this._register(new Emitter<number>())
  /** Fires with the source revision of a published document that this node has not received; peers may have it. */
  readonly onDidMissDocument = this._onDidMissDocument.event

  private readonly _onDidRefuse = this._register(new Emitter<RefusedDocument>())
  /** Fires with a published document that cannot be converted. */
  readonly onDidRefuse = this._onDidRefuse.event

  /** Starts to follow changes of the source, until disposed of. */
  abstract start (): void

  /** Reads the newest document and publishes it before the promise resolves; false if the source cannot be reached. */
  abstract readNewest (): Promise<boolean>

  protected _publish (document: ConfigurationText): void {
    this._onDidRead.fire(document)
  }

  protected _reportRefused (refused: RefusedDocument): void {
    this._onDidRefuse.fire(refused)
  }

  protected _reportMissed (revision: number): void {
    this._onDidMissDocument.fire(revision)
  }
}
