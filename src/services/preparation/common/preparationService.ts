/**
 * Interface through which the relay has the inputs of requests prepared.
 */
import type { Either } from 'purify-ts'
import type { TargetReport } from './targetPlanner.ts'
import type { JobRefusal, PreparationJob } from './preparationJob.ts'

/** Results that stay stored for a request until they are released. */
export interface IPreparedInputs {
  /** In the order of stages and pieces. */
  readonly handles: readonly string[]
  readonly bytes: number
  readonly isReleased: boolean
  /** The upstream that should run the request; empty for any. */
  readonly targetId: string
  /** The upstream that the target should fetch the cached prefix from; empty if there is none. */
  readonly prefixSourceId: string
  /** The hall that holds most of the results. */
  readonly hall: string
  /** Reports the outcome of the request at its target. */
  report (report: TargetReport): void
  /** Frees the results; they must not be used afterwards. */
  release (): void
  /** Recomputes results that were released or that an upstream no longer holds. */
  prepareAgain (): Promise<Either<JobRefusal, IPreparedInputs>>
}

/** An upstream that may have crashed while it ran pieces of a job. */
export interface LostPieces {
  readonly upstreamId: string
  /** Both times are on the clock of this process, in milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
}

export type LostPiecesListener = (lost: LostPieces) => void

export interface IPreparationService {
  /**
   * Computes the results that a request needs; an abort frees all of them. The listener is notified of each upstream that may
   * have crashed in the process, before the promise resolves.
   */
  prepare (job: PreparationJob, signal: AbortSignal, onDidLose?: LostPiecesListener): Promise<Either<JobRefusal, IPreparedInputs>>
}
