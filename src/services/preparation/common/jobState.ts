/**
 * State of a job at its coordinator: which pieces are waiting, running, computed or freed.
 */
import { JobTimer } from './jobTimes.ts'
import { StagePieces } from './pieceState.ts'
import type { PieceState, PieceStatus } from './pieceState.ts'
import { listLastStages } from './preparationJob.ts'
import type { JobStage, PieceResult, PreparationJob } from './preparationJob.ts'

/** The preferred hall for the pieces of a stage: that of the request's target, that of the job's chain of stages, or any. */
export type StagePlacement = 'target' | 'chain' | 'any'

/** From this size on, waiting for an upstream in the same hall is cheaper than moving the data of a piece to another hall. */
const LARGE_BYTES = 200_000

export class JobState {
  readonly job: PreparationJob
  readonly arrivedAt: number
  readonly goalAt: number
  readonly deadlineAt: number
  readonly pieces: readonly (readonly PieceState[])[]
  /** By stage, the number of stages on the longest path from it to the request, itself included. */
  readonly heights: readonly number[]
  readonly lastStages: readonly number[]
  readonly placements: readonly StagePlacement[]
  /** Whether the latest forecast has the job miss its goal. */
  isLate = false
  /** When the job was forecast to complete at its admission; undefined if it was then late. */
  forecastEndAt: number | undefined
  /** Time that the job must have to spare when it is admitted, in addition to the usual margin. */
  admissionMarginMs = 0
  /** All results are computed, and the owner was notified. */
  isHandedOver = false
  /** The caller returned at the time at which capacity was reserved for it. */
  isReturn = false
  /** The link to the job's owner is down. */
  isDetached = false
  /** The upstream that should run the request, and its hall; empty if there is none. */
  targetId = ''
  targetHall = ''
  /** The upstream that the target should fetch the cached prefix from; empty if there is none. */
  prefixSourceId = ''
  /** The hall for stages that exchange large results with each other. */
  chainHall = ''
  /** Expected time from sending the request to its target to its first event. */
  expectedRequestMs = 0
  readonly timer: JobTimer
  private _hasCrashSuspects = false
  private readonly _stages: readonly StagePieces[]
  private readonly _readyAt = new Map<number, number>()

  constructor (job: PreparationJob, now: number) {
    this.job = job
    this.arrivedAt = now
    this.timer = new JobTimer(now)
    this.goalAt = now + job.goalInMs
    this.deadlineAt = now + job.deadlineInMs
    this._stages = job.stages.map(stage => new StagePieces(stage.pieceCount))
    this.pieces = this._stages.map(stage => stage.pieces)
    this.heights = computeHeights(job.stages)
    this.lastStages = listLastStages(job.stages)
    this.placements = job.stages.map((_, stage) => this._choosePlacement(stage))
  }

  /** Whether no piece of the stage is waiting or running. */
  isComplete (stage: number): boolean {
    return this.countOpen(stage) === 0
  }

  get isDone (): boolean {
    return this.job.stages.every((_, stage) => this.isComplete(stage))
  }

  /** Whether a piece of one of these roles is waiting; its inputs may not be computed yet. */
  hasWaiting (roles: ReadonlyMap<string, unknown>): boolean {
    return this.job.stages.some((stage, index) => roles.has(stage.role) && this.countWaiting(index) > 0)
  }

  /** Returns stages with waiting pieces whose inputs are computed, provided that no stage further from the request is unfinished. */
  listReadyStages (): readonly number[] {
    let highest = 0
    this.heights.forEach((height, stage) => { if (height > highest && !this.isComplete(stage)) highest = height })
    const ready: number[] = []
    this.heights.forEach((height, stage) => { if (height >= highest && this.countWaiting(stage) > 0 && this._hasInputs(stage)) ready.push(stage) })
    return ready
  }

  /** Returns the inputs of each piece of a stage, in the order of stages and pieces. */
  listInputs (stage: number): readonly PieceResult[] {
    return (this.job.stages[stage]?.after ?? []).flatMap(inputStage => this._listResults(inputStage))
  }

  /** Returns the results that the request itself needs. */
  listFinalResults (): readonly PieceResult[] {
    return this.lastStages.flatMap(stage => this._listResults(stage))
  }

  /** Returns when the stage was first ready; records the present time on the first call. */
  getReadyAt (stage: number, now: number): number {
    const known = this._readyAt.get(stage)
    if (known !== undefined) return known
    this._readyAt.set(stage, now)
    return now
  }

  /**
   * Estimates the minimum time until all stages are done: one call for the waiting pieces of each stage, where stages of the
   * same height run in parallel. A running call is assumed to be half done.
   */
  estimateStagesMs (estimateCallMs: (role: string, pieceCount: number) => number): number {
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

  /** Whether further pieces of the job should run. */
  get isActive (): boolean {
    return !this.isHandedOver && !this.isDetached
  }

  get isRunning (): boolean {
    return this._stages.some(stage => stage.count('running') > 0)
  }

  /** Records that the upstream may have crashed during a call with the piece. */
  recordPossibleCrash (piece: PieceState): void {
    piece.possibleCrashes++
    this._hasCrashSuspects = true
  }

  /** Whether a piece is running that may have crashed an upstream before. */
  get isRunningCrashSuspect (): boolean {
    return this._hasCrashSuspects && this.pieces.some(stage => stage.some(piece => piece.possibleCrashes > 0 && piece.status === 'running'))
  }

  /** Counts the pieces that are waiting or running. */
  countOpen (stage: number): number {
    return this._stages[stage]?.openCount ?? 0
  }

  /** Whether any piece of the job has started. */
  get isStarted (): boolean {
    return this._stages.some(stage => stage.hasStarted)
  }

  hasStarted (stage: number): boolean {
    return this._stages[stage]?.hasStarted ?? false
  }

  /** Returns complete stages whose results neither an unfinished stage nor the request needs. */
  listConsumedStages (): readonly number[] {
    return this.job.stages.flatMap((_, stage) => {
      if (this.lastStages.includes(stage)) return []
      const isNeeded = this.job.stages.some((other, index) => other.after.includes(stage) && !this.isComplete(index))
      return isNeeded || !this.isComplete(stage) ? [] : [stage]
    })
  }

  /** Returns a piece to waiting, along with those of its inputs that were freed. */
  reopen (stage: number, piece: PieceState): void {
    piece.status = 'waiting'
    piece.result = undefined
    for (const inputStage of this.job.stages[stage]?.after ?? []) {
      for (const input of this._getPieces(inputStage)) if (input.status === 'freed') this.reopen(inputStage, input)
    }
  }

  /** Returns the hall that should run the pieces of a stage; empty for any. */
  getPreferredHall (stage: number): string {
    const placement = this.placements[stage]
    return placement === 'target' ? this.targetHall : placement === 'chain' ? this.chainHall : ''
  }

  /** Each piece of a stage fetches all results of its input stages, so that many small results can add up to a large transfer. */
  private _choosePlacement (stage: number): StagePlacement {
    const spec = this.job.stages[stage]
    if (spec === undefined || spec.pieceCount === 0) return 'any'
    if (this.lastStages.includes(stage) && spec.resultBytes >= LARGE_BYTES) return 'target'
    const fetchCount = this.job.stages.reduce((sum, other) => sum + (other.after.includes(stage) ? other.pieceCount : 0), 0)
    const inputBytes = spec.after.reduce((sum, inputStage) => sum + (this.job.stages[inputStage]?.pieceCount ?? 0) * (this.job.stages[inputStage]?.resultBytes ?? 0), 0)
    return spec.resultBytes * fetchCount >= LARGE_BYTES || inputBytes >= LARGE_BYTES ? 'chain' : 'any'
  }

  private _hasInputs (stage: number): boolean {
    return (this.job.stages[stage]?.after ?? []).every(inputStage => this._count(inputStage, 'made') === this._getPieces(inputStage).length)
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
