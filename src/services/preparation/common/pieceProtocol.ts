/**
 * The port to upstreams that make pieces.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceCallOutcome, PlannedPiece } from './plannedCall.ts'

export abstract class PieceProtocol {
  /** Asks for pieces in one call; never rejects. */
  abstract runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], timeoutMs: number): Promise<PieceCallOutcome>
  /** Gives results back; false when the upstream did not confirm it. */
  abstract freeResults (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean>
}
