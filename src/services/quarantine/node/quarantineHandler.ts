/**
 * Operator endpoint that lists quarantined requests and releases them.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { OperatorHandler } from '../../metrics/node/metricsServer.ts'
import type { QuarantineService } from './quarantineService.ts'

export const QUARANTINE_PATH = '/quarantine'

/** GET lists quarantined requests; DELETE with a digest discards the evidence against that request at all nodes. */
export function createQuarantineHandler (quarantine: QuarantineService, clock: IClock): OperatorHandler {
  return {
    path: QUARANTINE_PATH,
    answer: (method, rest) => {
      if (method === 'GET' && rest === '') return listRequests(quarantine, clock.now())
      if (method === 'DELETE' && quarantine.clear(rest, 'operator')) return { cleared: rest }
      return undefined
    }
  }
}

function listRequests (quarantine: QuarantineService, now: number): readonly object[] {
  return quarantine.listQuarantined().map(({ digest, crashCount: ends, upstreams, lastCrashAt }) => ({ digest, ends, upstreams, last_end_age_ms: Math.round(now - lastCrashAt) }))
}
