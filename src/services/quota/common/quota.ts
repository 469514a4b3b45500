/**
 * Admission check that the relay and preparation make before they send anything to a rate-limited upstream.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export interface IQuotaService {
  /** Returns whether a rate limit across all nodes applies to the upstream. */
  isLimited (entry: UpstreamEntry): boolean
  /** Whether the upstream may have become cold unnoticed, so that further requests may have to wait for a proof that it is warm. */
  isUnconfirmed (entry: UpstreamEntry): boolean
  /** Returns the time in ms until the quota may be requested again after a denial; 0 if there is no limit or no recent denial. */
  getWaitMs (entry: UpstreamEntry): number
  /**
   * Resolves to whether one request may be sent to the upstream now. Where a limit applies, the quota's owner decides,
   * which may be another node. The request's ID is only for the log.
   */
  acquire (entry: UpstreamEntry, request: string): Promise<boolean>
  /** Returns the delay in ms after which a caller should retry when none of these upstreams accepts its request. */
  scheduleRetryAfter (role: string, entries: readonly UpstreamEntry[]): number
}
