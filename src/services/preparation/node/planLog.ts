/**
 * What a coordinator writes of its calls and jobs: late and refused requests are explained from these lines.
 */
import { formatPosition } from '../../feed/common/sourcePosition.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { PictureAge } from '../../upstream/common/upstreamRegistry.ts'
import type { PlanLoad } from '../common/planLoad.ts'
import type { JobDecline } from '../common/preparationJob.ts'
import type { JobEnd, PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'

/** How a call ended, and on what it was sent. */
export interface EndedCall {
  readonly outcome: PieceCallOutcome
  readonly tookMs: number
  /** How current the upstreams were that it was sent by. */
  readonly known: PictureAge
}

const BYTES_PER_KB = 1000

export class PlanLog {
  constructor (private readonly _log: ILogService) {}

  noteCall (call: PlannedCall, { outcome, tookMs, known }: EndedCall): void {
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
      made: outcomes.filter(piece => piece.kind === 'made').length,
      no_room: countFailed('noRoom'),
      input_gone: countFailed('inputGone'),
      late: countFailed('late'),
      expected_ms: Math.round(expectedMs),
      took_ms: Math.round(tookMs),
      known_revision: formatPosition(known.revision),
      known_age_ms: Math.round(known.ageMs)
    })
  }

  /** One line for each role of a plan. */
  noteLoad (hall: string, { jobs, lateJobs, roles }: PlanLoad): void {
    for (const { role, calls, runningCalls, openPieces, queueMs } of roles) {
      this._log.info('plan_load', { hall, role, jobs, late_jobs: lateJobs, calls: Number(calls.toFixed(1)), running_calls: runningCalls, open_pieces: openPieces, queue_ms: Math.round(queueMs) })
    }
  }

  noteDeclined (hall: string, jobId: string, { endInMs }: JobDecline): void {
    this._log.info('preparation_declined', { request: jobId, hall, end_in_ms: Math.round(endInMs) })
  }

  notePrepared ({ jobId, targetId, prefixSourceId, times }: JobEnd & { readonly kind: 'prepared' }): void {
    const { queuedMs, madeMs, betweenMs } = times
    this._log.info('preparation_done', { request: jobId, target: targetId, prefix_from: prefixSourceId, queued_ms: Math.round(queuedMs), made_ms: Math.round(madeMs), between_ms: Math.round(betweenMs) })
  }
}
