/**
 * Decides how a stage continues after an attempt that produced no result: resume, requeue, retry or fail.
 */
import type { UpstreamOutcome } from '../../upstream/common/upstreamAdapter.ts'

export interface OutcomeInputs {
  readonly outcome: Exclude<UpstreamOutcome, { readonly kind: 'answered' }>
  /** The stage must not run more than once. */
  readonly isUnrepeatable: boolean
  /** The upstream can resume an interrupted stream from an offset. */
  readonly canResume: boolean
  /** How often this attempt has already been resumed. */
  readonly resumeCount: number
  readonly timeLeftMs: number
  /** Number of attempts of the stage so far, including this one. */
  readonly attemptCount: number
}

export type OutcomeDecision =
  | { readonly kind: 'resume' }
  /** The upstream was at capacity, leaving or unreachable and ran nothing. The stage is queued again, which is cheap and takes nothing from the retry budget. */
  | { readonly kind: 'queue', readonly waitMs: number }
  /** Another attempt, if the retry budget allows it. */
  | { readonly kind: 'again' }
  | { readonly kind: 'giveUp', readonly reason: 'outcomeUnknown' | 'stageFailed' | 'noTime' }

const MAX_RESUMES = 2
/**
 * No further attempt is decided or sent with less time left than this. A busy upstream answers within this time. If the deadline
 * interrupts an attempt of an unrepeatable request, the caller cannot know whether the request ran.
 */
export const MIN_TIME_LEFT_MS = 50
const INITIAL_BACKOFF_MS = 10
const MAX_BACKOFF_MS = 250
const MAX_BACKOFF_DOUBLINGS = 10

/** Returns an exponential backoff of at most a quarter of the time left. */
function computeBackoffMs (inputs: OutcomeInputs): number {
  const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(inputs.attemptCount, MAX_BACKOFF_DOUBLINGS))
  return Math.min(backoffMs, inputs.timeLeftMs / 4)
}

export function decideAfterOutcome (inputs: OutcomeInputs): OutcomeDecision {
  const { outcome } = inputs
  if (inputs.timeLeftMs < MIN_TIME_LEFT_MS) return { kind: 'giveUp', reason: 'noTime' }
  if (outcome.kind === 'lost' && inputs.canResume && inputs.resumeCount < MAX_RESUMES) return { kind: 'resume' }
  if (outcome.kind === 'notRun') return { kind: 'queue', waitMs: computeBackoffMs(inputs) }
  if (!inputs.isUnrepeatable) return { kind: 'again' }
  return { kind: 'giveUp', reason: outcome.kind === 'failed' ? 'stageFailed' : 'outcomeUnknown' }
}
