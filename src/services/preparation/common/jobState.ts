/**
 * One job at its coordinator: which pieces wait, run, are made, or were given back.
 */
import { JobClock } from './jobTimes.ts'
import { StagePieces } from './pieceState.ts'
import type { PieceState, PieceStatus } from './pieceState.ts'
import { listLastStages } from './preparationJob.ts'
import type { JobStage, PieceResult, PreparationJob } from './preparationJob.ts'

/** Where the pieces of a stage are best made: near the request's target, near the job's other pieces, or anywhere. */
export type StagePlace = 'target' | 'chain' | 'any'

/** Moving this much to another hall for one piece is worth waiting for an upstream nearby. */
const LARGE_BYTES = 200_000

export class JobState {
  readonly job: PreparationJob
  readonly arrivedAt: number
  readonly goalAt: number
  readonly deadlineAt: number
  readonly pieces: readonly (readonly PieceState[])[]
  /** Stages between this one and the request, this one included. */
  readonly heights: readonly number[]
  readonly lastStages: readonly number[]
  readonly places: readonly StagePlace[]
  /** As forecast when it was last looked at. */
  isLate = false
  /** All results were made and handed over. */
  isHandedOver = false
  /** The link to its owner broke. */
  isDetached = false
  /** The upstream that should take the request, and its hall; empty when there is none. */
  targetId = ''
  targetHall = ''
  /** The upstream that the target should take the beginning of the prompt from; empty when there is none. */
  prefixSourceId = ''
  /** The hall in which the pieces that need each other's results are made. */
  chainHall = ''
  /** What the request is expected to take at the target until its first event. */
  requestMs = 0
  readonly clock: JobClock
  private _hasCuts = false
  private readonly _stages: readonly StagePieces[]
  private readonly _readyAt = new Map<number, number>()

  constructor (job: PreparationJob, now: number) {
    this.job = job
    this.arrivedAt = now
    this.clock = new JobClock(now)
    this.goalAt = now + job.goalInMs
    this.deadlineAt = now + job.deadlineInMs
    this._stages = job.stages.map(stage => new StagePieces(stage.pieceCount))
    this.pieces = this._stages.map(stage => stage.pieces)
    this.heights = computeHeights(job.stages)
    this.lastStages = listLastStages(job.stages)
    this.places = job.stages.map((_, stage) => this._findPlace(stage))
  }

  /** Every piece that is still needed was made. */
  isComplete (stage: number): boolean {
    return this.countOpen(stage) === 0
  }

  get isDone (): boolean {
    return this.job.stages.every((_, stage) => this.isComplete(stage))
  }

  /** Whether a piece that some of these roles make was not started; it may still lack its inputs. */
  hasWaiting (roles: ReadonlyMap<string, unknown>): boolean {
    return this.job.stages.some((stage, index) => roles.has(stage.role) && this.countWaiting(index) > 0)
  }

  /** Stages that may start pieces now: their inputs are there, and nothing further from the request is unfinished. */
  listReadyStages (): readonly number[] {
    let highest = 0
    this.heights.forEach((height, stage) => { if (height > highest && !this.isComplete(stage)) highest = height })
    const ready: number[] = []
    this.heights.forEach((height, stage) => { if (height >= highest && this.countWaiting(stage) > 0 && this._hasInputs(stage)) ready.push(stage) })
    return ready
  }

  /** Handles of the inputs of a stage's pieces, in the order of stages and pieces. */
  listInputs (stage: number): readonly PieceResult[] {
    return (this.job.stages[stage]?.after ?? []).flatMap(before => this._listResults(before))
  }

  /** What the request itself takes. */
  listFinalResults (): readonly PieceResult[] {
    return this.lastStages.flatMap(stage => this._listResults(stage))
  }

  /** When a stage was first seen ready. */
  getReadyAt (stage: number, now: number): number {
    const known = this._readyAt.get(stage)
    if (known !== undefined) return known
    this._readyAt.set(stage, now)
    return now
  }

  /** The least time until all stages are done: what is open goes into one call for each stage of the longest chain. */
  estimateStages (estimateCallMs: (role: string, pieceCount: number) => number): number {
    const byHeight = new Map<number, number>()
    this.job.stages.forEach((stage, index) => {
      const waiting = this.countWaiting(index)
      const height = this.heights[index] ?? 0
      const isRunning = this.countOpen(index) > waiting
      const ms = waiting > 0 ? estimateCallMs(stage.role, waiting) : isRunning ? estimateCallMs(stage.role, 1) / 2 : 0
      byHeight.set(height, Math.max(byHeight.get(height) ?? 0, ms))
    })
    let sum = 0
    for (const ms of byHeight.values()) sum += ms
    return sum
  }

  countWaiting (stage: number): number {
    return this._count(stage, 'waiting')
  }

  /** Its pieces should be made. */
  get isWanted (): boolean {
    return !this.isHandedOver && !this.isDetached
  }

  /** A call with a piece of the job has not ended. */
  get isRunning (): boolean {
    return this._stages.some(stage => stage.count('running') > 0)
  }

  /** A call with the piece was cut off. */
  noteCut (piece: PieceState): void {
    piece.cuts++
    this._hasCuts = true
  }

  /** A piece whose earlier calls were cut off is being made. */
  get isMakingCut (): boolean {
    return this._hasCuts && this.pieces.some(stage => stage.some(piece => piece.cuts > 0 && piece.status === 'running'))
  }

  /** Pieces that wait or run. */
  countOpen (stage: number): number {
    return this._stages[stage]?.openCount ?? 0
  }

  /** Whether work was done for the job. */
  get hasBegun (): boolean {
    return this._stages.some(stage => stage.hasStarted)
  }

  hasStarted (stage: number): boolean {
    return this._stages[stage]?.hasStarted ?? false
  }

  /** Stages whose results no unfinished stage needs any more and that the request does not take either. */
  listUsedUpStages (): readonly number[] {
    return this.job.stages.flatMap((_, stage) => {
      if (this.lastStages.includes(stage)) return []
      const isNeeded = this.job.stages.some((other, index) => other.after.includes(stage) && !this.isComplete(index))
      return isNeeded || !this.isComplete(stage) ? [] : [stage]
    })
  }

  /** Makes a piece wait again, and with it the inputs that were given back since. */
  reopen (stage: number, piece: PieceState): void {
    piece.status = 'waiting'
    piece.result = undefined
    for (const before of this.job.stages[stage]?.after ?? []) {
      for (const input of this._getPieces(before)) if (input.status === 'freed') this.reopen(before, input)
    }
  }

  /** The hall that a stage's pieces should be made in; empty when any will do. */
  getHall (stage: number): string {
    const place = this.places[stage]
    return place === 'target' ? this.targetHall : place === 'chain' ? this.chainHall : ''
  }

  /** Every piece of a later stage fetches every result of an earlier one, so small results can be much to move. */
  private _findPlace (stage: number): StagePlace {
    const spec = this.job.stages[stage]
    if (spec === undefined || spec.pieceCount === 0) return 'any'
    if (this.lastStages.includes(stage) && spec.resultBytes >= LARGE_BYTES) return 'target'
    const fetches = this.job.stages.reduce((sum, other) => sum + (other.after.includes(stage) ? other.pieceCount : 0), 0)
    const inputBytes = spec.after.reduce((sum, before) => sum + (this.job.stages[before]?.pieceCount ?? 0) * (this.job.stages[before]?.resultBytes ?? 0), 0)
    return spec.resultBytes * fetches >= LARGE_BYTES || inputBytes >= LARGE_BYTES ? 'chain' : 'any'
  }

  private _hasInputs (stage: number): boolean {
    return (this.job.stages[stage]?.after ?? []).every(before => this._count(before, 'made') === this._getPieces(before).length)
  }

  private _count (stage: number, status: PieceStatus): number {
    return this._stages[stage]?.count(status) ?? 0
  }

  private _listResults (stage: number): readonly PieceResult[] {
    return this._getPieces(stage).flatMap(piece => piece.result === undefined ? [] : [piece.result])
  }

  private _getPieces (stage: number): readonly PieceState[] {
    return this.pieces[stage] ?? []
  }
}

function computeHeights (stages: readonly JobStage[]): readonly number[] {
  const heights = stages.map(() => 0)
  const compute = (stage: number): number => {
    if (heights[stage] !== 0) return heights[stage] ?? 0
    const later = stages.flatMap((other, index) => other.after.includes(stage) && other.pieceCount > 0 ? [compute(index)] : [])
    return (heights[stage] = 1 + Math.max(0, ...later))
  }
  stages.forEach((_, stage) => compute(stage))
  return heights
}
