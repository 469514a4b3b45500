/**
 * The settings file of `pepperwood-steward`.
 */
import { Schema } from 'effect'
import { AddressText, PositiveMs } from '../services/settings/node/settingsFile.ts'

export const StewardSettingsSchema = Schema.Struct({
  /** Address at which gates and other stewards reach this steward. */
  address: AddressText,
  /** Address to listen on, if it differs from `address`. */
  listen: Schema.optional(AddressText),
  /** Address at which operators reach this steward. */
  operator_address: AddressText,
  metrics_address: Schema.optional(AddressText),
  hall: Schema.NonEmptyString,
  /** Source IP address of outgoing connections. */
  local_ip: Schema.optional(Schema.String),
  platform: Schema.NonEmptyArray(AddressText),
  /** Stewards to contact first when joining. */
  seeds: Schema.Array(AddressText),
  /** How long a starting steward waits for its peers before it relies on the platform alone. */
  ready_wait_ms: Schema.optionalWith(PositiveMs, { default: () => 3000 }),
  report_period_ms: Schema.optionalWith(PositiveMs, { default: () => 500 }),
  probe_period_ms: Schema.optionalWith(PositiveMs, { default: () => 500 })
})

export type StewardSettings = typeof StewardSettingsSchema.Type
