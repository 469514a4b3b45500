/**
 * The messages between the system's own processes, and their validation on receipt.
 */
import { Schema } from 'effect'
import type { Either } from 'purify-ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { MAX_REPORTED_PARTS } from './fact.ts'
import { createMessageValidator, listKinds, readKind } from '../../rpc/common/messageValidator.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Name = Schema.String.pipe(Schema.maxLength(256))
const ConfigurationNumberSchema = Schema.Struct({ epoch: Count, version: Count })

const FactValueSchema = Schema.Union(
  Schema.Struct({
    kind: Schema.Literal('member'),
    address: Name,
    hall: Name,
    state: Schema.Literal('alive', 'suspect', 'dead', 'left'),
    weight: Schema.optionalWith(Count, { default: () => 0 }),
    started: Schema.optional(Count)
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
    runs: Schema.Array(Schema.Struct({
      digest: Name,
      bodyBytes: Count,
      parts: Schema.optional(Schema.Array(Name).pipe(Schema.maxItems(MAX_REPORTED_PARTS))),
      isStarting: Schema.optional(Schema.Boolean),
      sentBeforeMs: Count
    }))
  }),
  Schema.Struct({ kind: Schema.Literal('cleared'), digest: Name, isServed: Schema.optional(Schema.Boolean) }),
  Schema.Struct({ kind: Schema.Literal('evacuation'), hall: Name, isEvacuated: Schema.Boolean }),
  Schema.Struct({ kind: Schema.Literal('limit'), upstream: Name, perS: Schema.optional(Schema.Number.pipe(Schema.finite(), Schema.nonNegative())) }),
  Schema.Struct({ kind: Schema.Literal('refusal'), upstream: Name, maxPerS: Schema.Number.pipe(Schema.finite(), Schema.positive()) })
)

const FactSchema = Schema.Struct({
  subject: Name,
  incarnation: Count,
  counter: Count,
  value: FactValueSchema,
  ageMs: Count
})

/** The limit is longer than any key of a configuration source. */
const Key = Schema.String.pipe(Schema.maxLength(256))
const Item = Schema.Struct({ key: Key, text: Schema.String, revision: Count })
const ChangeSchema = Schema.Struct({
  key: Key,
  revision: Count,
  item: Schema.UndefinedOr(Item),
  isWithheld: Schema.optional(Schema.Boolean)
})
/** For how long the sender has been receiving from its source without interruption, in milliseconds. */
const UninterruptedMs = Count
/** How long ago the source last confirmed to the sender that there are no further changes, in milliseconds. */
const ConfirmedAgeMs = Count

export const WireMessageSchema = Schema.Union(
  /** The first message of each side. */
  Schema.Struct({ kind: Schema.Literal('hello'), role: Schema.Literal('steward', 'gate'), address: Name, hall: Name }),
  Schema.Struct({ kind: Schema.Literal('facts'), facts: Schema.Array(FactSchema) }),
  /** A hash of the sender's member facts, which differs between two processes that know different members. */
  Schema.Struct({ kind: Schema.Literal('membersHeld'), digest: Count }),
  /** Probes the receiver or, through it, the member `target`. */
  Schema.Struct({ kind: Schema.Literal('ping'), id: Count, target: Schema.optional(Name) }),
  /** Answers a ping, with the time on the sender's clock in milliseconds. */
  Schema.Struct({ kind: Schema.Literal('ack'), id: Count, at: Schema.optional(Count) }),
  /** Requests all facts, and the configuration if it is higher than the sender's; the answer ends with `refreshed`. */
  Schema.Struct({ kind: Schema.Literal('refresh'), id: Count, number: ConfigurationNumberSchema, revision: Count }),
  Schema.Struct({ kind: Schema.Literal('refreshed'), id: Count }),
  /** The number of the sender's configuration; a receiver that has a higher one answers with its own number. */
  Schema.Struct({ kind: Schema.Literal('configurationHeld'), number: ConfigurationNumberSchema, revision: Count }),
  /** Requests the receiver's configuration if it is higher than the sender's. */
  Schema.Struct({ kind: Schema.Literal('configurationWanted'), number: ConfigurationNumberSchema, revision: Count }),
  Schema.Struct({ kind: Schema.Literal('configuration'), text: Schema.String, revision: Count }),
  /** One part of a document that is too long for one message. Earlier versions do not know the kinds for parts. */
  Schema.Struct({ kind: Schema.Literal('configurationPart'), number: ConfigurationNumberSchema, revision: Count, offset: Count, text: Schema.String, isLast: Schema.Boolean }),
  Schema.Struct({ kind: Schema.Literal('configurationPartWanted'), number: ConfigurationNumberSchema, revision: Count, offset: Count }),
  /** Subscribes to the changes after a revision that the receiver gets from its source. */
  Schema.Struct({ kind: Schema.Literal('feedWanted'), after: Count }),
  Schema.Struct({ kind: Schema.Literal('feedChanges'), after: Count, revision: Count, heardForMs: UninterruptedMs, ageMs: ConfirmedAgeMs, changes: Schema.Array(ChangeSchema) }),
  /** The source has confirmed that there are no changes after the revision. */
  Schema.Struct({ kind: Schema.Literal('feedConfirmed'), revision: Count, heardForMs: UninterruptedMs, ageMs: ConfirmedAgeMs }),
  /** The sender does not receive from the source, or no longer watches it. */
  Schema.Struct({ kind: Schema.Literal('feedLost') }),
  /** The sender no longer has all changes after the requested revision. */
  Schema.Struct({ kind: Schema.Literal('feedGap'), after: Count })
)

export type WireMessage = typeof WireMessageSchema.Type

const checkKnownKinds = createMessageValidator(WireMessageSchema, listKinds(WireMessageSchema.members))
const FACT_KINDS = listKinds(FactValueSchema.members)

/** Validates a decoded frame. Facts of kinds that only newer versions know are left out; the other facts remain valid. */
export function checkMessage (frame: unknown): Either<PepperwoodError, WireMessage> {
  return checkKnownKinds(dropUnknownFacts(frame))
}

function dropUnknownFacts (frame: unknown): unknown {
  const facts = readKind(frame) === 'facts' ? (frame as { readonly facts?: unknown }).facts : undefined
  if (!Array.isArray(facts) || facts.every(hasKnownKind)) return frame
  return { kind: 'facts', facts: facts.filter(hasKnownKind) }
}

/** Returns true for a fact without a kind as well, so that the validation refuses it. */
function hasKnownKind (fact: unknown): boolean {
  const kind = readKind((fact as { readonly value?: unknown } | null | undefined)?.value)
  return kind === undefined || FACT_KINDS.has(kind)
}
