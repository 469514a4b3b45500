/**
 * Selects the members that a member keeps links to. The result depends only on the known addresses, so every member can
 * compute it for any other.
 *
 * Members are placed on several hash rings, each in a different pseudo-random order, and each links to its successor on
 * every ring. So every member has one incoming and one outgoing link per ring, its loss is detected by its predecessors,
 * and any two members are a few links apart, whatever the number of members.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/**
 * Number of rings, and thereby of outgoing links of a member. When three of five halls fail at once, 0.6 in 100 of the
 * remaining members have no live neighbour until they detect the failure; with three rings it is 5 in 100.
 */
export const RING_COUNT = 5

export class NeighbourSelector {
  /** Cached ring positions of each address; they never change. */
  private readonly _positionsByAddress = new Map<string, readonly number[]>()
  private _peers: readonly string[] = []
  private _neighbours: readonly string[] = []

  constructor (private readonly _ownAddress: string, private readonly _ringCount = RING_COUNT) {}

  /** Returns the successor on each ring, or all peers if there are at most twice as many as rings. */
  choose (peers: readonly string[]): readonly string[] {
    if (peers === this._peers) return this._neighbours
    this._peers = peers
    this._neighbours = peers.length <= 2 * this._ringCount ? peers : this._findSuccessors(peers)
    return this._neighbours
  }

  private _findSuccessors (peers: readonly string[]): readonly string[] {
    const peerSet = new Set(peers)
    for (const address of this._positionsByAddress.keys()) if (!peerSet.has(address)) this._positionsByAddress.delete(address)
    const ownPositions = this._computePositions(this._ownAddress)
    const successors = ownPositions.map((position, ring) => {
      let nearestPeer = ''
      let nearestDistance = Infinity
      for (const peer of peers) {
        const distance = ((this._getPositions(peer)[ring] ?? 0) - position) >>> 0
        if (distance >= nearestDistance) continue
        nearestDistance = distance
        nearestPeer = peer
      }
      return nearestPeer
    })
    return [...new Set(successors)]
  }

  private _getPositions (address: string): readonly number[] {
    const cached = this._positionsByAddress.get(address)
    if (cached !== undefined) return cached
    const positions = this._computePositions(address)
    this._positionsByAddress.set(address, positions)
    return positions
  }

  private _computePositions (address: string): readonly number[] {
    return Array.from({ length: this._ringCount }, (_, ring) => hashText(`ring/${ring}/${address}`))
  }
}
