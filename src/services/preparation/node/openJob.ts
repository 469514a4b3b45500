/**
 * A job as its owner holds it: where it is, and what was made for it, so that another coordinator can go on.
 */
import type { CarriedPiece, MadePiece, PreparationJob } from '../common/preparationJob.ts'
import type { JobEnd } from '../common/plannedCall.ts'
import { PlanSearch } from '../common/planSearch.ts'
import type { CoordinatorLink } from './coordinatorLink.ts'

/** A job that its coordinator has not settled yet. */
export class OpenJob {
  readonly startedAt: number
  readonly settle: (news: JobEnd) => void
  moves = 0
  readonly search = new PlanSearch()
  /** Undefined for this node's own coordinator. */
  link: CoordinatorLink | undefined
  private readonly _made = new Map<string, HeldPiece>()

  constructor (readonly job: PreparationJob, startedAt: number, settle: (open: OpenJob, news: JobEnd) => void) {
    this.startedAt = startedAt
    this.settle = news => settle(this, news)
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
