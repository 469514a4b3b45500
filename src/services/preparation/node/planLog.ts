/**
 * Writes log lines on the calls and jobs of a coordinator. They serve to explain late and refused requests.
 */
import { formatPosition } from '../../feed/common/sourcePosition.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { RegistryFreshness } from '../../upstream/common/upstreamRegistry.ts'
import type { PlanLoad } from '../common/planLoad.ts'
import type { JobDecline } from '../common/preparationJob.ts'
import type { JobEnd, PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'

export interface CompletedCall {
  readonly outcome: PieceCallOutcome
  readonly tookMs: number
  /** Revision and age of the upstream registry when the call was sent. */
  readonly registryAge: RegistryFreshness
}

const BYTES_PER_KB = 1000

export class PlanLog {
  constructor (private readonly _log: ILogService) {}

  recordCall (call: PlannedCall, { outcome, tookMs, registryAge }: CompletedCall): void {
    const { id, upstreamId, role, pieces, leftWaiting, freeBytes, expectedMs } = call
    const outcomes = outcome.kind === 'answered' ? outcome.pieces : []
    const countFailed = (reason: string) => outcomes.filter(piece => piece.kind === 'failed' && piece.reason === reason).length
    this._log.info('piece_call', {
      call: id,
      upstream: upstreamId,
      role,
      pieces: pieces.length,
      left_waiting: leftWaiting,
      free_kb: Math.round(freeBytes / BYTES_PER_KB),
      outcome: outcome.kind,
      ...'reason' in outcome ? { reason: outcome.reason } : {},
      ...'detail' in outcome ? { detail: outcome.detail } : {},
      made: outcomes.filter(piece => piece.kind === 'made').length,
      no_room: countFailed('noRoom'),
      input_gone: countFailed('inputGone'),
      late: countFailed('late'),
      expected_ms: Math.round(expectedMs),
      took_ms: Math.round(tookMs),
      known_revision: formatPosition(registryAge.revision),
      known_age_ms: Math.round(registryAge.ageMs)
    })
  }

  /** Writes one line for each role of a plan. */
  recordLoad (hall: string, { jobs, lateJobs, roles }: PlanLoad): void {
    for (const { role, calls, runningCalls, openPieces, queueMs } of roles) {
      this._log.info('plan_load', { hall, role, jobs, late_jobs: lateJobs, calls: Number(calls.toFixed(1)), running_calls: runningCalls, open_pieces: openPieces, queue_ms: Math.round(queueMs) })
    }
  }

  recordDeclined (hall: string, jobId: string, { endInMs, isReservedElsewhere = false }: JobDecline): void {
    this._log.info('preparation_declined', { request: jobId, hall, end_in_ms: Math.round(endInMs), reserved_elsewhere: isReservedElsewhere })
  }

  /** Failed requests at targets eject these from the plan for all nodes. */
  recordFailedTarget (hall: string, jobId: string): void {
    this._log.info('target_failed', { request: jobId, hall })
  }

  recordPrepared ({ jobId, targetId, prefixSourceId, times }: JobEnd & { readonly kind: 'prepared' }): void {
    const { queuedMs, madeMs, betweenMs } = times
    this._log.info('preparation_done', { request: jobId, target: targetId, prefix_from: prefixSourceId, queued_ms: Math.round(queuedMs), made_ms: Math.round(madeMs), between_ms: Math.round(betweenMs) })
  }
}
