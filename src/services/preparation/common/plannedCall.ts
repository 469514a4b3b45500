/**
 * Planned calls, their outcomes, and the updates that owners of jobs receive.
 */
import type { JobTimes } from './jobTimes.ts'
import type { JobRefusal, ComputedPiece, PieceResult } from './preparationJob.ts'

/** A piece as it is sent to an upstream. */
export interface PlannedPiece {
  readonly jobId: string
  readonly stage: number
  readonly index: number
  /** What the piece works on; undefined for stages that have inputs. */
  readonly key: string | undefined
  readonly inputs: readonly string[]
  readonly timeLeftMs: number
}

export interface PlannedCall {
  readonly id: number
  readonly upstreamId: string
  readonly role: string
  readonly pieces: readonly PlannedPiece[]
  /** Pieces of the role that were ready but are not in this call, and stay waiting. */
  readonly leftWaiting: number
  /** Free result capacity of the upstream when the call was planned, before capacity for its own results is reserved. */
  readonly freeBytes: number
  /** The configured duration times the slowness that the upstream stated; what was learned from earlier calls is not included. */
  readonly expectedMs: number
  readonly timeoutMs: number
}

export type PieceOutcome =
  | { readonly kind: 'made', readonly handle: string }
  | { readonly kind: 'failed', readonly reason: 'late' | 'inputGone' | 'noRoom' | 'failed' }

export type PieceCallOutcome =
  | { readonly kind: 'answered', readonly pieces: readonly PieceOutcome[] }
  /** `detail` tells why no connection could be opened. */
  | { readonly kind: 'notRun', readonly reason: 'full' | 'otherUpstream' | 'unreachable' | 'refused' | 'withheld', readonly detail?: string }
  /** Nothing was sent: the upstream is rate limited, or requested a backoff. */
  | { readonly kind: 'notRun', readonly reason: 'limited' | 'backingOff', readonly retryInMs: number }
  /** The flag is set if the upstream did not crash: it sent an unexpected answer, or kept the connection open until the timeout. */
  | { readonly kind: 'lost', readonly reason: string, readonly isUpstreamAlive?: boolean }

/** Whether the upstream may have crashed during the call. */
export function isPossibleCrash (outcome: PieceCallOutcome): boolean {
  return outcome.kind === 'lost' && outcome.isUpstreamAlive !== true
}

/** An update that the owner of a job receives. */
export type JobUpdate =
  | JobEnd
  /** Results that are stored at upstreams; another coordinator can continue from them. */
  | { readonly kind: 'made', readonly jobId: string, readonly pieces: readonly ComputedPiece[] }
  | LostCall
  /** The job was an offer, and would miss its goal. */
  | { readonly kind: 'declined', readonly jobId: string, readonly endInMs: number }
  /** The coordinator is draining; the job goes to the next one. */
  | { readonly kind: 'moved', readonly jobId: string }

/** The upstream may have crashed during a call with pieces of the job, and these pieces may be the cause. */
export interface LostCall {
  readonly kind: 'lost'
  readonly jobId: string
  readonly upstreamId: string
  /** Time from sending the call to its failure. */
  readonly sentBeforeMs: number
}

export type JobEnd =
  | { readonly kind: 'prepared', readonly jobId: string, readonly results: readonly PieceResult[], readonly targetId: string, readonly prefixSourceId: string, readonly hall: string, readonly times: JobTimes }
  | { readonly kind: 'refused', readonly jobId: string, readonly refusal: JobRefusal }

/** Results to free at one upstream. */
export interface PlannedFree {
  readonly upstreamId: string
  readonly handles: readonly string[]
  readonly bytes: number
}
