/**
 * Validates messages received from other processes of the system. During a rolling upgrade nodes of several versions run
 * side by side, so a message kind that only newer senders know is reported differently from an invalid message.
 */
import { Either as EffectEither, ParseResult } from 'effect'
import type { Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { createSchemaDecoder } from './schemaDecoder.ts'

/** A schema of a struct with a literal `kind`. */
interface KindSchema {
  readonly fields: { readonly kind: { readonly literals: readonly [string, ...string[]] } }
}

/** Validates the decoded content of a frame. Left with `messageUnknown` or `frameInvalid`. */
export type MessageValidator<M> = (frame: unknown) => Either<PepperwoodError, M>

export function listKinds (members: readonly KindSchema[]): ReadonlySet<string> {
  return new Set(members.map(member => member.fields.kind.literals[0]))
}

/** Returns the kind of a message or of a part of a message, if it has one. */
export function readKind (value: unknown): string | undefined {
  const kind = (value as { readonly kind?: unknown } | null | undefined)?.kind
  return typeof kind === 'string' ? kind : undefined
}

export function createMessageValidator<M, I> (schema: Schema.Schema<M, I>, kinds: ReadonlySet<string>): MessageValidator<M> {
  const decode = createSchemaDecoder(schema)
  return frame => {
    const kind = readKind(frame)
    if (kind === undefined) return Left(new PepperwoodError({ name: 'frameInvalid', message: 'expected a message with a kind', place: 'kind' }))
    if (!kinds.has(kind)) return Left(new PepperwoodError({ name: 'messageUnknown', message: 'unknown message kind', place: 'kind', value: kind }))
    const result = decode(frame)
    if (EffectEither.isRight(result)) return Right(result.right)
    const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left).at(-1)
    return Left(new PepperwoodError({ name: 'frameInvalid', message: issue?.message ?? 'wrong fields', place: [kind, ...(issue?.path ?? [])].join('.') }))
  }
}
