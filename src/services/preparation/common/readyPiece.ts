/**
 * Pieces that could start now, and how many of them go into one call.
 */
import type { JobState } from './jobState.ts'
import type { PieceState } from './pieceState.ts'
import type { PieceUpstream } from './pieceUpstream.ts'
import type { JobNews, LostCall, PlannedPiece } from './plannedCall.ts'
import type { MadePiece } from './preparationJob.ts'

/** One piece of one job. */
export interface PieceKey {
  readonly state: JobState
  readonly stage: number
  readonly index: number
}

export interface ReadyPiece extends PieceKey {
  readonly bytes: number
  /** It may be what ended an upstream: whatever is called together with it may be lost, and be suspected as well. */
  readonly isSuspect: boolean
}

/** A batch holds at least as many pieces as take this part of what the call itself costs, if so many wait. */
const MIN_FILL_SHARE = 0.5

/** The state of a piece that is known to exist. */
export function getPiece ({ state, stage, index }: PieceKey): PieceState {
  const piece = state.pieces[stage]?.[index]
  if (piece === undefined) throw new Error(`no piece ${stage}/${index}`)
  return piece
}

/** What the owners of unfinished jobs are told, so that they know what lies where and their jobs survive this plan. */
export function listMadeNews (pieces: readonly PieceKey[]): readonly JobNews[] {
  const byJob = new Map<string, MadePiece[]>()
  for (const key of pieces) {
    const { status, result } = getPiece(key)
    const { job, isDone } = key.state
    if (status === 'made' && result !== undefined && !isDone) byJob.set(job.id, [...byJob.get(job.id) ?? [], { stage: key.stage, index: key.index, result }])
  }
  return [...byJob].map(([jobId, made]) => ({ kind: 'made', jobId, pieces: made }))
}

/** What the owners of all jobs in a call that was cut off are told: what they know of the request tells whose doing it is. */
export function listLostNews (pieces: readonly PieceKey[], call: Pick<LostCall, 'upstreamId' | 'sentBeforeMs'>): readonly JobNews[] {
  const jobIds = new Set(pieces.map(piece => piece.state.job.id))
  return [...jobIds].map(jobId => ({ kind: 'lost', jobId, ...call }))
}

/**
 * The pieces of a stage that could be started. Of those whose calls were cut off, none while another such piece of the
 * job is being made: made at the same time, each of them could end an upstream.
 */
export function listWaiting (state: JobState, stage: number, bytes: number): readonly ReadyPiece[] {
  const isOneCut = state.isMakingCut
  return (state.pieces[stage] ?? []).flatMap((piece, index) => {
    if (piece.status !== 'waiting' || (isOneCut && piece.cuts > 0)) return []
    return [{ state, stage, index, bytes, isSuspect: piece.cuts > 0 || state.job.isSuspect === true }]
  })
}

/** Whether two pieces may go into one call. */
function mayGoTogether (a: ReadyPiece, b: ReadyPiece): boolean {
  return a.state === b.state || (!a.isSuspect && !b.isSuspect)
}

/** What may still start in other calls beside one with these pieces. */
export function listStartableBeside (chosen: readonly ReadyPiece[], rest: readonly ReadyPiece[]): readonly ReadyPiece[] {
  const taken = new Set(chosen)
  const cutJobs = new Set(chosen.filter(piece => getPiece(piece).cuts > 0).map(piece => piece.state))
  return rest.filter(piece => !taken.has(piece) && !(cutJobs.has(piece.state) && getPiece(piece).cuts > 0))
}

/** Spreads what waits over the upstreams that are idle, but not so thin that the calls themselves cost most. */
export function computeBatchSize (upstream: PieceUpstream, waiting: number, idleCount: number): number {
  const { work } = upstream
  const minFill = Math.ceil(work.callMs / Math.max(1, work.pieceMs) * MIN_FILL_SHARE)
  return Math.min(work.maxPiecesPerCall, Math.max(minFill, Math.ceil(waiting / idleCount)))
}

/** Takes the first pieces that may go together and for which the upstream has room. */
export function takeBatch (pieces: readonly ReadyPiece[], upstream: PieceUpstream, size: number, now: number): readonly ReadyPiece[] {
  let freeBytes = upstream.getFreeBytes(now)
  const chosen: ReadyPiece[] = []
  for (const piece of pieces) {
    if (chosen.length >= size) break
    const [first] = chosen
    if (piece.bytes > freeBytes || (first !== undefined && !mayGoTogether(first, piece))) continue
    chosen.push(piece)
    freeBytes -= piece.bytes
  }
  return chosen
}

/** A piece as its upstream is asked for it. */
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
