/**
 * Reads the programs' settings files (TOML) and validates them against a schema. Unknown keys are errors.
 */
import { readFileSync } from 'node:fs'
import { Either as EffectEither, ParseResult, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { parse } from 'smol-toml'
import { parseAddress } from '../../../base/common/address.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

/** An IP address and port, as text. Host names are not accepted. */
export const AddressText = Schema.String.pipe(
  Schema.filter(text => parseAddress(text) !== undefined || 'expected an IP address and port such as 10.0.0.7:8000')
)

export const PositiveMs = Schema.Number.pipe(Schema.positive({ message: () => 'expected a positive number of milliseconds' }))

function findValue (document: unknown, path: readonly PropertyKey[]): unknown {
  let value = document
  for (const key of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[key]
  return value
}

/** Validates a document against a schema; the error names the file and the first invalid key. */
export function checkSettings<A, I> (file: string, document: unknown, schema: Schema.Schema<A, I>): Either<PepperwoodError, A> {
  const result = Schema.decodeUnknownEither(schema)(document, { onExcessProperty: 'error', errors: 'first' })
  if (EffectEither.isRight(result)) return Right(result.right)
  const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left)[0]
  const path = issue?.path ?? []
  const invalidValue = findValue(document, path)
  return Left(new PepperwoodError({
    name: 'settingsInvalid',
    message: issue?.message ?? 'invalid settings',
    place: `${file}: ${path.join('.')}`,
    value: invalidValue === undefined ? '' : JSON.stringify(invalidValue)
  }))
}

/** Reads, parses and validates a settings file. */
export function loadSettings<A, I> (file: string, schema: Schema.Schema<A, I>): Either<PepperwoodError, A> {
  let document: unknown
  try {
    document = parse(readFileSync(file, 'utf8'))
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message.split('\n')[0] ?? '' : String(thrown)
    return Left(new PepperwoodError({ name: 'settingsUnreadable', message, place: file }))
  }
  return checkSettings(file, document, schema)
}
