/**
 * Work that has to be done before a request can run: stages of pieces, some of which need the results of others.
 */
import type { SharedPrefix } from './prefixBook.ts'

export interface JobStage {
  readonly role: string
  /** Indexes of the stages whose results this one needs; stages that are left out are not among them. */
  readonly after: readonly number[]
  readonly pieceCount: number
  /** About the size of one result. */
  readonly resultBytes: number
}

/** What is known of the request that takes the results. */
export interface RequestShape {
  /** The role of the upstreams that can run it. */
  readonly role: string
  /** Beginnings that other prompts have as well, the shortest first. */
  readonly shared: readonly SharedPrefix[]
  readonly inputTokens: number
}

export interface PreparationJob {
  /** The id of the caller's try; pieces carry it. */
  readonly id: string
  /** What the pieces of stages without inputs work on. */
  readonly key: string
  readonly stages: readonly JobStage[]
  readonly request: RequestShape
  /** 0 goes first. */
  readonly rank: number
  /** Milliseconds until the results are of full use, from now. */
  readonly goalInMs: number
  /** Milliseconds until nobody wants the results any more, from now. */
  readonly deadlineInMs: number
  /** Upstreams have ended under the request or its pieces, so these go into no call with those of others. */
  readonly isSuspect?: boolean
  /** The only halls that its pieces and the request itself may go to; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  /** Upstreams that its owner cannot send the request to now, whatever others may. */
  readonly excludedTargets?: readonly string[] | undefined
}

/** Whether results have to be made; otherwise only an upstream is asked for. */
export function hasPieces (job: PreparationJob): boolean {
  return job.stages.some(stage => stage.pieceCount > 0)
}

/** A result that an upstream holds. */
export interface PieceResult {
  readonly handle: string
  /** The boot that made it. */
  readonly upstreamId: string
}

/** A result of a job and the piece that it is of. */
export interface MadePiece {
  readonly stage: number
  readonly index: number
  readonly result: PieceResult
}

/** A result that was made under an earlier plan. */
export interface CarriedPiece extends MadePiece {
  readonly ageMs: number
}

/** How a job is put to a plan. */
export interface AdmissionTerms {
  /** Another plan may be asked as well, so what would be late is declined. */
  readonly isOffer: boolean
}

export interface NewJobOptions extends Partial<AdmissionTerms> {
  /** What an earlier plan made for the job. */
  readonly carried?: readonly CarriedPiece[]
}

/** Why a job ended without results. */
export interface JobRefusal {
  readonly reason: 'overloaded' | 'tooLate' | 'noUpstream' | 'interrupted'
  readonly retryAfterMs: number
}

/** A plan that was offered a job could make it, but not in time. */
export interface JobDecline {
  readonly reason: 'late'
  /** When it would be done there, in milliseconds from now. */
  readonly endInMs: number
}

/** The stages that no other stage needs: the request itself takes their results. */
export function listLastStages (stages: readonly JobStage[]): readonly number[] {
  const needed = new Set(stages.flatMap(stage => stage.pieceCount > 0 ? stage.after : []))
  return stages.flatMap((stage, index) => stage.pieceCount > 0 && !needed.has(index) ? [index] : [])
}
