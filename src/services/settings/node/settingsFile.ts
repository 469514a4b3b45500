/**
 * Settings of the programs: TOML files, checked key by key. Unknown keys are refused.
 */
import { readFileSync } from 'node:fs'
import { Either as EffectEither, ParseResult, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { parse } from 'smol-toml'
import { parseAddress } from '../../../base/common/address.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

/** An IP number and port, as text. */
export const AddressText = Schema.String.pipe(
  Schema.filter(text => parseAddress(text) !== undefined || 'expected an IP number and port such as 10.0.0.7:8000')
)

/** A positive number of milliseconds. */
export const PositiveMs = Schema.Number.pipe(Schema.positive({ message: () => 'expected a positive number of milliseconds' }))

function findValue (document: unknown, path: readonly PropertyKey[]): unknown {
  let value = document
  for (const key of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[key]
  return value
}

/** Checks a document against a schema; the error names the first key that is wrong. */
export function checkSettings<A, I> (file: string, document: unknown, schema: Schema.Schema<A, I>): Either<PepperwoodError, A> {
  const result = Schema.decodeUnknownEither(schema)(document, { onExcessProperty: 'error', errors: 'first' })
  if (EffectEither.isRight(result)) return Right(result.right)
  const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left)[0]
  const path = issue?.path ?? []
  const found = findValue(document, path)
  return Left(new PepperwoodError({
    name: 'settingsInvalid',
    message: issue?.message ?? 'wrong settings',
    place: `${file}: ${path.join('.')}`,
    value: found === undefined ? '' : JSON.stringify(found)
  }))
}

/** Reads and checks a settings file. */
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
