/**
 * Selects the pieces that are ready to run, and batches them into calls.
 */
import type { JobState } from './jobState.ts'
import type { PieceState } from './pieceState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { JobUpdate, LostCall, PlannedPiece } from './plannedCall.ts'
import type { ComputedPiece } from './preparationJob.ts'

export interface PieceKey {
  readonly state: JobState
  readonly stage: number
  readonly index: number
}

export interface ReadyPiece extends PieceKey {
  readonly bytes: number
  /** It may have crashed an upstream. Pieces of other jobs in the same call could be lost with it and become suspects too. */
  readonly isSuspect: boolean
}

/** Minimum work in a batch, as a share of the fixed cost of a call, as long as enough pieces are waiting. */
const MIN_FILL_RATIO = 0.5

/** Returns the state of a piece; throws if there is none. */
export function getPiece ({ state, stage, index }: PieceKey): PieceState {
  const piece = state.pieces[stage]?.[index]
  if (piece === undefined) throw new Error(`no piece ${stage}/${index}`)
  return piece
}

/** Notifies owners of unfinished jobs which upstream holds which result, so that their jobs can continue if this plan is lost. */
export function createComputedUpdates (pieces: readonly PieceKey[]): readonly JobUpdate[] {
  const byJob = new Map<string, ComputedPiece[]>()
  for (const key of pieces) {
    const { status, result } = getPiece(key)
    const { job, isDone } = key.state
    if (status === 'made' && result !== undefined && !isDone) byJob.set(job.id, [...byJob.get(job.id) ?? [], { stage: key.stage, index: key.index, result }])
  }
  return [...byJob].map(([jobId, made]) => ({ kind: 'made', jobId, pieces: made }))
}

/** Reports a possible crash to the owners of all jobs in the call: they know the request, and decide whether it is to blame. */
export function createLostUpdates (pieces: readonly PieceKey[], call: Pick<LostCall, 'upstreamId' | 'sentBeforeMs'>): readonly JobUpdate[] {
  const jobIds = new Set(pieces.map(piece => piece.state.job.id))
  return [...jobIds].map(jobId => ({ kind: 'lost', jobId, ...call }))
}

/**
 * Returns the pieces of a stage that are waiting. Of pieces that may have crashed an upstream, a job runs only one at a
 * time: running at once, each could crash another upstream.
 */
export function listReadyPieces (state: JobState, stage: number, bytes: number): readonly ReadyPiece[] {
  const isSuspectRunning = state.isRunningCrashSuspect
  return (state.pieces[stage] ?? []).flatMap((piece, index) => {
    if (piece.status !== 'waiting' || (isSuspectRunning && piece.possibleCrashes > 0)) return []
    return [{ state, stage, index, bytes, isSuspect: piece.possibleCrashes > 0 || state.job.isSuspect === true }]
  })
}

function canShareCall (a: ReadyPiece, b: ReadyPiece): boolean {
  return a.state === b.state || (!a.isSuspect && !b.isSuspect)
}

/** Returns the pieces that may start in other calls while one with the chosen pieces is running. */
export function listStartableInParallel (chosen: readonly ReadyPiece[], rest: readonly ReadyPiece[]): readonly ReadyPiece[] {
  const chosenPieces = new Set(chosen)
  const crashSuspectJobs = new Set(chosen.filter(piece => getPiece(piece).possibleCrashes > 0).map(piece => piece.state))
  return rest.filter(piece => !chosenPieces.has(piece) && !(crashSuspectJobs.has(piece.state) && getPiece(piece).possibleCrashes > 0))
}

/** Distributes waiting pieces over the available upstreams, but keeps batches large enough to outweigh the fixed cost of a call. */
export function computeBatchSize (upstream: PieceUpstream, waiting: number, availableCount: number): number {
  const { work } = upstream
  const minFill = Math.ceil(work.callMs / Math.max(1, work.pieceMs) * MIN_FILL_RATIO)
  return Math.min(work.maxPiecesPerCall, Math.max(minFill, Math.ceil(waiting / availableCount)))
}

/** Selects the first pieces that can share a call and for whose results the upstream has capacity. */
export function selectBatch (pieces: readonly ReadyPiece[], upstream: PieceUpstream, size: number, now: number): readonly ReadyPiece[] {
  let freeBytes = upstream.getFreeBytes(now)
  const chosen: ReadyPiece[] = []
  for (const piece of pieces) {
    if (chosen.length >= size) break
    const [first] = chosen
    if (piece.bytes > freeBytes || (first !== undefined && !canShareCall(first, piece))) continue
    chosen.push(piece)
    freeBytes -= piece.bytes
  }
  return chosen
}

export function createPlannedPiece ({ state, stage, index }: ReadyPiece, now: number): PlannedPiece {
  const inputs = state.listInputs(stage).map(result => result.handle)
  return {
    jobId: state.job.id,
    stage,
    index,
    key: inputs.length === 0 ? state.job.key : undefined,
    inputs,
    timeLeftMs: Math.max(1, Math.round(state.deadlineAt - now))
  }
}
