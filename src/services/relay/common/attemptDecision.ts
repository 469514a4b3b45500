/**
 * What follows an attempt that did not deliver an answer. One function decides, from what is known to have run.
 */
import type { NotRunReason } from './relayProtocol.ts'

/** How an attempt ended. */
export type AttemptOutcome =
  /** The answer went to the caller, to its end. */
  | { readonly kind: 'delivered' }
  /** The upstream did not run the request. */
  | { readonly kind: 'notRun', readonly reason: NotRunReason }
  /** The upstream ran the request and answered with a failure of its own. */
  | { readonly kind: 'failed', readonly status: number }
  /** It was sent, and what became of it is not known; nothing of an answer reached the caller. */
  | { readonly kind: 'lost', readonly reason: string }
  /** A stream broke off after the caller had a part of it. */
  | { readonly kind: 'broken', readonly lastEventId: string | undefined, readonly reason: string }
  /** The caller left. */
  | { readonly kind: 'cancelled' }

export interface AttemptInputs {
  readonly outcome: AttemptOutcome
  /** The request may run more than once from its start, or from the last event of a stream. */
  readonly isRepeatable: boolean
  readonly isResumable: boolean
  /** Upstreams that may have run the request, this one included. */
  readonly runCount: number
  /** Upstreams that it was sent to, this one included. */
  readonly sendCount: number
  readonly maxAttempts: number
  /** Upstreams that ended under this request, in this try and in earlier ones. */
  readonly endedCount: number
  readonly timeLeftMs: number
  /** Less time than this is not worth a further attempt. */
  readonly minTimeMs: number
}

export type AttemptDecision =
  | { readonly kind: 'end' }
  /** Another attempt, if the retry budget allows it. */
  | { readonly kind: 'retry', readonly isResume: boolean }
  /** Preparation has to make its results anew first. */
  | { readonly kind: 'prepareAgain' }
  /** Hand on the failure that the upstream answered with. */
  | { readonly kind: 'passOn' }
  /** End with an error of our own. */
  | { readonly kind: 'refuse', readonly isNotRun: boolean }
  /** A part was handed over and the rest will not come: cut the answer so that it cannot be taken for whole. */
  | { readonly kind: 'cut' }

/** Upstreams that turn a request away cost nothing but budget; beyond so many the fleet is taken for full. */
const MAX_EXTRA_SENDS = 2
/** A request under which so many upstreams ended is not sent to another within the try: one end may be chance. */
const MAX_ENDED = 2

export function decideAfterAttempt (inputs: AttemptInputs): AttemptDecision {
  const { outcome } = inputs
  if (outcome.kind === 'delivered' || outcome.kind === 'cancelled') return { kind: 'end' }
  if (outcome.kind === 'notRun') return decideAfterNotRun(inputs, outcome.reason)
  const mayRunAgain = inputs.isRepeatable && inputs.runCount < inputs.maxAttempts && inputs.endedCount < MAX_ENDED && inputs.timeLeftMs >= inputs.minTimeMs
  if (outcome.kind === 'broken') return mayRunAgain && inputs.isResumable ? { kind: 'retry', isResume: true } : { kind: 'cut' }
  if (mayRunAgain) return { kind: 'retry', isResume: false }
  return outcome.kind === 'failed' ? { kind: 'passOn' } : { kind: 'refuse', isNotRun: false }
}

function decideAfterNotRun (inputs: AttemptInputs, reason: NotRunReason): AttemptDecision {
  const hasTime = inputs.timeLeftMs >= inputs.minTimeMs
  const mayStillRun = inputs.runCount < inputs.maxAttempts && inputs.sendCount < inputs.maxAttempts + MAX_EXTRA_SENDS
  if (reason === 'inputMissing' && hasTime && mayStillRun) return { kind: 'prepareAgain' }
  if (reason !== 'refused' && hasTime && mayStillRun) return { kind: 'retry', isResume: false }
  return { kind: 'refuse', isNotRun: inputs.runCount === 0 }
}

/** Whether the upstream is to blame: one that accepts no connection may be gone long before its entry is. */
export function hasFailedUpstream (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'lost' || outcome.kind === 'failed' || (outcome.kind === 'notRun' && outcome.reason === 'unreachable')
}

/** The upstream began to work on the request, whatever became of it. */
export function hasTaken (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'delivered' || outcome.kind === 'failed' || outcome.kind === 'broken'
}

/** Nothing was written, since the upstream was to get nothing more by then. */
export function isWithheld (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'notRun' && outcome.reason === 'withheld'
}

/** The connection ended before the answer did. */
export function hasLostRun (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'lost' || outcome.kind === 'broken'
}
