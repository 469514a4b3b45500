/**
 * Decides what follows an attempt, depending on whether the upstream may have run the request.
 */
import type { NotRunReason } from './relayProtocol.ts'

/** How an attempt ended. */
export type AttemptOutcome =
  /** The complete answer was sent to the caller. */
  | { readonly kind: 'delivered' }
  /** The upstream did not run the request. `detail` tells why no connection could be opened. */
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly detail?: string }
  /** The upstream ran the request and answered with an error status. */
  | { readonly kind: 'failed', readonly status: number }
  /** The request was sent and its outcome is unknown; the caller has received no part of an answer. */
  | { readonly kind: 'lost', readonly reason: string }
  /** The answer ended early after the caller had received a part of it. */
  | { readonly kind: 'broken', readonly lastEventId: string | undefined, readonly reason: string }
  /** The run was aborted: the caller disconnected, the deadline passed, or this node is stopping. */
  | { readonly kind: 'cancelled' }

export interface AttemptDecisionInputs {
  readonly outcome: AttemptOutcome
  /** The request may run more than once: from its start, or (`isResumable`) from the last event of a stream. */
  readonly isRepeatable: boolean
  readonly isResumable: boolean
  /** Attempts that may have run the request, the last one included. */
  readonly runCount: number
  /** Attempts that were sent, the last one included. */
  readonly sendCount: number
  readonly maxAttempts: number
  /** Upstreams that crashed while running this request, earlier tries of the caller included. */
  readonly crashCount: number
  readonly timeLeftMs: number
  /** No further attempt is made with less time left than this. */
  readonly minTimeMs: number
}

export type AttemptDecision =
  | { readonly kind: 'end' }
  /** Another attempt, if the retry budget allows it. */
  | { readonly kind: 'retry', readonly isResume: boolean }
  /** Another attempt, after preparation has computed the results again. */
  | { readonly kind: 'prepareAgain' }
  /** Forward the upstream's error response to the caller. */
  | { readonly kind: 'passOn' }
  /** Answer with an error of this node. */
  | { readonly kind: 'refuse', readonly isNotRun: boolean }
  /** A part was forwarded and the rest will not come: abort the connection, so that the answer is not considered complete. */
  | { readonly kind: 'cut' }

/** Sends beyond `maxAttempts` for upstreams that refused the request without running it; after these the role is considered full. */
export const MAX_EXTRA_SENDS = 2
/** After so many crashes the request is not sent again within the same run; a single crash may be a coincidence. */
const MAX_CRASHES = 2

export function decideAfterAttempt (inputs: AttemptDecisionInputs): AttemptDecision {
  const { outcome } = inputs
  if (outcome.kind === 'delivered' || outcome.kind === 'cancelled') return { kind: 'end' }
  if (outcome.kind === 'notRun') return decideAfterNotRun(inputs, outcome.reason)
  const canRunAgain = inputs.isRepeatable && inputs.runCount < inputs.maxAttempts && inputs.crashCount < MAX_CRASHES && inputs.timeLeftMs >= inputs.minTimeMs
  if (outcome.kind === 'broken') return canRunAgain && inputs.isResumable ? { kind: 'retry', isResume: true } : { kind: 'cut' }
  if (canRunAgain) return { kind: 'retry', isResume: false }
  return outcome.kind === 'failed' ? { kind: 'passOn' } : { kind: 'refuse', isNotRun: false }
}

function decideAfterNotRun (inputs: AttemptDecisionInputs, reason: NotRunReason): AttemptDecision {
  const hasTime = inputs.timeLeftMs >= inputs.minTimeMs
  const canSendAgain = inputs.runCount < inputs.maxAttempts && inputs.sendCount < inputs.maxAttempts + MAX_EXTRA_SENDS
  if (reason === 'inputMissing' && hasTime && canSendAgain) return { kind: 'prepareAgain' }
  if (reason !== 'refused' && hasTime && canSendAgain) return { kind: 'retry', isResume: false }
  return { kind: 'refuse', isNotRun: inputs.runCount === 0 }
}

/** A refused connection counts as well: an upstream may be gone long before its entry is removed from the list. */
export function isUpstreamFailure (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'lost' || outcome.kind === 'failed' || (outcome.kind === 'notRun' && outcome.reason === 'unreachable')
}

/** Whether the upstream accepted the request and began to work on it. */
export function isAccepted (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'delivered' || outcome.kind === 'failed' || outcome.kind === 'broken'
}

/** Whether the upstream had no room for the request. Refusals for other reasons may be the request's fault. */
export function isRefusedForRoom (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'notRun' && outcome.reason === 'full'
}

/** Whether nothing was written, because the upstream must not receive requests any more. */
export function isWithheld (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'notRun' && outcome.reason === 'withheld'
}

/** Whether the connection ended, or was closed, before the answer was complete. */
export function isConnectionLost (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'lost' || outcome.kind === 'broken'
}
