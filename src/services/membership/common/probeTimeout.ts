/**
 * How long a member may take to answer a probe.
 */

/** A host of the usual strength answers within this unless it is in trouble. */
export const DEFAULT_PROBE_TIMEOUT_MS = 400
/** Hundredths of a core for which that was measured. */
const USUAL_WEIGHT = 67
const MAX_FACTOR = 3

/** The weakest host of the fleet sets the time; a weight of 0 is not known. */
export function computeProbeTimeout (weights: readonly number[]): number {
  const weakest = weights.reduce((least, weight) => weight > 0 ? Math.min(least, weight) : least, USUAL_WEIGHT)
  return DEFAULT_PROBE_TIMEOUT_MS * Math.min(MAX_FACTOR, USUAL_WEIGHT / weakest)
}
