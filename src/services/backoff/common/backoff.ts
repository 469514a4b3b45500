/**
 * Backoff periods that upstreams requested from this node.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export interface IBackoffService {
  /** True if no upstream has requested a backoff. */
  readonly isEmpty: boolean
  /** Returns the time in ms until a request may be sent to the upstream; 0 if one may be sent now. */
  getWaitMs (upstream: string): number
  /** To be called right before a request is written. Returns false if it must not be sent. */
  beginSend (upstream: string): boolean
  /** Records whether the upstream accepted a request that was written at a time on this process's clock. */
  recordSendResult (upstream: string, sentAt: number, isAccepted: boolean): void
  /** Returns the delay in ms after which a caller should retry when all of these upstreams are backing off. */
  scheduleRetryAfter (role: string, entries: readonly UpstreamEntry[]): number
}
