/**
 * Records which ranks of jobs a role had no capacity for, so that none is reserved for less urgent ones.
 */

/** Under contention, callers of each rank are refused several times a second. */
const SCARCE_FOR_MS = 1000

export class ScarceRoles {
  /** By role and rank, the last time at which a job got no time of return because of the role. */
  private readonly _scarceAt = new Map<string, Map<number, number>>()

  record (role: string, rank: number, now: number): void {
    const byRank = this._scarceAt.get(role) ?? new Map<number, number>()
    this._scarceAt.set(role, byRank.set(rank, now))
  }

  /** Whether the role lately had no capacity for a more urgent rank. */
  isScarce (role: string, rank: number, now: number): boolean {
    for (const [otherRank, at] of this._scarceAt.get(role) ?? []) if (otherRank < rank && now - at < SCARCE_FOR_MS) return true
    return false
  }
}
