/**
 * The settings file of `pepperwood-gate`.
 */
import { Schema } from 'effect'
import { AddressText, PositiveMs } from '../services/settings/node/settingsFile.ts'

const PositiveCount = Schema.Number.pipe(Schema.int(), Schema.positive())
const Fraction = Schema.Number.pipe(Schema.between(0, 1))

/** Scheduling policies of the gate; docs/POLICY.md describes each setting. */
export const PolicySettingsSchema = Schema.Struct({
  router: Schema.optionalWith(Schema.Literal('estimated-finish', 'least-reported', 'round-robin'), { default: () => 'estimated-finish' }),
  admission: Schema.optionalWith(Schema.Literal('predicted', 'none'), { default: () => 'predicted' }),
  admission_fill: Schema.optionalWith(Fraction, { default: () => 0.9 }),
  limits: Schema.optionalWith(Schema.Literal('adaptive', 'fixed'), { default: () => 'adaptive' }),
  /**
   * Calls in flight at an upstream per call that it runs concurrently: higher keeps batches full, lower leaves the
   * queueing order to the gates.
   */
  fill: Schema.optionalWith(Schema.Number.pipe(Schema.between(1, 4)), { default: () => 1.5 }),
  queue: Schema.optionalWith(Schema.Literal('fair', 'fifo'), { default: () => 'fair' }),
  retries: Schema.optionalWith(Schema.Literal('budget', 'unlimited'), { default: () => 'budget' }),
  retry_share: Schema.optionalWith(Fraction, { default: () => 0.1 }),
  health: Schema.optionalWith(Schema.Literal('ejecting', 'trusting'), { default: () => 'ejecting' })
})

export type PolicySettings = typeof PolicySettingsSchema.Type

export const GateSettingsSchema = Schema.Struct({
  /** Address at which callers and operators reach this gate. */
  address: AddressText,
  /** Address to listen on, if it differs from `address`. */
  listen: Schema.optional(AddressText),
  metrics_address: Schema.optional(AddressText),
  hall: Schema.NonEmptyString,
  /** Source IP address of outgoing connections. */
  local_ip: Schema.optional(Schema.String),
  /** Stewards to subscribe to, in order of preference. */
  stewards: Schema.NonEmptyArray(AddressText),
  /** Key that signs checkpoints; the same at all gates. */
  checkpoint_key: Schema.String.pipe(Schema.minLength(16)),
  previous_checkpoint_key: Schema.optional(Schema.String.pipe(Schema.minLength(16))),
  session_lifetime_ms: Schema.optionalWith(PositiveMs, { default: () => 600_000 }),
  max_sessions: Schema.optionalWith(PositiveCount, { default: () => 20_000 }),
  /** Tokens that arrive within this time of the last chunk are sent as one chunk; 0 sends each token separately. */
  chunk_interval_ms: Schema.optionalWith(Schema.Number.pipe(Schema.between(0, 1000)), { default: () => 25 }),
  kept_answers_mb: Schema.optionalWith(PositiveCount, { default: () => 32 }),
  policy: Schema.optionalWith(PolicySettingsSchema, { default: () => PolicySettingsSchema.make({}) })
})

export type GateSettings = typeof GateSettingsSchema.Type
