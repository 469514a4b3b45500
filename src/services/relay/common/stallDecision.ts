/**
 * Decides whether another upstream takes over from an attempt that has stalled. The attempt goes on unless one does, since
 * the upstream may still deliver.
 */
import { MAX_EXTRA_SENDS, decideAfterAttempt } from './attemptDecision.ts'
import type { AttemptDecision, AttemptDecisionInputs, AttemptOutcome } from './attemptDecision.ts'

export interface StallInputs extends Omit<AttemptDecisionInputs, 'outcome'> {
  /** The caller has received a part of the answer. */
  readonly hasBegun: boolean
  /** How long the attempt has been silent. */
  readonly silentMs: number
  /** The pause after which callers give a stream up. */
  readonly callerPatienceMs: number
  /** Whether another upstream that may take over has produced output lately; see `isResponsive`. */
  readonly hasResponsive: boolean
}

export type WaitReason = 'attempts' | 'allSilent'

export type StallDecision =
  | { readonly kind: 'wait', readonly reason: WaitReason }
  | { readonly kind: 'replace', readonly decision: AttemptDecision & { readonly kind: 'retry' } }

/** While all upstreams are silent, a stream waits for its own for this share of the time that callers wait. */
const UNPROVEN_PATIENCE_SHARE = 0.5
/** A responsive upstream has been silent for at most this share of the silence that is compared with its own. */
const RESPONSIVE_SHARE = 0.5

/** The outcome that the attempt would have if it were given up now. */
export function createStalledOutcome (hasBegun: boolean): AttemptOutcome {
  return hasBegun ? { kind: 'broken', lastEventId: undefined, reason: 'stream paused too long' } : { kind: 'lost', reason: 'upstream timed out' }
}

export function decideOnStall (inputs: StallInputs): StallDecision {
  const { hasBegun, silentMs, callerPatienceMs, hasResponsive, sendCount, maxAttempts } = inputs
  const decision = decideAfterAttempt({ ...inputs, outcome: createStalledOutcome(hasBegun) })
  if (decision.kind !== 'retry' || sendCount >= maxAttempts + MAX_EXTRA_SENDS) return { kind: 'wait', reason: 'attempts' }
  // If all upstreams are silent, the cause is hardly this one. Without any output the response timeout is long enough.
  if (hasBegun && !hasResponsive && silentMs < callerPatienceMs * UNPROVEN_PATIENCE_SHARE) return { kind: 'wait', reason: 'allSilent' }
  return { kind: 'replace', decision }
}

/** Whether an upstream has produced output so much later than another one that the other's silence is its own. */
export function isResponsive (upstreamSilentMs: number, silentMs: number): boolean {
  return upstreamSilentMs <= silentMs * RESPONSIVE_SHARE
}
