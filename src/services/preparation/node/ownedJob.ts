/**
 * A job as its owner tracks it: which coordinator plans it, and which results it has, so that another coordinator can
 * continue from these.
 */
import type { CarriedPiece, ComputedPiece, PreparationJob } from '../common/preparationJob.ts'
import type { JobEnd, LostCall } from '../common/plannedCall.ts'
import type { LostPiecesListener } from '../common/preparationService.ts'
import { PlanSearch } from '../common/planSearch.ts'
import type { CoordinatorLink } from './coordinatorLink.ts'

export interface OwnedJobOptions {
  /** On the process's clock, in milliseconds. */
  readonly startedAt: number
  readonly complete: (ownedJob: OwnedJob, update: JobEnd) => void
  readonly onDidLose?: LostPiecesListener
}

/** A job of this node, kept until its results are released. */
export class OwnedJob {
  readonly startedAt: number
  readonly complete: (update: JobEnd) => void
  readonly onDidLose: LostPiecesListener
  /** Whether an upstream was lost during a call with pieces of this job. */
  isSuspect = false
  moveCount = 0
  readonly search = new PlanSearch()
  /** Undefined if this node's own coordinator plans the job. */
  link: CoordinatorLink | undefined
  private readonly _results = new Map<string, OwnedPiece>()

  constructor (readonly job: PreparationJob, { startedAt, complete, onDidLose = () => {} }: OwnedJobOptions) {
    this.startedAt = startedAt
    this.complete = update => complete(this, update)
    this.onDidLose = onDidLose
  }

  recordLostCall ({ upstreamId, sentBeforeMs }: LostCall, now: number): void {
    this.isSuspect = true
    this.onDidLose({ upstreamId, sentAt: now - sentBeforeMs, endedAt: now })
  }

  recordResults (pieces: readonly ComputedPiece[], now: number): void {
    for (const piece of pieces) this._results.set(`${piece.stage}/${piece.index}`, { ...piece, receivedAt: now })
  }

  get hasResults (): boolean {
    return this._results.size > 0
  }

  forgetResults (): void {
    this._results.clear()
  }

  listCarriedPieces (now: number): readonly CarriedPiece[] {
    return [...this._results.values()].map(({ stage, index, result, receivedAt }) => ({ stage, index, result, ageMs: now - receivedAt }))
  }
}

interface OwnedPiece extends ComputedPiece {
  readonly receivedAt: number
}
