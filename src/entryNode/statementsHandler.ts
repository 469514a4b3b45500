/**
 * Shows operators which upstreams receive no requests because they stated that they are leaving or asked for a backoff.
 */
import type { IClock } from '../base/common/clock.ts'
import type { BackoffService } from '../services/backoff/node/backoffService.ts'
import { formatLeavingSubject } from '../services/facts/common/fact.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'
import type { OperatorHandler } from '../services/metrics/node/metricsServer.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'

export const STATEMENTS_PATH = '/statements'

export interface StatementsHandlerOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
  readonly facts: FactStore
  readonly backoffs: BackoffService
}

/** GET lists the leaving upstreams and those that asked this node to back off, with the age of each statement. */
export function createStatementsHandler ({ clock, registry, facts, backoffs }: StatementsHandlerOptions): OperatorHandler {
  return {
    path: STATEMENTS_PATH,
    answer: (method, rest) => {
      if (method !== 'GET' || rest !== '') return undefined
      const now = clock.now()
      const leaving = registry.list().filter(({ isLeaving }) => isLeaving).map(({ id }) => {
        const fact = facts.get(formatLeavingSubject(id))
        return { upstream: id, source: fact?.source === '' ? 'own' : fact?.source ?? 'list', age_ms: fact === undefined ? undefined : Math.round(now - fact.observedAt) }
      })
      return {
        leaving,
        backoffs: backoffs.list().map(({ upstream, leftMs, ageMs, isOnTrial }) => ({ upstream, left_ms: Math.round(leftMs), age_ms: Math.round(ageMs), on_trial: isOnTrial }))
      }
    }
  }
}
