/**
 * The ports of the relay: how callers and upstreams speak HTTP. An adapter translates their headers; everything above
 * it speaks of requests, attempts and outcomes.
 */
import type { Either } from 'purify-ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamStatement } from '../../upstream/common/upstreamStatement.ts'
import type { HeaderField, RelayRequest } from './relayRequest.ts'

/** The head of a message as it was received. */
export interface MessageHead {
  readonly method: string
  readonly target: string
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  readonly rawHeaders: readonly string[]
}

/** The head of an upstream's answer as it was received. */
export interface AnswerHead extends Omit<MessageHead, 'method' | 'target'> {
  readonly status: number
}

/** When to come back for a request that another node can take at once, in milliseconds. */
export const ELSEWHERE_RETRY_MS = 50

/** Why a request ends without an upstream's answer. */
export interface RelayRefusal {
  readonly error: PepperwoodError
  /** True is a promise: no upstream has run the request, and none will. */
  readonly isNotRun: boolean
  /** When it makes sense to ask again. */
  readonly retryAfterMs?: number
}

/** An answer of our own to a caller. */
export interface OwnAnswer {
  readonly status: number
  readonly headers: readonly HeaderField[]
  readonly body: string
}

/** One attempt at one upstream. */
export interface RelayCall {
  readonly request: RelayRequest
  readonly upstream: UpstreamEntry
  readonly customer: string | undefined
  readonly timeLeftMs: number
  /** 0 goes first. */
  readonly priority: number
  /** Handles of the results that preparation left, in order. */
  readonly inputs: readonly string[]
  /** The address of an upstream that keeps more of the prompt's beginning than this one does. */
  readonly prefixSource: string | undefined
  /** The last event that the caller has of this stream. */
  readonly lastEventId: string | undefined
  readonly bodyBytes: number
}

/** What the head of an upstream's answer says. */
export type AnswerVerdict =
  /** The upstream's answer to this very request, whatever its status. */
  | { readonly kind: 'answer', readonly isSuccess: boolean, readonly headers: readonly HeaderField[] }
  /** The upstream says that it did not run the request. */
  | { readonly kind: 'notRun', readonly reason: NotRunReason }
  /** Not an answer to this request, or not one that may be passed on. */
  | { readonly kind: 'invalid', readonly reason: string }

/** Withheld: nothing was written, since the upstream was to get nothing more by then. */
export type NotRunReason = 'full' | 'otherUpstream' | 'inputMissing' | 'refused' | 'unreachable' | 'withheld'

/** Speaks with callers. */
export abstract class CallerProtocol {
  abstract readRequest (head: MessageHead): Either<PepperwoodError, RelayRequest>
  /** The id that the caller gave, for logs; empty when there is none. */
  abstract findRequestId (head: MessageHead): string
  abstract createAnswer (refusal: RelayRefusal): OwnAnswer
}

/** Speaks with upstreams. */
export abstract class UpstreamProtocol {
  /** The request's headers, host and framing included. */
  abstract createHeaders (call: RelayCall): readonly HeaderField[]
  abstract readHead (head: AnswerHead, call: RelayCall): AnswerVerdict
  /** What the upstream says of itself; nothing where the answer is another boot's or to another request. */
  abstract readStatements (head: AnswerHead, call: RelayCall): readonly UpstreamStatement[]
  /** The load that the upstream reports; undefined where it reports none. */
  abstract readLoad (head: AnswerHead): UpstreamLoad | undefined
}

/** Load as an upstream told it with an answer. */
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}
