/**
 * Protocol of the check that identifies the upstream instance at an address. After a crash the next instance may accept
 * connections there.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export type InstanceIdentity = 'same' | 'other' | 'unknown'

export abstract class InstanceProbe {
  /** Resolves with `unknown` if nothing answers in time, or the answer does not tell. */
  abstract readIdentity (upstream: UpstreamEntry, path: string): Promise<InstanceIdentity>
}
