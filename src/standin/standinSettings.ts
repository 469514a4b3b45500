/**
 * The settings file of `pepperwood-standin`.
 */
import { Schema } from 'effect'
import { AddressText, PositiveMs } from '../services/settings/node/settingsFile.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())

export const StandinUpstreamSettingsSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: Schema.Literal('engine', 'service'),
  role: Schema.NonEmptyString,
  listen: AddressText,
  /** Number of calls that run concurrently; for an engine, the maximum batch size. */
  capacity: Schema.optionalWith(Count, { default: () => 8 }),
  /** Number of calls that can be queued; further calls are refused as busy. */
  max_queue: Schema.optionalWith(Count, { default: () => 32 }),
  /** Duration of one call of a service, or of one step of an engine with a single sequence in the batch. */
  base_ms: Schema.optionalWith(PositiveMs, { default: () => 5 }),
  /** Time that each further sequence in the batch adds to a step. */
  per_sequence_ms: Schema.optionalWith(Schema.Number, { default: () => 0.5 }),
  /** Prefill time before the first token when no prefix of the prompt is cached. */
  prefill_ms: Schema.optionalWith(Schema.Number, { default: () => 20 }),
  /** Number of prefixes that fit into the cache. */
  cache_size: Schema.optionalWith(Count, { default: () => 16 }),
  models: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  /** Refuses orders whose fencing number is not higher than that of the last accepted order. */
  checks_fencing: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Time until the models of an accepted order are loaded. */
  load_ms: Schema.optionalWith(PositiveMs, { default: () => 500 }),
  /** Age of the data in load reports. */
  report_lag_ms: Schema.optionalWith(Schema.Number, { default: () => 100 })
})

export const StandinSettingsSchema = Schema.Struct({
  /** Address of the control server, which serves the platform's values, fault injection and counts. */
  listen: AddressText,
  seed: Schema.optionalWith(Count, { default: () => 1 }),
  /** Document published as the platform's configuration value at startup. */
  configuration_file: Schema.optional(Schema.String),
  upstreams: Schema.optionalWith(Schema.Array(StandinUpstreamSettingsSchema), { default: () => [] })
})

export type StandinUpstreamSettings = typeof StandinUpstreamSettingsSchema.Type
export type StandinSettings = typeof StandinSettingsSchema.Type
