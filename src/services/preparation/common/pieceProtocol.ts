/**
 * The port to upstreams that make pieces.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { StatedByUpstream } from '../../upstream/common/upstreamStatement.ts'
import type { PieceCallOutcome, PlannedPiece } from './plannedCall.ts'

export interface PieceCallTerms {
  readonly timeoutMs: number
  /** The connection is open, and the call is written now; false withholds it. */
  readonly onWillSend?: () => boolean
}

export type FreeTerms = Pick<PieceCallTerms, 'onWillSend'>

export abstract class PieceProtocol {
  protected readonly _onDidState = new Emitter<StatedByUpstream>()
  /** What upstreams say of themselves with their answers. */
  readonly onDidState = this._onDidState.event

  /** Asks for pieces in one call; never rejects. */
  abstract runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], terms: PieceCallTerms): Promise<PieceCallOutcome>
  /** Gives results back; false when the upstream did not confirm it. */
  abstract freeResults (upstream: UpstreamEntry, handles: readonly string[], terms?: FreeTerms): Promise<boolean>
}
