/**
 * Logs what becomes of refused callers with a reservation. The counters of a plan do not name requests, so each decision
 * is derived from how they changed while the plan took one job in.
 */
import type { ILogService } from '../../log/node/logger.ts'
import type { JobRefusal, PreparationJob } from '../common/preparationJob.ts'
import type { ReturnCounts } from '../common/returnReservations.ts'

export const NO_RETURNS: ReturnCounts = { reserved: 0, kept: 0, expired: 0, missed: 0 }

/** Digits of the key in log lines: enough to find the other tries of a caller. */
const LOGGED_KEY_DIGITS = 12

export function sumReturnCounts (a: ReturnCounts, b: ReturnCounts): ReturnCounts {
  return { reserved: a.reserved + b.reserved, kept: a.kept + b.kept, expired: a.expired + b.expired, missed: a.missed + b.missed }
}

/** Returns the field that connects the tries of one caller in the log; none if the job has no key. */
export function formatReturnKey (key: string | undefined): { readonly key?: string } {
  return key === undefined ? {} : { key: key.slice(0, LOGGED_KEY_DIGITS) }
}

export class ReturnLog {
  constructor (private readonly _log: ILogService) {}

  /** Logs the refusal of a job: whether it has a reservation, and whether the caller had returned at its reserved time. */
  recordRefusal (hall: string, { id, returnKey }: Pick<PreparationJob, 'id' | 'returnKey'>, { reason, retryAfterMs, isReserved }: JobRefusal, hasReturned: boolean): void {
    if (returnKey === undefined) return
    const fields = { request: id, hall, ...formatReturnKey(returnKey) }
    if (hasReturned) this._log.warn('return_missed', { ...fields, reason })
    if (isReserved === true) this._log.info('return_reserved', { ...fields, return_in_ms: Math.round(retryAfterMs) })
  }

  recordKept (hall: string, { id, returnKey }: PreparationJob): void {
    this._log.info('return_kept', { request: id, hall, ...formatReturnKey(returnKey) })
  }
}

/** Takes a job into a plan, and returns the plan's answer along with what became of a reservation of the job. */
export function addReturningJob<R> (planner: { readonly returnCounts: ReturnCounts }, addJob: () => R): { readonly refusal: R, readonly isKept: boolean, readonly isMissed: boolean } {
  const { kept, missed } = planner.returnCounts
  const refusal = addJob()
  return { refusal, isKept: planner.returnCounts.kept > kept, isMissed: planner.returnCounts.missed > missed }
}
