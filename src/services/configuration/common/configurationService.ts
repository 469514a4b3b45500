/**
 * The configuration in force in this process. It is replaced only by a valid document with a higher stamp, whatever its
 * source, so it never reverts.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { Emitter } from '../../../base/common/event.ts'
import type { Event } from '../../../base/common/event.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { readDocument } from './configurationDocument.ts'
import type { CheckedConfiguration, ConfigurationText } from './configurationDocument.ts'
import { compareConfigurationStamps, formatConfigurationNumber, NO_CONFIGURATION } from './configurationNumber.ts'
import type { ConfigurationNumber } from './configurationNumber.ts'

/** A configuration that was put into force, with its source and time. */
export interface AcceptedConfiguration extends CheckedConfiguration {
  readonly source: string
  /** Milliseconds on this process's clock. */
  readonly acceptedAt: number
}

/** A document that was published but that this process cannot use. */
export interface RefusedConfiguration {
  readonly revision: number
  readonly reason: PepperwoodError
  /** Milliseconds on this process's clock. */
  readonly refusedAt: number
}

export interface IConfigurationService {
  readonly onDidAccept: Event<AcceptedConfiguration>
  readonly current: AcceptedConfiguration | undefined
  readonly number: ConfigurationNumber
  /** The newest published document that could not be used; undefined once a later one is in force. */
  readonly refused: RefusedConfiguration | undefined
  /** Records that a published document could not be read. */
  recordRefusal (revision: number, reason: PepperwoodError): void
  /** Puts the document into force, or returns the reason for refusing it and leaves the current one unchanged. */
  offer (document: ConfigurationText, source: string): Either<PepperwoodError, AcceptedConfiguration>
}

/** Whether a document supersedes the one in force. Equal stamps are ordered by text, so that all processes choose the same one. */
function isSuperseding (offered: CheckedConfiguration, held: CheckedConfiguration): boolean {
  const order = compareConfigurationStamps(offered, held)
  return order > 0 || (order === 0 && offered.text > held.text)
}

export class ConfigurationService extends Disposable implements IConfigurationService {
  private _current: AcceptedConfiguration | undefined
  private _refused: RefusedConfiguration | undefined
  private readonly _onDidAccept = this._register(new Emitter<AcceptedConfiguration>())
  readonly onDidAccept = this._onDidAccept.event

  constructor (private readonly _clock: IClock) {
    super()
  }

  get current (): AcceptedConfiguration | undefined {
    return this._current
  }

  get number (): ConfigurationNumber {
    return this._current?.number ?? NO_CONFIGURATION
  }

  get refused (): RefusedConfiguration | undefined {
    return this._refused
  }

  recordRefusal (revision: number, reason: PepperwoodError): void {
    if (revision < (this._refused?.revision ?? 0) || revision <= (this._current?.revision ?? 0)) return
    this._refused = { revision, reason, refusedAt: this._clock.now() }
  }

  offer (document: ConfigurationText, source: string): Either<PepperwoodError, AcceptedConfiguration> {
    return readDocument(document).ifLeft(error => this.recordRefusal(document.revision, error)).chain(checked => {
      if (this._current !== undefined && !isSuperseding(checked, this._current)) return Left(this._createNotHigherError(checked, source))
      this._current = { ...checked, source, acceptedAt: this._clock.now() }
      if (this._refused !== undefined && this._refused.revision <= document.revision) this._refused = undefined
      this._onDidAccept.fire(this._current)
      return Right(this._current)
    })
  }

  private _createNotHigherError (checked: CheckedConfiguration, source: string): PepperwoodError {
    return new PepperwoodError({
      name: 'configurationNotHigher',
      message: `${formatConfigurationNumber(this.number)} is in force`,
      place: source,
      value: formatConfigurationNumber(checked.number)
    })
  }
}
