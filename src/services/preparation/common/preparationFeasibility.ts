/**
 * Decides from a request's counts whether its pieces could be computed at all, before anything is created for them. The bounds
 * follow from the time that the caller leaves and from what all upstreams of the stages could compute and hold if they had
 * nothing else to do, so that no request is refused that could be served.
 */
import type { PieceWorkSpec } from './pieceUpstream.ts'

/** The pieces of one stage of a request. */
export interface PieceDemand {
  readonly role: string
  readonly pieceCount: number
  /** Estimated size of one result. */
  readonly resultBytes: number
}

/** All upstreams that compute pieces of a role. */
export interface PieceSupply {
  readonly work: PieceWorkSpec
  readonly upstreamCount: number
}

/** Memory of one piece at the node that owns the request and at the coordinator of its plan: its state, its result and the handle. */
export const PIECE_BYTES = 512
/** Upstreams may be faster than configured by this factor. */
const MAX_SPEEDUP = 4
/** Results may be smaller than configured by this factor. */
const MAX_SIZE_RATIO = 4

export function sumPieces (stages: readonly Pick<PieceDemand, 'pieceCount'>[]): number {
  return stages.reduce((sum, { pieceCount }) => sum + pieceCount, 0)
}

/** Returns why the pieces cannot be computed in time; undefined if they may be. A role without known upstreams decides nothing. */
export function findInfeasibility (stages: readonly PieceDemand[], findSupply: (role: string) => PieceSupply | undefined, timeLeftMs: number): string | undefined {
  const msByRole = new Map<string, number>()
  for (const { role, pieceCount, resultBytes } of stages) {
    const supply = pieceCount > 0 ? findSupply(role) : undefined
    if (supply === undefined || supply.upstreamCount === 0) continue
    if (pieceCount * resultBytes > MAX_SIZE_RATIO * supply.work.resultRoomBytes * supply.upstreamCount) return `${pieceCount} results of ${role} exceed the room for them`
    const ms = (msByRole.get(role) ?? 0) + computeMinMs(supply, pieceCount)
    if (ms > timeLeftMs) return `${pieceCount} pieces of ${role} take at least ${Math.round(ms)} ms`
    msByRole.set(role, ms)
  }
  return undefined
}

/** Returns the least time for so many pieces: all upstreams of the role compute nothing else, in full calls and at the highest speed. */
function computeMinMs ({ work, upstreamCount }: PieceSupply, pieceCount: number): number {
  const workMs = Math.ceil(pieceCount / work.maxPiecesPerCall) * work.callMs + pieceCount * work.pieceMs
  return workMs / (work.concurrentCalls * upstreamCount * MAX_SPEEDUP)
}
