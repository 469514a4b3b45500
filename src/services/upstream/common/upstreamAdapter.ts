/**
 * The port to upstreams. One adapter speaks one upstream protocol; everything above it speaks of attempts and outcomes.
 */
import type { Either } from 'purify-ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'

/** One attempt of one stage at one upstream. */
export interface UpstreamCall {
  readonly upstream: Upstream
  /** Echoed by the upstream; an answer with another id is discarded. */
  readonly attemptId: string
  readonly requestId: string
  readonly role: string
  readonly model: string
  readonly input: string
  /** The previous stage's result. */
  readonly previous: string
  /** Requests with the same key share the beginning of their prompt. */
  readonly prefixKey: string
  readonly priority: number
  readonly timeLeftMs: number
  /** The first token wanted; tokens before it were received already. */
  readonly offset: number
  /** The text of the tokens before the offset. */
  readonly produced: string
  /** Asks for the rest of this same attempt, which an engine still holds, and runs nothing anew. */
  readonly isResume: boolean
  /** The call may not be sent twice, so it gets a connection of its own. */
  readonly isUnrepeatable: boolean
  /**
   * Asked once the connection is open and before the first byte is written; false keeps the call from being sent.
   */
  readonly onWillSend: () => boolean
  /** Text as it arrives, in order from the offset on. */
  readonly onDidReceiveText: (text: string, index: number) => void
  readonly signal: AbortSignal
}

/** How an attempt ended. */
export type UpstreamOutcome =
  /** The whole result arrived. */
  | { readonly kind: 'answered', readonly text: string, readonly tokenCount: number, readonly busyMs: number, readonly cachedTokens: number }
  /** The connection never opened, the call was never written, or the upstream said that it did not run it. */
  | { readonly kind: 'notRun', readonly error: PepperwoodError, readonly isLeaving: boolean, readonly incarnation: number }
  /** The upstream ran it and said that it failed. */
  | { readonly kind: 'failed', readonly error: PepperwoodError, readonly busyMs: number }
  /** It was sent, and what became of it is not known. */
  | { readonly kind: 'lost', readonly error: PepperwoodError }

/** What an upstream says of itself. */
export interface UpstreamReport {
  /** Grows with each boot of the upstream. */
  readonly boot: number
  /** Grows with each report of a boot. */
  readonly report: number
  readonly running: number
  readonly queued: number
  readonly capacity: number
  readonly isLeaving: boolean
  readonly models: readonly string[]
  readonly fencing: number
  readonly prefixes: readonly string[]
}

/** An order to hold a model. */
export interface UpstreamOrder {
  readonly fencing: number
  readonly models: readonly string[]
}

export abstract class UpstreamAdapter {
  abstract call (call: UpstreamCall): Promise<UpstreamOutcome>
  /** Tells the upstream to stop an attempt; best effort. */
  abstract cancel (upstream: Upstream, attemptId: string): Promise<void>
  abstract readReport (upstream: Upstream): Promise<Either<PepperwoodError, UpstreamReport>>
  abstract sendOrder (upstream: Upstream, order: UpstreamOrder): Promise<Either<PepperwoodError, void>>
}
