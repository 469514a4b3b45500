/**
 * The settings file of `pepperwood-node`.
 */
import { Schema } from 'effect'
import { AddressText } from '../services/settings/node/settingsFile.ts'

const PositiveSeconds = Schema.Number.pipe(Schema.positive({ message: () => 'expected a positive number of seconds' }))
const NonNegative = Schema.Number.pipe(Schema.nonNegative())
const Port = Schema.Number.pipe(Schema.int(), Schema.between(1, 65_535))

const DEFAULT_RETRY_WINDOW_S = 10

export const NodeSettingsSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  hall: Schema.NonEmptyString,
  region: Schema.String,
  /** The halls that there are, and their regions. */
  hall_regions: Schema.optional(Schema.Record({ key: Schema.NonEmptyString, value: Schema.String })),
  /** Where the other nodes reach this one. */
  address: AddressText,
  /** Where callers send their requests. */
  callers_address: AddressText,
  /** Where callers ask which addresses to use. */
  directory_address: AddressText,
  /** Where it is asked whether this node takes requests. */
  readiness_address: AddressText,
  /** Where nodes give each other preparation jobs; the same port on all. */
  preparation_port: Port,
  metrics_port: Schema.optional(Port),
  /** The part of a core that this host gives the node. */
  core_share: Schema.Number.pipe(Schema.positive()),
  /** How fast that core is, against the usual one. */
  core_speed: Schema.Number.pipe(Schema.positive()),
  /** Nodes to meet first. */
  seeds: Schema.Array(AddressText),
  /** Where configuration and upstreams are read. */
  source_address: AddressText,
  /** A stopping process is ended by force after this. */
  stop_grace_s: PositiveSeconds,
  /** The longest that callers may keep an address answer. */
  keep_s: PositiveSeconds,
  /** Retries of all nodes together against first attempts, at any upstream role. */
  retry_share: NonNegative,
  /** All nodes together send a cold upstream this many times what the configuration says that it bears in a second, at most. */
  cold_share: Schema.optional(NonNegative),
  /** Requests in a second that they may send it beyond that. */
  cold_spare: Schema.optional(NonNegative),
  /** Retries of all nodes together that need no first attempts, in one window. */
  retry_spare: NonNegative,
  /** The span within which retries are held against first attempts. */
  retry_window_s: Schema.optionalWith(PositiveSeconds, { default: () => DEFAULT_RETRY_WINDOW_S })
})

export type NodeSettings = typeof NodeSettingsSchema.Type
