/**
 * Schema of a profile: a fleet with its customers and its load, read from a TOML file.
 */
import { Schema } from 'effect'
import { PositiveMs } from '../services/settings/node/settingsFile.ts'
import { PolicySettingsSchema } from '../gate/gateSettings.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Positive = Schema.Number.pipe(Schema.positive())
const Share = Schema.Number.pipe(Schema.between(0, 1))

const UpstreamGroup = Schema.Struct({
  role: Schema.NonEmptyString,
  kind: Schema.Literal('engine', 'service'),
  count: Count,
  capacity: Schema.optionalWith(Count, { default: () => 8 }),
  max_queue: Schema.optionalWith(Count, { default: () => 16 }),
  base_ms: PositiveMs,
  per_sequence_ms: Schema.optionalWith(Schema.Number, { default: () => 0.3 }),
  prefill_ms: Schema.optionalWith(Schema.Number, { default: () => 20 }),
  cache_size: Schema.optionalWith(Count, { default: () => 16 }),
  model: Schema.optionalWith(Schema.String, { default: () => '' }),
  checks_fencing: Schema.optionalWith(Schema.Boolean, { default: () => true }),
  may_call_twice: Schema.optionalWith(Schema.Boolean, { default: () => true })
})

const ProfileStage = Schema.Struct({
  role: Schema.NonEmptyString,
  unrepeatable: Schema.optionalWith(Schema.Boolean, { default: () => false })
})

const PipelineSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  deadline_ms: PositiveMs,
  priority: Schema.optionalWith(Count, { default: () => 1 }),
  stages: Schema.NonEmptyArray(ProfileStage),
  /** Share of arrivals relative to the other pipelines. */
  share: Positive,
  /** The share of requests that are marked unrepeatable. */
  unrepeatable_share: Schema.optionalWith(Share, { default: () => 0 }),
  min_tokens: Schema.optionalWith(Count, { default: () => 8 }),
  max_tokens: Schema.optionalWith(Count, { default: () => 24 })
})

const CustomerSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  weight: Schema.optionalWith(Count, { default: () => 1 }),
  /** Share of arrivals relative to the other customers. */
  share: Positive,
  /** Number of distinct prompt prefixes in the customer's requests. */
  prefixes: Schema.optionalWith(Count, { default: () => 12 })
})

export const LoadProfileSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  halls: Schema.NonEmptyArray(Schema.NonEmptyString),
  /** Number of entry hosts, distributed evenly over the halls. */
  hosts: Count.pipe(Schema.positive()),
  /** Round-trip times, in milliseconds. Delays below the timers' resolution of one millisecond are not simulated. */
  hall_rtt_ms: Schema.Number,
  client_rtt_ms: Schema.Number,
  /** Requests per second that the fleet is sized for. A scenario's rate is a share of it. */
  nominal_rate: Positive,
  upstreams: Schema.NonEmptyArray(UpstreamGroup),
  pipelines: Schema.NonEmptyArray(PipelineSchema),
  customers: Schema.NonEmptyArray(CustomerSchema),
  policy: Schema.optionalWith(PolicySettingsSchema, { default: () => PolicySettingsSchema.make({}) })
})

export type LoadProfile = typeof LoadProfileSchema.Type
export type ProfilePipeline = typeof PipelineSchema.Type
export type ProfileCustomer = typeof CustomerSchema.Type
