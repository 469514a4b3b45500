/**
 * Decorates calls to upstreams that compute pieces: each call first acquires the upstream's quota.
 */
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { FreeOptions, PieceCallOptions } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../../preparation/common/plannedCall.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { IQuotaService } from '../common/quota.ts'

export class RateLimitedPieceCalls extends PieceProtocol {
  constructor (private readonly _inner: PieceProtocol, private readonly _quota: IQuotaService) {
    super()
    _inner.onDidReceiveStatement(batch => this._onDidReceiveStatement.fire(batch))
  }

  async runPieces (upstream: UpstreamEntry, pieces: readonly PlannedPiece[], options: PieceCallOptions): Promise<PieceCallOutcome> {
    if (await this._quota.acquire(upstream, pieces[0]?.jobId ?? '')) return await this._inner.runPieces(upstream, pieces, options)
    return { kind: 'notRun', reason: 'limited', retryInMs: this._quota.getWaitMs(upstream) }
  }

  /** A call that is denied is not repeated: upstreams remove results by themselves when their lifetime ends. */
  async freeResults (upstream: UpstreamEntry, handles: readonly string[], options?: FreeOptions): Promise<boolean> {
    return await this._quota.acquire(upstream, '') && await this._inner.freeResults(upstream, handles, options)
  }
}
