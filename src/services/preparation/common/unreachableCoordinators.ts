/**
 * Coordinators that this node leaves out of its choice for a while: for all halls because they did not answer, or for one hall
 * because they moved its jobs away.
 */
import type { CoordinatorCandidate } from './coordinatorChoice.ts'

interface Backoff {
  /** The latest process at the address to which this applies. */
  readonly incarnation: number
  /** In milliseconds on this process's clock. */
  readonly until: number
}

/** How long a coordinator that could not be reached, or that moved a hall's jobs away, is not chosen. */
export const COORDINATOR_BACKOFF_MS = 1500

/**
 * A backoff applies to one process, not to its address: a host that lost power is back before the backoff ends, and nodes
 * that lost it at different times would otherwise return to it at different times and use different coordinators until then.
 */
export class UnreachableCoordinators {
  private readonly _unreachable = new Map<string, Backoff>()
  private readonly _movedByHall = new Map<string, Map<string, Backoff>>()

  recordUnreachable (address: string, incarnation: number, now: number): void {
    this._unreachable.set(address, { incarnation, until: now + COORDINATOR_BACKOFF_MS })
  }

  /** The coordinator left the plan of one hall to another one; it may well be right for other halls. */
  recordMoved (address: string, incarnation: number, hall: string, now: number): void {
    const moved = this._movedByHall.get(hall) ?? new Map<string, Backoff>()
    moved.set(address, { incarnation, until: now + COORDINATOR_BACKOFF_MS })
    this._movedByHall.set(hall, moved)
  }

  has (candidate: CoordinatorCandidate, hall: string, now: number): boolean {
    const { address } = candidate
    return isInForce(this._unreachable.get(address), candidate, now) || isInForce(this._movedByHall.get(hall)?.get(address), candidate, now)
  }
}

function isInForce (backoff: Backoff | undefined, { incarnation }: CoordinatorCandidate, now: number): boolean {
  return backoff !== undefined && backoff.until > now && incarnation <= backoff.incarnation
}
