/**
 * What follows when an attempt brought no result.
 */
import type { UpstreamOutcome } from '../../upstream/common/upstreamAdapter.ts'

export interface OutcomeInputs {
  readonly outcome: Exclude<UpstreamOutcome, { readonly kind: 'answered' }>
  /** The stage must not be sent twice. */
  readonly isUnrepeatable: boolean
  /** The upstream can hand out the rest of a stream that broke. */
  readonly canResume: boolean
  /** How often this attempt was resumed already. */
  readonly resumes: number
  readonly timeLeftMs: number
}

/** `again` still needs the retry budget's consent. */
export type OutcomeDecision =
  | { readonly kind: 'resume' }
  | { readonly kind: 'again', readonly waitMs: number }
  | { readonly kind: 'giveUp', readonly reason: 'outcomeUnknown' | 'stageFailed' | 'noTime' }

const MAX_RESUMES = 2
const MIN_TIME_LEFT_MS = 10

export function decideAfterOutcome (inputs: OutcomeInputs): OutcomeDecision {
  const { outcome } = inputs
  if (inputs.timeLeftMs < MIN_TIME_LEFT_MS) return { kind: 'giveUp', reason: 'noTime' }
  if (outcome.kind === 'lost' && inputs.canResume && inputs.resumes < MAX_RESUMES) return { kind: 'resume' }
  if (outcome.kind === 'notRun') return { kind: 'again', waitMs: Math.min(outcome.retryAfterMs, inputs.timeLeftMs / 4) }
  if (!inputs.isUnrepeatable) return { kind: 'again', waitMs: 0 }
  return { kind: 'giveUp', reason: outcome.kind === 'failed' ? 'stageFailed' : 'outcomeUnknown' }
}
