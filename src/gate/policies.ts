/**
 * Creates the policy implementations that are selected in the settings.
 */
import type { IRandom } from '../base/common/random.ts'
import { AdmitAll, PredictedFinishAdmission } from '../services/admission/common/admissionPolicy.ts'
import type { AdmissionPolicy } from '../services/admission/common/admissionPolicy.ts'
import { EjectingTracker, AlwaysHealthyTracker } from '../services/health/common/healthTracker.ts'
import type { HealthTracker } from '../services/health/common/healthTracker.ts'
import { AdaptiveLimiter, FixedLimiter } from '../services/limits/common/concurrencyLimiter.ts'
import type { ConcurrencyLimiter } from '../services/limits/common/concurrencyLimiter.ts'
import { RetryBudget, UnlimitedRetries } from '../services/retry/common/retryPolicy.ts'
import type { RetryPolicy } from '../services/retry/common/retryPolicy.ts'
import { EstimatedFinishRouter, LeastReportedRouter, RoundRobinRouter } from '../services/routing/common/router.ts'
import type { Router } from '../services/routing/common/router.ts'
import { FairQueue, FifoQueue } from '../services/scheduling/common/stageQueue.ts'
import type { StageQueue } from '../services/scheduling/common/stageQueue.ts'
import type { PolicySettings } from './gateSettings.ts'

export function createRouter (policy: PolicySettings, random: IRandom): Router {
  if (policy.router === 'round-robin') return new RoundRobinRouter()
  if (policy.router === 'least-reported') return new LeastReportedRouter()
  return new EstimatedFinishRouter({ random })
}

export function createAdmission (policy: PolicySettings): AdmissionPolicy {
  return policy.admission === 'none' ? new AdmitAll() : new PredictedFinishAdmission({ fillFactor: policy.admission_fill })
}

export function createLimiter (policy: PolicySettings): ConcurrencyLimiter {
  return policy.limits === 'fixed' ? new FixedLimiter() : new AdaptiveLimiter({ fillFactor: policy.fill })
}

export function createQueue (policy: PolicySettings): StageQueue {
  return policy.queue === 'fifo' ? new FifoQueue() : new FairQueue()
}

export function createRetries (policy: PolicySettings): RetryPolicy {
  return policy.retries === 'unlimited' ? new UnlimitedRetries() : new RetryBudget({ retryRatio: policy.retry_share })
}

export function createHealth (policy: PolicySettings): HealthTracker {
  return policy.health === 'trusting' ? new AlwaysHealthyTracker() : new EjectingTracker()
}
