/**
 * Pauses that upstreams asked this node for.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export interface IBackoffService {
  /** No upstream is left alone. */
  readonly isEmpty: boolean
  /** How long nothing may be sent there, in milliseconds. */
  getWaitMs (upstream: string): number
  /** Takes in that something is about to be written; false where it must not be. */
  beginSend (upstream: string): boolean
  /** Takes in whether an upstream took what was written at some time on the process's clock. */
  settleSend (upstream: string, sentAt: number, isTaken: boolean): void
  /** When a caller should return whose request can go to none of these, all of which want nothing now, in milliseconds. */
  scheduleReturn (role: string, entries: readonly UpstreamEntry[]): number
}
