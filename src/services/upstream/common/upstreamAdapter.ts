/**
 * The interface to upstreams. Each adapter implements one upstream protocol; callers only deal with attempts and outcomes.
 */
import type { Either } from 'purify-ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'

/** One attempt of one stage at one upstream. */
export interface UpstreamCall {
  readonly upstream: Upstream
  /** Echoed by the upstream; an answer with a different id is discarded. */
  readonly attemptId: string
  readonly requestId: string
  readonly role: string
  readonly model: string
  readonly input: string
  /** The previous stage's result. */
  readonly previous: string
  /** Requests with the same key have a common prompt prefix. */
  readonly prefixKey: string
  readonly priority: number
  readonly timeLeftMs: number
  /** Index of the first token to send; earlier tokens have been received already. */
  readonly offset: number
  /** The text of the tokens before the offset. */
  readonly produced: string
  /** Requests the remaining tokens of an attempt that the engine still holds; nothing is run again. */
  readonly isResume: boolean
  /** The call must not be sent twice, so it uses a connection of its own. */
  readonly isUnrepeatable: boolean
  /**
   * Called once the connection is open and before the first byte is written; false withholds the call.
   */
  readonly onWillSend: () => boolean
  /** Called with each token as it arrives, in order from `offset` on. */
  readonly onDidReceiveText: (text: string, index: number) => void
  readonly signal: AbortSignal
}

/** How an attempt ended. */
export type UpstreamOutcome =
  /** The complete result arrived. */
  | { readonly kind: 'answered', readonly text: string, readonly tokenCount: number, readonly busyMs: number, readonly cachedTokens: number }
  /** The connection was not opened, the call was not written, or the upstream reported that it did not run it. */
  | { readonly kind: 'notRun', readonly error: PepperwoodError, readonly isLeaving: boolean, readonly incarnation: number }
  /** The upstream ran the call and reported a failure. */
  | { readonly kind: 'failed', readonly error: PepperwoodError, readonly busyMs: number }
  /** The call was sent, and its result is unknown. */
  | { readonly kind: 'lost', readonly error: PepperwoodError }

/** The load report of an upstream. */
export interface UpstreamReport {
  /** The incarnation; increases with each start of the upstream. */
  readonly boot: number
  /** Increases with each report of an incarnation. */
  readonly report: number
  readonly running: number
  readonly queued: number
  readonly capacity: number
  readonly isLeaving: boolean
  readonly models: readonly string[]
  readonly fencing: number
  readonly prefixes: readonly string[]
}

/** An order to load models. */
export interface UpstreamOrder {
  readonly fencing: number
  readonly models: readonly string[]
}

export abstract class UpstreamAdapter {
  abstract call (call: UpstreamCall): Promise<UpstreamOutcome>
  /** Requests that the upstream stop an attempt; best effort. */
  abstract cancel (upstream: Upstream, attemptId: string): Promise<void>
  abstract readReport (upstream: Upstream): Promise<Either<PepperwoodError, UpstreamReport>>
  abstract sendOrder (upstream: Upstream, order: UpstreamOrder): Promise<Either<PepperwoodError, void>>
}
