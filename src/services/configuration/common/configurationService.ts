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

export interface IConfigurationService {
  readonly onDidAccept: Event<AcceptedConfiguration>
  readonly current: AcceptedConfiguration | undefined
  readonly number: ConfigurationNumber
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

  offer (document: ConfigurationText, source: string): Either<PepperwoodError, AcceptedConfiguration> {
    return readDocument(document).chain(checked => {
      if (this._current !== undefined && !isSuperseding(checked, this._current)) return Left(this._createNotHigherError(checked, source))
      this._current = { ...checked, source, acceptedAt: this._clock.now() }
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
