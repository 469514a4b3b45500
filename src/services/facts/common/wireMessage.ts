/**
 * The messages between the system's own processes, and the check that each gets on arrival.
 */
import { Either as EffectEither, ParseResult, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Name = Schema.String.pipe(Schema.maxLength(256))
const ConfigurationNumberSchema = Schema.Struct({ epoch: Count, version: Count })

const FactValueSchema = Schema.Union(
  Schema.Struct({
    kind: Schema.Literal('member'),
    address: Name,
    hall: Name,
    state: Schema.Literal('alive', 'suspect', 'dead', 'left'),
    weight: Schema.optionalWith(Count, { default: () => 0 })
  }),
  Schema.Struct({
    kind: Schema.Literal('gate'),
    address: Name,
    hall: Name,
    inFlight: Count,
    recentRequests: Count,
    draining: Schema.Boolean,
    ready: Schema.Boolean,
    configuration: ConfigurationNumberSchema
  }),
  Schema.Struct({
    kind: Schema.Literal('load'),
    upstream: Name,
    running: Count,
    queued: Count,
    capacity: Count,
    models: Schema.Array(Name),
    fencing: Count,
    prefixes: Schema.Array(Name)
  }),
  Schema.Struct({ kind: Schema.Literal('leaving'), upstream: Name, signal: Name }),
  Schema.Struct({
    kind: Schema.Literal('ended'),
    upstream: Name,
    runs: Schema.Array(Schema.Struct({ digest: Name, bodyBytes: Count, sentBeforeMs: Count }))
  }),
  Schema.Struct({ kind: Schema.Literal('cleared'), digest: Name })
)

const FactSchema = Schema.Struct({
  subject: Name,
  incarnation: Count,
  counter: Count,
  value: FactValueSchema,
  ageMs: Count
})

/** Longer than any key of a source. */
const Key = Schema.String.pipe(Schema.maxLength(256))
const Item = Schema.Struct({ key: Key, text: Schema.String, revision: Count })
const ChangeSchema = Schema.Struct({
  key: Key,
  revision: Count,
  item: Schema.UndefinedOr(Item),
  isWithheld: Schema.optional(Schema.Boolean)
})
/** For how long the sender has heard its source without a break, in milliseconds. */
const HeardForMs = Count
/** How long ago the source last told the sender that there is no more, in milliseconds. */
const ConfirmedAgeMs = Count

const WireMessageSchema = Schema.Union(
  /** The first message of each side. */
  Schema.Struct({ kind: Schema.Literal('hello'), role: Schema.Literal('steward', 'gate'), address: Name, hall: Name }),
  Schema.Struct({ kind: Schema.Literal('facts'), facts: Schema.Array(FactSchema) }),
  /** What the sender knows of members, as a number that differs where two know different ones. */
  Schema.Struct({ kind: Schema.Literal('membersHeld'), digest: Count }),
  /** Asks whether the receiver lives, or whether a third member does. */
  Schema.Struct({ kind: Schema.Literal('ping'), id: Count, target: Schema.optional(Name) }),
  /** With the time on the sender's clock, in milliseconds. */
  Schema.Struct({ kind: Schema.Literal('ack'), id: Count, at: Schema.optional(Count) }),
  /** Asks for all facts, and for the configuration where it is higher than the sender's; the answer ends with `refreshed`. */
  Schema.Struct({ kind: Schema.Literal('refresh'), id: Count, number: ConfigurationNumberSchema, revision: Count }),
  Schema.Struct({ kind: Schema.Literal('refreshed'), id: Count }),
  /** The sender's number; a receiver that holds a higher document answers with its own number. */
  Schema.Struct({ kind: Schema.Literal('configurationHeld'), number: ConfigurationNumberSchema, revision: Count }),
  /** Asks for the document, if the receiver's is higher than what the sender holds. */
  Schema.Struct({ kind: Schema.Literal('configurationWanted'), number: ConfigurationNumberSchema, revision: Count }),
  Schema.Struct({ kind: Schema.Literal('configuration'), text: Schema.String, revision: Count }),
  /** Asks to be told what the receiver hears from its source after a revision, from now on. */
  Schema.Struct({ kind: Schema.Literal('feedWanted'), after: Count }),
  Schema.Struct({ kind: Schema.Literal('feedChanges'), after: Count, revision: Count, heardForMs: HeardForMs, ageMs: ConfirmedAgeMs, changes: Schema.Array(ChangeSchema) }),
  /** The source has said that there is nothing after the revision. */
  Schema.Struct({ kind: Schema.Literal('feedConfirmed'), revision: Count, heardForMs: HeardForMs, ageMs: ConfirmedAgeMs }),
  /** The sender does not hear the source, or no longer follows it. */
  Schema.Struct({ kind: Schema.Literal('feedLost') }),
  /** The sender no longer has all changes after the revision that was asked for. */
  Schema.Struct({ kind: Schema.Literal('feedGap'), after: Count })
)

export type WireMessage = typeof WireMessageSchema.Type

const KNOWN_KINDS: ReadonlySet<string> = new Set(WireMessageSchema.members.map(member => member.fields.kind.literals[0]))
const decode = Schema.decodeUnknownEither(WireMessageSchema)

/** Checks a decoded frame; a message of an unknown kind is told apart, so that newer senders can be tolerated. */
export function checkMessage (frame: unknown): Either<PepperwoodError, WireMessage> {
  const kind = (frame as { readonly kind?: unknown } | null | undefined)?.kind
  if (typeof kind !== 'string') {
    return Left(new PepperwoodError({ name: 'frameInvalid', message: 'expected a message with a kind', place: 'kind' }))
  }
  if (!KNOWN_KINDS.has(kind)) {
    return Left(new PepperwoodError({ name: 'messageUnknown', message: 'unknown kind of message', place: 'kind', value: kind }))
  }
  const result = decode(frame)
  if (EffectEither.isRight(result)) return Right(result.right)
  const issue = ParseResult.ArrayFormatter.formatErrorSync(result.left).at(-1)
  return Left(new PepperwoodError({
    name: 'frameInvalid',
    message: issue?.message ?? 'wrong fields',
    place: [kind, ...(issue?.path ?? [])].join('.')
  }))
}
