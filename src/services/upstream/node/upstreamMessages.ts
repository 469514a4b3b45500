/**
 * The bodies of the upstream protocol (docs/UPSTREAMS.md) and their validation.
 */
import { Either as EffectEither, ParseResult, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Amount = Schema.Number.pipe(Schema.nonNegative())

/** The answer of an upstream of kind SERVICE. */
export const RunAnswer = Schema.Struct({ attempt: Schema.String, output: Schema.String, busyMs: Amount })

/** The answer of an upstream that did not run a call, or whose call failed. */
export const ErrorAnswer = Schema.Struct({
  attempt: Schema.String,
  error: Schema.Literal('BUSY', 'LEAVING', 'REFUSED', 'FAILED', 'UNKNOWN_ATTEMPT'),
  ran: Schema.Boolean,
  boot: Schema.optionalWith(Count, { default: () => 0 }),
  busyMs: Schema.optionalWith(Amount, { default: () => 0 })
})

const TokenEvent = Schema.Struct({ attempt: Schema.String, index: Count, text: Schema.String })

/** Validates without the schema, because thousands of tokens arrive per second; the schema is only used to produce the error. */
export function parseToken (text: string, place: string): Either<PepperwoodError, typeof TokenEvent.Type> {
  try {
    const body = JSON.parse(text) as typeof TokenEvent.Type | null
    const isToken = body !== null && typeof body.attempt === 'string' && Number.isSafeInteger(body.index) && body.index >= 0 && typeof body.text === 'string'
    if (isToken) return Right(body)
  } catch {
    // Not JSON: reported below.
  }
  return parseBody(text, TokenEvent, place)
}

export const EndEvent = Schema.Struct({ attempt: Schema.String, count: Count, busyMs: Amount, cachedTokens: Count })

export const LoadReport = Schema.Struct({
  boot: Count,
  report: Count,
  running: Count,
  queued: Count,
  capacity: Count,
  leaving: Schema.Boolean,
  models: Schema.Array(Schema.String),
  fencing: Count,
  prefixes: Schema.Array(Schema.String)
})

export const OrderAnswer = Schema.Struct({ accepted: Schema.Boolean, fencing: Count })

/** Parses and validates a body; the error names the invalid field. */
export function parseBody<A, I> (text: string, schema: Schema.Schema<A, I>, place: string): Either<PepperwoodError, A> {
  let body: unknown
  try {
    body = JSON.parse(text)
  } catch {
    return Left(new PepperwoodError({ name: 'upstreamAnswerInvalid', message: 'expected JSON', place, value: text }))
  }
  const result = Schema.decodeUnknownEither(schema)(body)
  if (EffectEither.isRight(result)) return Right(result.right)
  const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left)[0]
  const field = (issue?.path ?? []).join('.')
  return Left(new PepperwoodError({ name: 'upstreamAnswerInvalid', message: issue?.message ?? 'wrong fields', place: `${place} ${field}`, value: text }))
}
