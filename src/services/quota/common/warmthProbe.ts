/**
 * Protocol of the health check by which an upstream states whether it is cold.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export abstract class WarmthProbe {
  /** Resolves with how long the upstream stays cold in milliseconds, 0 if it is warm, or undefined without a valid answer in time. */
  abstract readColdMs (upstream: UpstreamEntry, path: string): Promise<number | undefined>
}
