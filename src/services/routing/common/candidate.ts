/**
 * An upstream as a routing decision sees it: plain numbers, each with its age where it ages.
 */
export interface Candidate {
  readonly name: string
  readonly hall: string
  /** Calls that the upstream runs and holds waiting, as reported. */
  readonly reportedBacklog: number
  readonly capacity: number
  readonly reportAgeMs: number
  /** Calls of this gate that are open now. */
  readonly ownInFlight: number
  /** Calls that this gate sent since the report was made. */
  readonly ownSentSinceReport: number
  /** Calls of this gate that the report counted and that have ended since. */
  readonly ownDoneSinceReport: number
  /** How much longer than usual for their kind calls take here; 1 is usual. */
  readonly slowness: number
  /** How likely the request's prefix is still cached here, from 0 to 1. */
  readonly prefixBelief: number
}

/** What is to be routed. */
export interface RoutingRequest {
  readonly prefixKey: string
  readonly hall: string
  /** What a call of this kind usually takes, in milliseconds. */
  readonly usualMs: number
  /** Gates that send to the same upstreams. */
  readonly liveGates: number
}

export interface RoutingChoice {
  readonly candidate: Candidate
  readonly reason: string
}

/** What the backlog at an upstream is estimated from. */
export type BacklogInputs = Pick<Candidate, 'reportedBacklog' | 'ownInFlight' | 'ownSentSinceReport' | 'ownDoneSinceReport'>

/**
 * The report, and what this gate sent and saw end since. The other gates do alike, but not the same at the same moment:
 * taking them all for doing as much as this one makes the estimate jump, taking them for idle makes all choose alike.
 */
export function estimateBacklog (inputs: BacklogInputs, liveGates: number): number {
  const changeSince = (inputs.ownSentSinceReport - inputs.ownDoneSinceReport) * Math.sqrt(liveGates)
  return Math.max(inputs.ownInFlight, inputs.reportedBacklog + changeSince)
}
