/**
 * When a node that cannot take requests yet should be asked again.
 */

/** A start or a fresh read ends within this, as a rule. */
const USUAL_MS = 250
/** Once source and peers were asked and know nothing, an outage of unknown length is under way; most last for seconds. */
const MIN_OUTAGE_MS = 1000
/** Callers with little patience would not come back any later. */
const MAX_OUTAGE_MS = 4000

export interface ReadyForecastInputs {
  /** Source and peers were asked, and nothing is known. */
  readonly isOutage: boolean
  /** How long the node has been unable to take requests. */
  readonly sinceMs: number
}

/**
 * An outage is expected to last for as long again as it has. Told to come back after 250 ms, callers came twice within
 * an outage of 1.2 s and had no try left: 50 of 68 in its two seconds were refused for good.
 */
export function estimateReadyMs ({ isOutage, sinceMs }: ReadyForecastInputs): number {
  return isOutage ? Math.min(MAX_OUTAGE_MS, Math.max(MIN_OUTAGE_MS, sinceMs)) : USUAL_MS
}
