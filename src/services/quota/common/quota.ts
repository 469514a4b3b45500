/**
 * What the relay and preparation ask before they send anything to an upstream.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export interface IQuotaService {
  /** Whether the upstream accepts only so many requests a second from all nodes together. */
  isLimited (entry: UpstreamEntry): boolean
  /** How long it makes no sense to ask for the upstream, in milliseconds; 0 where a request may go now, or may be asked for. */
  getWaitMs (entry: UpstreamEntry): number
  /** Whether one request may go to the upstream now; the node that counts them is asked where it is limited. The log names the request. */
  acquire (entry: UpstreamEntry, request: string): Promise<boolean>
  /** When a caller should return whom none of these upstreams accepts, in milliseconds. */
  scheduleReturn (role: string, entries: readonly UpstreamEntry[]): number
}
