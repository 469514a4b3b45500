/**
 * What the relay asks of preparation.
 */
import type { Either } from 'purify-ts'
import type { TargetReport } from './targetPlanner.ts'
import type { JobRefusal, PreparationJob } from './preparationJob.ts'

/** Results that are held for a request until they are released. */
export interface IPreparedInputs {
  /** In the order of stages and pieces. */
  readonly handles: readonly string[]
  readonly bytes: number
  readonly isReleased: boolean
  /** The upstream that should take the request; empty when any may. */
  readonly targetId: string
  /** The upstream that the target should take the beginning of the prompt from; empty when there is none. */
  readonly prefixSourceId: string
  /** The hall that most of the results are in. */
  readonly hall: string
  /** Tells how the request fared at the target. */
  report (report: TargetReport): void
  /** Gives the results back; nobody may use them afterwards. */
  release (): void
  /** Makes results anew that were released or that an upstream no longer holds. */
  prepareAgain (): Promise<Either<JobRefusal, IPreparedInputs>>
}

/** An upstream that may have ended while it made pieces of a job. */
export interface LostPieces {
  readonly upstreamId: string
  /** Both on this process's clock, in milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
}

export type LostPiecesListener = (lost: LostPieces) => void

export interface IPreparationService {
  /**
   * Makes the results that a request needs; an abort gives everything back. Of each upstream that was lost over it, the
   * listener is told before the result is there.
   */
  prepare (job: PreparationJob, signal: AbortSignal, onDidLose?: LostPiecesListener): Promise<Either<JobRefusal, IPreparedInputs>>
}
