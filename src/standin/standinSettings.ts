/**
 * The settings file of `pepperwood-standin`.
 */
import { Schema } from 'effect'
import { AddressText, PositiveMs } from '../services/settings/node/settingsFile.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())

export const StandinUpstreamSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: Schema.Literal('engine', 'service'),
  role: Schema.NonEmptyString,
  listen: AddressText,
  /** Calls run at once; an engine's batch. */
  capacity: Schema.optionalWith(Count, { default: () => 8 }),
  /** Calls held waiting; beyond them calls are refused as busy. */
  max_queue: Schema.optionalWith(Count, { default: () => 32 }),
  /** What one call of a service, or one step of an engine with an empty batch, takes. */
  base_ms: Schema.optionalWith(PositiveMs, { default: () => 5 }),
  /** What each further sequence in the batch adds to a step. */
  per_sequence_ms: Schema.optionalWith(Schema.Number, { default: () => 0.5 }),
  /** What the prompt takes before the first token, when nothing of it is cached. */
  prefill_ms: Schema.optionalWith(Schema.Number, { default: () => 20 }),
  /** Prefixes that fit into the cache. */
  cache_size: Schema.optionalWith(Count, { default: () => 16 }),
  models: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
  checks_fencing: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  load_ms: Schema.optionalWith(PositiveMs, { default: () => 500 }),
  /** How old reports are. */
  report_lag_ms: Schema.optionalWith(Schema.Number, { default: () => 100 })
})

export const StandinSettingsSchema = Schema.Struct({
  /** The control server: platform values, faults and counts. */
  listen: AddressText,
  seed: Schema.optionalWith(Count, { default: () => 1 }),
  /** Published as the platform's configuration value at the start. */
  configuration_file: Schema.optional(Schema.String),
  upstreams: Schema.optionalWith(Schema.Array(StandinUpstreamSchema), { default: () => [] })
})

export type StandinUpstream = typeof StandinUpstreamSchema.Type
export type StandinSettings = typeof StandinSettingsSchema.Type
