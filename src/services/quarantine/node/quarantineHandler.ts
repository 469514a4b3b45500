/**
 * Operator endpoint that lists what is quarantined and releases it.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { OperatorHandler } from '../../metrics/node/metricsServer.ts'
import type { QuarantineService } from './quarantineService.ts'

export const QUARANTINE_PATH = '/quarantine'

/** GET lists what is quarantined; DELETE with a digest, or with `part/` and the id of a part, discards the evidence at all nodes. */
export function createQuarantineHandler (quarantine: QuarantineService, clock: IClock): OperatorHandler {
  return {
    path: QUARANTINE_PATH,
    answer: (method, rest) => {
      if (method === 'GET' && rest === '') return listRequests(quarantine, clock.now())
      if (method === 'DELETE' && quarantine.clear(rest)) return { cleared: rest }
      return undefined
    }
  }
}

function listRequests (quarantine: QuarantineService, now: number): readonly object[] {
  return quarantine.listQuarantined().map(({ digest, parts, crashCount: ends, upstreams, lastCrashAt }) => ({ ...digest === undefined ? { parts } : { digest }, ends, upstreams, last_end_age_ms: Math.round(now - lastCrashAt) }))
}
