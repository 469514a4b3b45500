/**
 * The messages between the system's own processes, and the check that each gets on arrival.
 */
import { Schema } from 'effect'
import type { Either } from 'purify-ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { createMessageCheck, listKinds, readKind } from '../../rpc/common/messageCheck.ts'

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
  Schema.Struct({ kind: Schema.Literal('cleared'), digest: Name, isServed: Schema.optional(Schema.Boolean) }),
  Schema.Struct({ kind: Schema.Literal('evacuation'), hall: Name, isEvacuated: Schema.Boolean }),
  Schema.Struct({ kind: Schema.Literal('limit'), upstream: Name, perS: Schema.optional(Schema.Number.pipe(Schema.finite(), Schema.nonNegative())) })
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

const checkKnown = createMessageCheck(WireMessageSchema, listKinds(WireMessageSchema.members))
const FACT_KINDS = listKinds(FactValueSchema.members)

/** Checks a decoded frame. Facts of kinds that only newer senders know are left out: they say nothing about the others. */
export function checkMessage (frame: unknown): Either<PepperwoodError, WireMessage> {
  return checkKnown(dropUnknownFacts(frame))
}

function dropUnknownFacts (frame: unknown): unknown {
  const facts = readKind(frame) === 'facts' ? (frame as { readonly facts?: unknown }).facts : undefined
  if (!Array.isArray(facts) || facts.every(isKnown)) return frame
  return { kind: 'facts', facts: facts.filter(isKnown) }
}

/** A fact without a kind is left to the check. */
function isKnown (fact: unknown): boolean {
  const kind = readKind((fact as { readonly value?: unknown } | null | undefined)?.value)
  return kind === undefined || FACT_KINDS.has(kind)
}
