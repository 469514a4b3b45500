/**
 * The timeout of a probe between members.
 */

/** A healthy host of the reference capacity answers a probe within this time. */
export const DEFAULT_PROBE_TIMEOUT_MS = 400
/** The host capacity that the default timeout was measured on, in hundredths of a core. */
const REFERENCE_WEIGHT = 67
const MAX_TIMEOUT_FACTOR = 3

/** Scales the timeout to the weakest host of the fleet. A weight of 0 means that the capacity is unknown. */
export function computeProbeTimeoutMs (weights: readonly number[]): number {
  const weakest = weights.reduce((least, weight) => weight > 0 ? Math.min(least, weight) : least, REFERENCE_WEIGHT)
  return DEFAULT_PROBE_TIMEOUT_MS * Math.min(MAX_TIMEOUT_FACTOR, REFERENCE_WEIGHT / weakest)
}
