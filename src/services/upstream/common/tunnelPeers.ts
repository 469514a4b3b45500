/**
 * Chooses the peers that connect to upstreams for this node. Spreads the connections over the peers that can help, as far as this
 * node knows, since each of them has little capacity to spare.
 */
import type { IRandom } from '../../../base/common/random.ts'

export interface TunnelPeer {
  /** The address at which the peer accepts tunnels. */
  readonly address: string
  readonly hall: string
}

export interface TunnelPeersOptions {
  readonly random: IRandom
  readonly listPeers: () => readonly TunnelPeer[]
}

/** At most so many peers are asked for one connection. */
export const MAX_PEERS = 4
/** A peer that failed is asked only after all others for this time. It may be partitioned itself. */
const FAILURE_MEMORY_MS = 2000

export class TunnelPeers {
  private readonly _options: TunnelPeersOptions
  private readonly _failedAt = new Map<string, number>()

  constructor (options: TunnelPeersOptions) {
    this._options = options
  }

  /** Returns the peers to ask, in order. A peer in a preferred hall adds no traffic between halls. */
  choose (preferredHalls: readonly string[], now: number): readonly TunnelPeer[] {
    this._expire(now)
    const shuffled = this._options.listPeers().map(peer => ({ peer, rank: this._computeRank(peer, preferredHalls) + this._options.random.next() }))
    return shuffled.sort((a, b) => a.rank - b.rank).slice(0, MAX_PEERS).map(({ peer }) => peer)
  }

  record ({ address }: TunnelPeer, isOpened: boolean, now: number): void {
    if (isOpened) this._failedAt.delete(address)
    else this._failedAt.set(address, now)
  }

  private _computeRank ({ address, hall }: TunnelPeer, preferredHalls: readonly string[]): number {
    if (this._failedAt.has(address)) return 2
    return preferredHalls.includes(hall) ? 0 : 1
  }

  private _expire (now: number): void {
    for (const [address, at] of this._failedAt) if (now - at >= FAILURE_MEMORY_MS) this._failedAt.delete(address)
  }
}
