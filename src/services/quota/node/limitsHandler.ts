/**
 * Operator endpoint that lists the rate limits known to this node.
 */
import type { OperatorHandler } from '../../metrics/node/metricsServer.ts'
import type { RateLimitService } from './rateLimitService.ts'

export const LIMITS_PATH = '/limits'

/** GET returns the limits that upstreams have stated, with the age of each statement. */
export function createLimitsHandler (rateLimits: RateLimitService): OperatorHandler {
  return {
    path: LIMITS_PATH,
    answer: (method, rest) => {
      if (method !== 'GET' || rest !== '') return undefined
      return rateLimits.listLimits().map(({ upstream, perS, ageMs }) => ({ upstream, per_s: perS, age_ms: ageMs }))
    }
  }
}
