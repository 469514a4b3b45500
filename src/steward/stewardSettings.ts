/**
 * The settings file of `pepperwood-steward`.
 */
import { Schema } from 'effect'
import { AddressText, PositiveMs } from '../services/settings/node/settingsFile.ts'

export const StewardSettingsSchema = Schema.Struct({
  /** Where other processes of the system reach this steward. */
  address: AddressText,
  /** Where it listens, if that differs from its address. */
  listen: Schema.optional(AddressText),
  /** Where operators reach it. */
  operator_address: AddressText,
  metrics_address: Schema.optional(AddressText),
  hall: Schema.NonEmptyString,
  /** The IP number that its connections leave from. */
  local_ip: Schema.optional(Schema.String),
  platform: Schema.NonEmptyArray(AddressText),
  /** Other stewards to meet first. */
  seeds: Schema.Array(AddressText),
  /** How long a starting steward waits for its peers before it goes by the platform alone. */
  ready_wait_ms: Schema.optionalWith(PositiveMs, { default: () => 3000 }),
  report_period_ms: Schema.optionalWith(PositiveMs, { default: () => 500 }),
  probe_period_ms: Schema.optionalWith(PositiveMs, { default: () => 500 })
})

export type StewardSettings = typeof StewardSettingsSchema.Type
