/**
 * Interfaces to the HTTP protocols of callers and upstreams. Adapters implement them and translate headers, so that the
 * relay itself only deals with requests, attempts and outcomes.
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

/** Retry delay for a request that another node can accept at once. */
export const OTHER_NODE_RETRY_MS = 50

/** Why a request ends without an upstream's answer. */
export interface RelayRefusal {
  readonly error: PepperwoodError
  /** True guarantees that no upstream has run the request and none will. */
  readonly isNotRun: boolean
  /** Delay after which a retry makes sense. */
  readonly retryAfterMs?: number
}

/** An answer to a caller that this node created itself. */
export interface RefusalAnswer {
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
  /** Lower values are more urgent; 0 is the highest priority. */
  readonly priority: number
  /** Handles of the results of preparation, in order. */
  readonly inputs: readonly string[]
  /** Address of an upstream whose cache holds a longer prefix of the prompt, from which it can be copied. */
  readonly prefixSource: string | undefined
  /** Id of the last event of this stream that the caller has received. */
  readonly lastEventId: string | undefined
  readonly bodyBytes: number
}

/** Classification of the head of an upstream's answer. */
export type AnswerVerdict =
  /** The upstream's answer to this request, with any status. */
  | { readonly kind: 'answer', readonly isSuccess: boolean, readonly headers: readonly HeaderField[] }
  /**
   * The upstream stated that it did not run the request. If the answer does not have the request's id, a late copy of it could be
   * taken for the answer to any other request.
   */
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly isIdentified: boolean }
  /** Not an answer to this request, or one that must not be forwarded. */
  | { readonly kind: 'invalid', readonly reason: string }

/** `withheld`: nothing was written, because the upstream must not receive requests any more. */
export type NotRunReason = 'full' | 'otherUpstream' | 'inputMissing' | 'refused' | 'unreachable' | 'withheld'

/** Decodes callers' requests and encodes refusals. */
export abstract class CallerProtocol {
  abstract readRequest (head: MessageHead): Either<PepperwoodError, RelayRequest>
  /** Returns the caller's request id for logs, also if the request is invalid; empty if there is none. */
  abstract findRequestId (head: MessageHead): string
  abstract createAnswer (refusal: RelayRefusal): RefusalAnswer
}

/** Encodes requests to upstreams and decodes the heads of their answers. */
export abstract class UpstreamProtocol {
  /** Returns the request's headers, Host and framing headers included. */
  abstract createHeaders (call: RelayCall): readonly HeaderField[]
  abstract readHead (head: AnswerHead, call: RelayCall): AnswerVerdict
  /** Returns what the upstream states about itself; empty if the answer is from another instance or to another request. */
  abstract readStatements (head: AnswerHead, call: RelayCall): readonly UpstreamStatement[]
}
