/**
 * The faults that can be injected into a stand-in upstream.
 */
import { Schema } from 'effect'

const Share = Schema.Number.pipe(Schema.between(0, 1))

export const FaultsSchema = Schema.Struct({
  /** Factor by which processing times are multiplied. */
  slow: Schema.optionalWith(Schema.Number.pipe(Schema.positive()), { default: () => 1 }),
  /** Share of calls that run and then fail; 0 to 1, as all shares here. */
  fail: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls that are refused without running. */
  refuse: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls whose connection is closed while the answer is being sent. */
  drop: Schema.optionalWith(Share, { default: () => 0 }),
  /** Bytes of the answer that are sent before the connection is closed. */
  drop_after_bytes: Schema.optionalWith(Schema.Number.pipe(Schema.nonNegative()), { default: () => 200 }),
  /** Share of calls that are answered with a wrong attempt id. */
  wrong_id: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls that are never answered. */
  hang: Schema.optionalWith(Share, { default: () => 0 }),
  /** Reports that it is leaving, and refuses new calls. */
  leaving: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Reports that it is leaving, but accepts new calls. */
  leaving_quietly: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Simulates a crash: closes and refuses connections. The instance number (`boot`) is higher after the restart. */
  dead: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Age of the data in load reports; if undefined, the value from the settings applies. */
  report_lag_ms: Schema.optional(Schema.Number),
  /** Probability, per load snapshot, that a cached prefix is left out of all later reports, as if its cache event were lost. */
  lose_events: Schema.optionalWith(Share, { default: () => 0 })
})

export type Faults = typeof FaultsSchema.Type

export const NO_FAULTS: Faults = FaultsSchema.make({})
