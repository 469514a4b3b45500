/**
 * The settings file of `pepperwood-node`.
 */
import { Schema } from 'effect'
import { AddressText } from '../services/settings/node/settingsFile.ts'

const PositiveSeconds = Schema.Number.pipe(Schema.positive({ message: () => 'expected a positive number of seconds' }))
const NonNegative = Schema.Number.pipe(Schema.nonNegative())
const Port = Schema.Number.pipe(Schema.int(), Schema.between(1, 65_535))

const DEFAULT_RETRY_WINDOW_S = 10
const DEFAULT_MEMORY_MB = 350
const DEFAULT_MAX_DESCRIPTORS = 4096

export const NodeSettingsSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  hall: Schema.NonEmptyString,
  region: Schema.String,
  /** All halls with their regions. */
  hall_regions: Schema.optional(Schema.Record({ key: Schema.NonEmptyString, value: Schema.String })),
  /** The address at which the other nodes reach this one. */
  address: AddressText,
  /** The address to which callers send their requests. */
  callers_address: AddressText,
  /** The address at which callers look up the addresses to use. */
  directory_address: AddressText,
  /** The address of the readiness check: whether this node accepts requests. */
  readiness_address: AddressText,
  /** The port on which nodes accept preparation jobs from each other; the same on all nodes. */
  preparation_port: Port,
  /** The port on which nodes connect to upstreams for each other; the same on all nodes. Without it they do not. */
  tunnel_port: Schema.optional(Port),
  metrics_port: Schema.optional(Port),
  /** The fraction of a core that this host allots to the node. */
  core_share: Schema.Number.pipe(Schema.positive()),
  /** The speed of that core relative to the reference core. */
  core_speed: Schema.Number.pipe(Schema.positive()),
  /** Memory that the node may use, in MB. Its requests hold a fifth of it at most. */
  memory_mb: Schema.optionalWith(Schema.Number.pipe(Schema.positive()), { default: () => DEFAULT_MEMORY_MB }),
  /** Files and connections that the node may have open. */
  max_descriptors: Schema.optionalWith(Schema.Number.pipe(Schema.int(), Schema.positive()), { default: () => DEFAULT_MAX_DESCRIPTORS }),
  /** Nodes that are contacted first to join the fleet. */
  seeds: Schema.Array(AddressText),
  /** The address from which configuration and upstreams are read. */
  source_address: AddressText,
  /** The largest value that can be stored there, in bytes. */
  source_value_bytes: Schema.optional(Schema.Number.pipe(Schema.int(), Schema.positive())),
  /** A stopping process is killed after this time. */
  stop_grace_s: PositiveSeconds,
  /** The longest time for which callers may cache an address answer. */
  keep_s: PositiveSeconds,
  /** Retries of all nodes together as a ratio of first attempts, per upstream role. */
  retry_share: NonNegative,
  /** All nodes together send a cold upstream at most this multiple of its configured cold capacity in requests per second. */
  cold_share: Schema.optional(NonNegative),
  /** Requests per second that they may send in addition to that. */
  cold_spare: Schema.optional(NonNegative),
  /** Retries of all nodes together in one window that are allowed regardless of the number of first attempts. */
  retry_spare: NonNegative,
  /** With `on`, plans of single halls shed late work and reserve capacity for callers that they refuse. */
  contention: Schema.optionalWith(Schema.Literal('on', 'off'), { default: () => 'off' as const }),
  /** The time window over which retries are compared with first attempts. */
  retry_window_s: Schema.optionalWith(PositiveSeconds, { default: () => DEFAULT_RETRY_WINDOW_S })
})

export type NodeSettings = typeof NodeSettingsSchema.Type
