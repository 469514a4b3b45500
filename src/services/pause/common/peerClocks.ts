/**
 * How far the clocks of peers are ahead of this process's. The difference stays the same for as long as neither machine
 * is suspended, whatever anybody does to the time of day.
 */

export class PeerClocks {
  private readonly _aheadMs = new Map<string, number>()

  /** Takes in a peer's clock; resolves to how much further ahead it is than at the last time, 0 at the first. */
  compare (peer: string, peerAt: number, now: number): number {
    const aheadMs = peerAt - now
    const gainMs = aheadMs - (this._aheadMs.get(peer) ?? aheadMs)
    this._aheadMs.set(peer, aheadMs)
    return gainMs
  }

  /** A peer that is gone is another process when it comes back. */
  forget (peer: string): void {
    this._aheadMs.delete(peer)
  }
}
