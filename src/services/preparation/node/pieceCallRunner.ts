/**
 * Makes the planned calls to upstreams: those that compute pieces, and those that free results.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { SendGuard } from '../../upstream/node/sendGuard.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PlannedCall, PlannedFree } from '../common/plannedCall.ts'
import type { CompletedCall } from './planLog.ts'

export interface PieceCallRunnerOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  /** Checked before a call is written to the connection; without a guard every call is sent. */
  readonly guard?: SendGuard
}

export class PieceCallRunner {
  private readonly _options: PieceCallRunnerOptions

  constructor (options: PieceCallRunnerOptions) {
    this._options = options
  }

  async runCall (call: PlannedCall): Promise<CompletedCall> {
    const { registry, protocol, guard, clock } = this._options
    const upstream = registry.get(call.upstreamId)
    const startedAt = clock.now()
    const registryAge = registry.computeFreshness(startedAt)
    const outcome = upstream === undefined
      ? { kind: 'notRun' as const, reason: 'unreachable' as const }
      : await protocol.runPieces(upstream, call.pieces, { timeoutMs: call.timeoutMs, onWillSend: () => guard?.maySend(upstream.id, call.pieces[0]?.jobId ?? '') !== false })
    return { outcome, tookMs: clock.now() - startedAt, registryAge }
  }

  recordFailure (call: PlannedCall, { outcome, tookMs }: CompletedCall): void {
    if (outcome.kind === 'answered') return
    const { registry, log } = this._options
    log.info('piece_call_failed', { upstream: call.upstreamId, pieces: call.pieces.length, outcome: outcome.kind, reason: outcome.reason, took_ms: Math.round(tookMs) })
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream') registry.removePermanently(call.upstreamId, 'address answers as another')
  }

  /** Resolves to whether the results were freed. Nothing is sent to an evacuated hall; results there expire at the end of their lifetime. */
  async freeResults ({ upstreamId, handles }: PlannedFree): Promise<boolean> {
    const { registry, protocol } = this._options
    const upstream = registry.get(upstreamId)
    return upstream !== undefined && !registry.isEvacuated(upstream.hall) && await protocol.freeResults(upstream, handles)
  }
}
