/**
 * The fault switches of a stand-in upstream.
 */
import { Schema } from 'effect'

const Share = Schema.Number.pipe(Schema.between(0, 1))

export const FaultsSchema = Schema.Struct({
  /** Times as slow as usual. */
  slow: Schema.optionalWith(Schema.Number.pipe(Schema.positive()), { default: () => 1 }),
  /** Share of calls that run and then fail. */
  fail: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls that are refused without running. */
  refuse: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls whose connection is cut while the answer is written. */
  drop: Schema.optionalWith(Share, { default: () => 0 }),
  /** Bytes of the answer that come before the connection is cut. */
  drop_after_bytes: Schema.optionalWith(Schema.Number.pipe(Schema.nonNegative()), { default: () => 200 }),
  /** Share of calls that are answered with another attempt's id. */
  wrong_id: Schema.optionalWith(Share, { default: () => 0 }),
  /** Share of calls that are never answered. */
  hang: Schema.optionalWith(Share, { default: () => 0 }),
  /** Says that it is leaving, and refuses new work. */
  leaving: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Says that it is leaving in its reports, but takes what it is sent. */
  leaving_quietly: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Dead: connections are cut and refused. Its next life has a higher boot number. */
  dead: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** How old reports are; undefined keeps the setting. */
  report_lag_ms: Schema.optional(Schema.Number),
  /** Share of cache events that get lost. */
  lose_events: Schema.optionalWith(Share, { default: () => 0 })
})

export type Faults = typeof FaultsSchema.Type

export const NO_FAULTS: Faults = FaultsSchema.make({})
