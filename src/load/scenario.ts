/**
 * Schema of a scenario: the shape of the load and the faults to inject at given times, read from a TOML file.
 */
import { Schema } from 'effect'
import { PositiveMs } from '../services/settings/node/settingsFile.ts'
import type { RateShape } from './arrivals.ts'
import type { LoadProfile } from './loadProfile.ts'

const Ms = Schema.Number.pipe(Schema.nonNegative())
const Positive = Schema.Number.pipe(Schema.positive())

const StepSchema = Schema.Struct({
  at_ms: Ms,
  /**
   * `kill`, `stop`, `continue`, `terminate` and `start` send a signal to a process (`gate-0`, `steward-2`) or start it again;
   * `faults` acts on upstreams and `platform` on the platform; `cut` partitions a hall from the others and `heal` reconnects
   * it; `publish` publishes the configuration with the next version.
   */
  action: Schema.Literal('kill', 'stop', 'continue', 'terminate', 'start', 'faults', 'platform', 'cut', 'heal', 'publish'),
  /** A process, an upstream, a prefix of upstream names (`generate-*`) or a hall. */
  target: Schema.optionalWith(Schema.String, { default: () => '' }),
  faults: Schema.optionalWith(Schema.Record({ key: Schema.String, value: Schema.Union(Schema.Number, Schema.Boolean) }), { default: () => ({}) })
})

export const ScenarioSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  seconds: Schema.optionalWith(Positive, { default: () => 10 }),
  /** Share of the profile's nominal rate. */
  rate: Schema.optionalWith(Positive, { default: () => 0.6 }),
  burst_factor: Schema.optionalWith(Positive, { default: () => 1 }),
  burst_from_ms: Schema.optionalWith(Ms, { default: () => 0 }),
  burst_to_ms: Schema.optionalWith(Ms, { default: () => 0 }),
  flood_customer: Schema.optionalWith(Schema.String, { default: () => '' }),
  flood_factor: Schema.optionalWith(Positive, { default: () => 1 }),
  /** Routes all connections through relays, which `cut` and `heal` require. */
  relays: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  warmup_ms: Schema.optionalWith(PositiveMs, { default: () => 1500 }),
  steps: Schema.optionalWith(Schema.Array(StepSchema), { default: () => [] })
})

export type Scenario = typeof ScenarioSchema.Type
export type ScenarioStep = typeof StepSchema.Type

export const STEADY_SCENARIO: Scenario = ScenarioSchema.make({ name: 'steady' })

export function createRateShape (profile: LoadProfile, scenario: Scenario): RateShape {
  return {
    rate: profile.nominal_rate * scenario.rate,
    burstFactor: scenario.burst_factor,
    burstFromMs: scenario.burst_from_ms,
    burstToMs: scenario.burst_to_ms,
    floodCustomer: scenario.flood_customer,
    floodFactor: scenario.flood_factor
  }
}
