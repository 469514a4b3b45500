/**
 * Parses and validates the text of configuration documents. Their length is not limited here: whoever reads a document from a
 * source bounds it by what that source may hold, and its converted form can be several times longer.
 */
import { fromJsonString } from '@bufbuild/protobuf'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { ConfigurationSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { listProblems } from './configurationRules.ts'
import type { ConfigurationNumber } from './configurationNumber.ts'

/** A document as it was read, with the platform's revision of its write. */
export interface ConfigurationText {
  readonly text: string
  /** The platform's count of writes; orders documents with the same number. */
  readonly revision: number
}

/** A valid document. */
export interface CheckedConfiguration extends ConfigurationText {
  readonly number: ConfigurationNumber
  readonly configuration: Configuration
}

function parseDocument (text: string): Either<PepperwoodError, Configuration> {
  try {
    return Right(fromJsonString(ConfigurationSchema, text))
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown)
    const field = /field (\S+)/.exec(message)?.[1] ?? 'document'
    return Left(new PepperwoodError({ name: 'configurationUnreadable', message, place: field }))
  }
}

/** Returns all problems of a document; empty if it is valid. */
export function checkDocument (text: string): readonly PepperwoodError[] {
  return parseDocument(text).map(listProblems).mapLeft(error => [error]).extract()
}

/** Parses and validates a document; the error is the first problem found. */
export function readDocument (document: ConfigurationText): Either<PepperwoodError, CheckedConfiguration> {
  return parseDocument(document.text).chain(configuration => {
    const problem = listProblems(configuration)[0]
    if (problem !== undefined) return Left(problem)
    const number = { epoch: configuration.epoch, version: configuration.version ?? 0 }
    return Right({ ...document, number, configuration })
  })
}
