/**
 * Protocol of the check which upstream instance answers at an address. An address that accepts connections may already belong
 * to the next instance.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

export type InstanceIdentity = 'same' | 'other' | 'unknown'

export abstract class InstanceProbe {
  /** Resolves with `unknown` if nothing answers in time, or the answer does not tell. */
  abstract readIdentity (upstream: UpstreamEntry, path: string): Promise<InstanceIdentity>
}
