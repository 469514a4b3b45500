/**
 * Calls for pieces as they are planned, how they end, and what owners of jobs are told.
 */
import type { JobTimes } from './jobTimes.ts'
import type { JobRefusal, MadePiece, PieceResult } from './preparationJob.ts'

/** A piece as an upstream is asked for it. */
export interface PlannedPiece {
  readonly jobId: string
  readonly stage: number
  readonly index: number
  /** For stages without inputs. */
  readonly key: string | undefined
  readonly inputs: readonly string[]
  readonly timeLeftMs: number
}

export interface PlannedCall {
  readonly id: number
  readonly upstreamId: string
  readonly role: string
  readonly pieces: readonly PlannedPiece[]
  /** Pieces of the role that could have started too and were left waiting. */
  readonly leftWaiting: number
  /** Room at the upstream when the call was planned, its own results not counted. */
  readonly freeBytes: number
  readonly expectedMs: number
  readonly timeoutMs: number
}

/** What became of one piece of a call. */
export type PieceOutcome =
  | { readonly kind: 'made', readonly handle: string }
  | { readonly kind: 'failed', readonly reason: 'late' | 'inputGone' | 'noRoom' | 'failed' }

/** How a call ended. */
export type PieceCallOutcome =
  | { readonly kind: 'answered', readonly pieces: readonly PieceOutcome[] }
  | { readonly kind: 'notRun', readonly reason: 'full' | 'otherUpstream' | 'unreachable' | 'refused' | 'withheld' }
  /** Nothing was sent: the upstream accepts no more, or wants nothing at all, for so long. */
  | { readonly kind: 'notRun', readonly reason: 'limited' | 'backingOff', readonly retryInMs: number }
  /** `isThere`: the upstream answered something else, or kept its connection open until the time was over. */
  | { readonly kind: 'lost', readonly reason: string, readonly isThere?: boolean }

/** Whether the upstream may have ended under the call. */
export function isCutOff (outcome: PieceCallOutcome): boolean {
  return outcome.kind === 'lost' && outcome.isThere !== true
}

/** What the owner of a job is told. */
export type JobNews =
  | JobEnd
  /** These results lie at their makers; another coordinator can go on from them. */
  | { readonly kind: 'made', readonly jobId: string, readonly pieces: readonly MadePiece[] }
  | LostCall
  /** The job was only offered, and would be late. */
  | { readonly kind: 'declined', readonly jobId: string, readonly endInMs: number }
  /** The coordinator is about to end; the job goes to the next one. */
  | { readonly kind: 'moved', readonly jobId: string }

/** A call with pieces of the job was cut off: its upstream may have ended, and they may be why. */
export interface LostCall {
  readonly kind: 'lost'
  readonly jobId: string
  readonly upstreamId: string
  /** From when the call was sent to its end, in milliseconds. */
  readonly sentBeforeMs: number
}

/** How a job ends. */
export type JobEnd =
  | { readonly kind: 'prepared', readonly jobId: string, readonly results: readonly PieceResult[], readonly targetId: string, readonly prefixSourceId: string, readonly hall: string, readonly times: JobTimes }
  | { readonly kind: 'refused', readonly jobId: string, readonly refusal: JobRefusal }

/** Results to be given back at one upstream. */
export interface PlannedFree {
  readonly upstreamId: string
  readonly handles: readonly string[]
  readonly bytes: number
}
