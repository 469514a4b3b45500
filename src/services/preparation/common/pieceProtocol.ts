/**
 * The port to upstreams that make pieces.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamRateStatement } from '../../quota/common/rateStatement.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceCallOutcome, PlannedPiece } from './plannedCall.ts'

export abstract class PieceProtocol {
  protected readonly _onDidReadRate = new Emitter<UpstreamRateStatement>()
  /** What upstreams say, in their answers, of the rate that they accept. */
  readonly onDidReadRate = this._onDidReadRate.event

  /** Asks for pieces in one call; never rejects. */
  abstract runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], timeoutMs: number): Promise<PieceCallOutcome>
  /** Gives results back; false when the upstream did not confirm it. */
  abstract freeResults (upstream: UpstreamEntry, handles: readonly string[]): Promise<boolean>
}
