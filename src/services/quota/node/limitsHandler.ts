/**
 * Lets operators see which upstreams accept only so many requests, as this node knows it.
 */
import type { OperatorHandler } from '../../metrics/node/metricsServer.ts'
import type { RateLimitService } from './rateLimitService.ts'

export const LIMITS_PATH = '/limits'

/** GET lists the limits that upstreams state, with the age of what is known. */
export function createLimitsHandler (stated: RateLimitService): OperatorHandler {
  return {
    path: LIMITS_PATH,
    answer: (method, rest) => {
      if (method !== 'GET' || rest !== '') return undefined
      return stated.listLimits().map(({ upstream, perS, ageMs }) => ({ upstream, per_s: perS, age_ms: ageMs }))
    }
  }
}
