/**
 * Coordinators that this node leaves out of its choice for a while, because they did not answer or moved their jobs away.
 */
import type { CoordinatorCandidate } from './coordinatorChoice.ts'

interface UnreachableCoordinator {
  /** The latest process at the address to which this applies. */
  readonly incarnation: number
  /** In milliseconds on this process's clock. */
  readonly until: number
}

/** How long a coordinator that could not be reached, or that moved its jobs away, is not chosen. */
export const COORDINATOR_BACKOFF_MS = 1500

/**
 * A backoff applies to one process, not to its address: a host that lost power is back before the backoff ends, and nodes
 * that lost it at different times would otherwise return to it at different times and use different coordinators until then.
 */
export class UnreachableCoordinators {
  private readonly _byAddress = new Map<string, UnreachableCoordinator>()

  record (address: string, incarnation: number, now: number): void {
    this._byAddress.set(address, { incarnation, until: now + COORDINATOR_BACKOFF_MS })
  }

  has ({ address, incarnation }: CoordinatorCandidate, now: number): boolean {
    const unreachable = this._byAddress.get(address)
    return unreachable !== undefined && unreachable.until > now && incarnation <= unreachable.incarnation
  }
}
