/**
 * Interface to upstreams that run pieces.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { StatementBatch } from '../../upstream/common/upstreamStatement.ts'
import type { PieceCallOutcome, PlannedPiece } from './plannedCall.ts'

export interface PieceCallOptions {
  readonly timeoutMs: number
  /** Called when the connection is open, just before the call is written; returning false withholds the call. */
  readonly onWillSend?: () => boolean
}

export type FreeOptions = Pick<PieceCallOptions, 'onWillSend'>

export abstract class PieceProtocol {
  protected readonly _onDidReceiveStatement = new Emitter<StatementBatch>()
  /** Fires for statements about its own state that an upstream sends with an answer. */
  readonly onDidReceiveStatement = this._onDidReceiveStatement.event

  /** Runs pieces in one call. Never rejects. */
  abstract runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], options: PieceCallOptions): Promise<PieceCallOutcome>
  /** Frees results; resolves to false if the upstream did not confirm it. */
  abstract freeResults (upstream: UpstreamEntry, handles: readonly string[], options?: FreeOptions): Promise<boolean>
}
