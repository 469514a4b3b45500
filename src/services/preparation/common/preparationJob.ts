/**
 * Work that has to be done before a request can run: a graph of stages, each of which consists of pieces.
 */
import type { SharedPrefix } from './prefixIndex.ts'

export interface JobStage {
  readonly role: string
  /** Indexes of the stages whose results this one needs; skipped stages are not listed. */
  readonly after: readonly number[]
  readonly pieceCount: number
  /** Estimated size of one result. */
  readonly resultBytes: number
}

/** Properties of the request that uses the results. */
export interface RequestShape {
  /** The role of the upstreams that can run the request. */
  readonly role: string
  /** Prefixes that the prompt shares with others, the shortest first. */
  readonly shared: readonly SharedPrefix[]
  readonly inputTokens: number
}

export interface PreparationJob {
  /** The id of the caller's try, which is sent along with the pieces. */
  readonly id: string
  /** Identifies the input of pieces in stages without input stages. */
  readonly key: string
  readonly stages: readonly JobStage[]
  readonly request: RequestShape
  /** 0 is the most urgent. */
  readonly rank: number
  /** Time, from now, by which the results should be complete. */
  readonly goalInMs: number
  /** Time, from now, after which the results are useless. */
  readonly deadlineInMs: number
  /** Identifies the caller's request over all its tries; without it no capacity is reserved for the caller's return. */
  readonly returnKey?: string | undefined
  /** The longest delay, from now, that the caller observes before it returns. */
  readonly returnWithinMs?: number | undefined
  /** Upstreams have crashed while running the request or its pieces, so its pieces never share a call with those of other jobs. */
  readonly isSuspect?: boolean
  /** The only halls that may run its pieces and the request itself; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  /** Upstreams that its owner cannot send the request to now, even if other nodes can. */
  readonly excludedTargets?: readonly string[] | undefined
}

/** Whether the job has results to compute; if not, only a target is chosen for its request. */
export function hasPieces (job: PreparationJob): boolean {
  return job.stages.some(stage => stage.pieceCount > 0)
}

/** A result that an upstream holds. */
export interface PieceResult {
  readonly handle: string
  /** The upstream instance that computed the result. */
  readonly upstreamId: string
}

/** A result along with the piece of a job that it belongs to. */
export interface ComputedPiece {
  readonly stage: number
  readonly index: number
  readonly result: PieceResult
}

/** A result that was computed under an earlier plan. */
export interface CarriedPiece extends ComputedPiece {
  readonly ageMs: number
}

export interface AdmissionOptions {
  /** Another plan may be tried as well, so the job is declined if it would miss its goal. */
  readonly isOffer: boolean
}

export interface NewJobOptions extends Partial<AdmissionOptions> {
  /** Results that an earlier plan computed for the job. */
  readonly carried?: readonly CarriedPiece[]
}

/** Why a job ended without results. */
export interface JobRefusal {
  readonly reason: 'overloaded' | 'tooLate' | 'noUpstream' | 'interrupted'
  readonly retryAfterMs: number
  /** The plan reserved capacity for the caller's return at that time, so that no other plan is tried. */
  readonly isReserved?: boolean | undefined
}

/** Capacity of one plan that is reserved for a refused caller, as it is sent between nodes. */
export interface ReservationEntry {
  /** The `returnKey` of the caller's job. */
  readonly key: string
  /** Time until the caller should return, in milliseconds. */
  readonly returnInMs: number
  /** Number of pieces by role. */
  readonly pieces: readonly { readonly role: string, readonly count: number }[]
}

/** Tells a plan that another one has reserved capacity for a refused caller. */
export interface ReturnNotice {
  /** The `returnKey` of the caller's job. */
  readonly key: string
  /** Time until the caller should return, in milliseconds. */
  readonly returnInMs: number
}

/** The plan could complete an offered job, but not by its goal. */
export interface JobDecline {
  readonly reason: 'late'
  /** Forecast completion time, from now. */
  readonly endInMs: number
  /** The plan may be able to meet the goal, but another one has reserved capacity for the caller. */
  readonly isReservedElsewhere?: boolean
}

/** Returns the stages that no other stage needs: the request itself uses their results. */
export function listLastStages (stages: readonly JobStage[]): readonly number[] {
  const needed = new Set(stages.flatMap(stage => stage.pieceCount > 0 ? stage.after : []))
  return stages.flatMap((stage, index) => stage.pieceCount > 0 && !needed.has(index) ? [index] : [])
}

/** Returns the number of pieces of a job by role, as its plan reserves them. */
export function countPiecesByRole (job: PreparationJob): ReservationEntry['pieces'] {
  const counts = new Map<string, number>()
  for (const { role, pieceCount } of job.stages) if (pieceCount > 0) counts.set(role, (counts.get(role) ?? 0) + pieceCount)
  return [...counts].map(([role, count]) => ({ role, count }))
}
