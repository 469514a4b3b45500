/**
 * The check that a message between the system's own processes gets on arrival. Nodes of several versions run side by
 * side while a release goes out, so a kind that only a newer sender knows is told apart from a broken message.
 */
import { Either as EffectEither, ParseResult, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

/** A struct with a literal `kind`. */
interface KindSchema {
  readonly fields: { readonly kind: { readonly literals: readonly [string, ...string[]] } }
}

/** Takes a decoded frame; Left with `messageUnknown` or `frameInvalid`. */
export type MessageCheck<M> = (frame: unknown) => Either<PepperwoodError, M>

export function listKinds (members: readonly KindSchema[]): ReadonlySet<string> {
  return new Set(members.map(member => member.fields.kind.literals[0]))
}

/** The kind of a message or of a part of one, if it says so. */
export function readKind (value: unknown): string | undefined {
  const kind = (value as { readonly kind?: unknown } | null | undefined)?.kind
  return typeof kind === 'string' ? kind : undefined
}

export function createMessageCheck<M, I> (schema: Schema.Schema<M, I>, kinds: ReadonlySet<string>): MessageCheck<M> {
  const decode = Schema.decodeUnknownEither(schema)
  return frame => {
    const kind = readKind(frame)
    if (kind === undefined) return Left(new PepperwoodError({ name: 'frameInvalid', message: 'expected a message with a kind', place: 'kind' }))
    if (!kinds.has(kind)) return Left(new PepperwoodError({ name: 'messageUnknown', message: 'unknown kind of message', place: 'kind', value: kind }))
    const result = decode(frame)
    if (EffectEither.isRight(result)) return Right(result.right)
    const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left).at(-1)
    return Left(new PepperwoodError({ name: 'frameInvalid', message: issue?.message ?? 'wrong fields', place: [kind, ...(issue?.path ?? [])].join('.') }))
  }
}
