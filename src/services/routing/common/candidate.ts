/**
 * Inputs of a routing decision for one upstream. The reported numbers come with the age of the report.
 */
export interface Candidate {
  readonly name: string
  readonly hall: string
  /** Running and queued calls, as last reported by the upstream. */
  readonly reportedBacklog: number
  /** Number of calls that the upstream runs concurrently. */
  readonly capacity: number
  readonly reportAgeMs: number
  /** Calls from this gate that are open now. */
  readonly ownInFlight: number
  /** Calls that this gate sent since the report was made. */
  readonly ownSentSinceReport: number
  /** Calls from this gate that are included in the report and have ended since. */
  readonly ownDoneSinceReport: number
  /** How long calls take at this upstream relative to the mean of their kind; 1 is average. */
  readonly slowness: number
  /** Estimated probability, from 0 to 1, that the request's prefix is cached at this upstream. */
  readonly prefixProbability: number
}

export interface RoutingRequest {
  readonly prefixKey: string
  readonly hall: string
  /** Mean duration of calls of this kind, in milliseconds. */
  readonly expectedMs: number
  /** Number of gates that send to the same upstreams, including this one. */
  readonly liveGateCount: number
}

export interface RoutingChoice {
  readonly candidate: Candidate
  readonly reason: string
}

/** The inputs of the backlog estimate. */
export type BacklogInputs = Pick<Candidate, 'reportedBacklog' | 'ownInFlight' | 'ownSentSinceReport' | 'ownDoneSinceReport'>

/**
 * Estimates the calls at an upstream: the reported backlog plus the change since the report, of which a gate knows only its own
 * calls. The other gates behave similarly but not in step, so the own change is scaled by the square root of the number of
 * gates. Scaling by the full number makes the estimate fluctuate; regarding the other gates as idle makes all gates choose the
 * same upstream.
 */
export function estimateBacklog (inputs: BacklogInputs, liveGateCount: number): number {
  const changeSince = (inputs.ownSentSinceReport - inputs.ownDoneSinceReport) * Math.sqrt(liveGateCount)
  return Math.max(inputs.ownInFlight, inputs.reportedBacklog + changeSince)
}
