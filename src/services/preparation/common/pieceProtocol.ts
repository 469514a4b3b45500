/**
 * Interface to upstreams that run pieces.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { StatedByUpstream } from '../../upstream/common/upstreamStatement.ts'
import type { PieceCallOutcome, PlannedPiece } from './plannedCall.ts'

export interface PieceCallTerms {
  readonly timeoutMs: number
  /** Called when the connection is open, just before the call is written; returning false withholds the call. */
  readonly onWillSend?: () => boolean
}

export type FreeTerms = Pick<PieceCallTerms, 'onWillSend'>

export abstract class PieceProtocol {
  protected readonly _onDidState = new Emitter<StatedByUpstream>()
  /** Fires for statements about its own state that an upstream sends with an answer. */
  readonly onDidState = this._onDidState.event

  /** Runs pieces in one call. Never rejects. */
  abstract runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], terms: PieceCallTerms): Promise<PieceCallOutcome>
  /** Frees results; resolves to false if the upstream did not confirm it. */
  abstract freeResults (upstream: UpstreamEntry, handles: readonly string[], terms?: FreeTerms): Promise<boolean>
}
