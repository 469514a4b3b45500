/**
 * A job as its owner holds it: where it is, and what was made for it, so that another coordinator can go on.
 */
import type { CarriedPiece, MadePiece, PreparationJob } from '../common/preparationJob.ts'
import type { JobEnd, LostCall } from '../common/plannedCall.ts'
import type { LostPiecesListener } from '../common/preparationService.ts'
import { PlanSearch } from '../common/planSearch.ts'
import type { CoordinatorLink } from './coordinatorLink.ts'

export interface OpenJobOptions {
  /** On the process's clock, in milliseconds. */
  readonly startedAt: number
  readonly settle: (open: OpenJob, news: JobEnd) => void
  readonly onDidLose?: LostPiecesListener
}

/** A job that its coordinator has not settled yet. */
export class OpenJob {
  readonly startedAt: number
  readonly settle: (news: JobEnd) => void
  readonly onDidLose: LostPiecesListener
  /** An upstream was lost over its pieces. */
  isSuspect = false
  moves = 0
  readonly search = new PlanSearch()
  /** Undefined for this node's own coordinator. */
  link: CoordinatorLink | undefined
  private readonly _made = new Map<string, HeldPiece>()

  constructor (readonly job: PreparationJob, { startedAt, settle, onDidLose = () => {} }: OpenJobOptions) {
    this.startedAt = startedAt
    this.settle = news => settle(this, news)
    this.onDidLose = onDidLose
  }

  noteLost ({ upstreamId, sentBeforeMs }: LostCall, now: number): void {
    this.isSuspect = true
    this.onDidLose({ upstreamId, sentAt: now - sentBeforeMs, endedAt: now })
  }

  recordMade (pieces: readonly MadePiece[], now: number): void {
    for (const piece of pieces) this._made.set(`${piece.stage}/${piece.index}`, { ...piece, madeAt: now })
  }

  get hasResults (): boolean {
    return this._made.size > 0
  }

  forgetMade (): void {
    this._made.clear()
  }

  listCarried (now: number): readonly CarriedPiece[] {
    return [...this._made.values()].map(({ stage, index, result, madeAt }) => ({ stage, index, result, ageMs: now - madeAt }))
  }
}

interface HeldPiece extends MadePiece {
  readonly madeAt: number
}
