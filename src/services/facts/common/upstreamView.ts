/**
 * Upstreams as a decision sees them: the configuration joined with the newest facts.
 */
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatLeavingSubject, formatLoadSubject } from './fact.ts'
import type { LoadFact } from './fact.ts'
import type { FactStore } from './factStore.ts'

export interface UpstreamView {
  readonly upstream: Upstream
  /** The boot that the last report spoke of; 0 before any report. */
  readonly incarnation: number
  readonly load: LoadFact | undefined
  /** When the report was made, on this process's clock. */
  readonly reportedAt: number
  readonly isLeaving: boolean
}

/** A leaving mark holds for the incarnation it names and all before it, whatever later lists say. */
export function viewUpstream (upstream: Upstream, facts: FactStore): UpstreamView {
  const load = facts.get(formatLoadSubject(upstream.name))
  const leaving = facts.get(formatLeavingSubject(upstream.name))
  const incarnation = load?.incarnation ?? 0
  return {
    upstream,
    incarnation,
    load: load?.value.kind === 'load' ? load.value : undefined,
    reportedAt: load?.observedAt ?? 0,
    isLeaving: leaving !== undefined && leaving.incarnation >= incarnation
  }
}
