/**
 * Sets up the throttle of preparation, and logs when a role's throttling begins and ends.
 */
import type { IClock } from '../base/common/clock.ts'
import type { IRandom } from '../base/common/random.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { PreparationThrottle } from '../services/relay/common/preparationThrottle.ts'

export interface NodeThrottleOptions {
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
}

export function createThrottle ({ clock, random, log }: NodeThrottleOptions): PreparationThrottle {
  return new PreparationThrottle({
    clock,
    random,
    onDidChange: ({ role, isThrottled, acceptedCount, sendCount, forMs }) => {
      log.info(isThrottled ? 'throttle_began' : 'throttle_ended', { role, accepted: acceptedCount, sends: sendCount, for_ms: Math.round(forMs) })
    }
  })
}
