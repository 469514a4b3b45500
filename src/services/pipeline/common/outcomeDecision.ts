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
  /** Attempts of the stage so far. */
  readonly attempts: number
}

export type OutcomeDecision =
  | { readonly kind: 'resume' }
  /** The upstream was full, leaving or not to be reached, and ran nothing: back into the queue, which costs little. */
  | { readonly kind: 'queue', readonly waitMs: number }
  /** One more attempt, if the retry budget consents. */
  | { readonly kind: 'again' }
  | { readonly kind: 'giveUp', readonly reason: 'outcomeUnknown' | 'stageFailed' | 'noTime' }

const MAX_RESUMES = 2
/**
 * An upstream that is busy answers within this. An attempt that the deadline cuts off leaves the caller of an unrepeatable
 * request not knowing whether it ran, so after a refusal none is begun this late.
 */
const MIN_TIME_LEFT_MS = 50
const FIRST_BACKOFF_MS = 10
const MAX_BACKOFF_MS = 250
const MAX_DOUBLINGS = 10

/** Doubles with each attempt, and never takes more than a quarter of the time left. */
function computeBackoff (inputs: OutcomeInputs): number {
  const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.min(inputs.attempts, MAX_DOUBLINGS))
  return Math.min(backoffMs, inputs.timeLeftMs / 4)
}

export function decideAfterOutcome (inputs: OutcomeInputs): OutcomeDecision {
  const { outcome } = inputs
  if (inputs.timeLeftMs < MIN_TIME_LEFT_MS) return { kind: 'giveUp', reason: 'noTime' }
  if (outcome.kind === 'lost' && inputs.canResume && inputs.resumes < MAX_RESUMES) return { kind: 'resume' }
  if (outcome.kind === 'notRun') return { kind: 'queue', waitMs: computeBackoff(inputs) }
  if (!inputs.isUnrepeatable) return { kind: 'again' }
  return { kind: 'giveUp', reason: outcome.kind === 'failed' ? 'stageFailed' : 'outcomeUnknown' }
}
