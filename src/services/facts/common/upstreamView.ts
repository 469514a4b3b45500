/**
 * The state of an upstream that scheduling decisions use: its configuration joined with the latest facts about it.
 */
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatLeavingSubject, formatLoadSubject } from './fact.ts'
import type { LoadFact } from './fact.ts'
import type { FactStore } from './factStore.ts'

export interface UpstreamView {
  readonly upstream: Upstream
  /** The incarnation in the last report; 0 before the first report. */
  readonly incarnation: number
  readonly load: LoadFact | undefined
  /** When the last report was made, in milliseconds on the local clock; 0 before the first report. */
  readonly reportedAt: number
  readonly isLeaving: boolean
}

/** A leaving fact applies to its incarnation and all earlier ones, even if the upstream is listed again later. */
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
