/**
 * Offsets of the monotonic clocks of peers from the clock of this process. An offset stays constant as long as neither
 * machine is suspended, even if the time of day is set.
 */

export class PeerClocks {
  private readonly _offsetsMs = new Map<string, number>()

  /** Returns by how many ms a peer's clock has gained on this one since the previous call for the peer; 0 for the first call. */
  compare (peer: string, peerAt: number, now: number): number {
    const offsetMs = peerAt - now
    const gainMs = offsetMs - (this._offsetsMs.get(peer) ?? offsetMs)
    this._offsetsMs.set(peer, offsetMs)
    return gainMs
  }

  /** To be called when a peer is gone: if it comes back, it is another process with another clock. */
  forget (peer: string): void {
    this._offsetsMs.delete(peer)
  }
}
