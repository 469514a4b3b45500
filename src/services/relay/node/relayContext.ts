/**
 * Services that all requests of the relay share.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import type { IBackoffService } from '../../backoff/common/backoff.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { HallRegions } from '../../locate/common/hallRegions.ts'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import type { ReleaseDelay } from '../../preparation/common/releaseDelay.ts'
import type { IQuarantineService } from '../../quarantine/common/quarantine.ts'
import type { IQuotaService } from '../../quota/common/quota.ts'
import type { AbandonedArrivals } from '../../retry/common/abandonedArrivals.ts'
import type { RetryPolicy } from '../../retry/common/retryPolicy.ts'
import type { CallAgent } from '../../upstream/node/callAgent.ts'
import type { SendGuard } from '../../upstream/node/sendGuard.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { StatementBatch } from '../../upstream/common/upstreamStatement.ts'
import type { PreparationThrottle } from '../common/preparationThrottle.ts'
import type { RelayRefusal, UpstreamProtocol } from '../common/relayProtocol.ts'
import type { RelayPool } from '../common/relayPool.ts'
import type { CallerAnswer } from './callerAnswer.ts'

export interface RelayContext {
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  readonly hall: string
  /** Whether plans reserve capacity for refused callers; see docs/CONTENTION.md. */
  readonly handlesContention?: boolean
  /** Regions of the halls; without it home regions are not enforced. */
  readonly regions?: HallRegions
  readonly localAddress?: string
  readonly agent: CallAgent
  /** Whether connections may fail because this node is partitioned from the upstreams. */
  readonly mayBePartitioned?: () => boolean
  readonly upstreamProtocol: UpstreamProtocol
  readonly registry: UpstreamRegistry
  readonly pool: RelayPool
  readonly guard: SendGuard
  readonly backoffs: IBackoffService
  readonly retry: RetryPolicy
  readonly abandonedArrivals: AbandonedArrivals
  readonly throttle: PreparationThrottle
  readonly recordStatements: (batch: StatementBatch) => void
  readonly quota: IQuotaService
  readonly preparation: IPreparationService
  readonly releaseDelay: ReleaseDelay
  readonly quarantine: IQuarantineService
  /** Sends a refusal in the callers' protocol and logs it with the request's id. */
  readonly refuse: (answer: CallerAnswer, refusal: RelayRefusal, requestId: string) => void
}
