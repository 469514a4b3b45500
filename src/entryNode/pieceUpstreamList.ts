/**
 * The upstreams that compute pieces. Looked up for every request, so the same array is returned until one of them changes.
 */
import type { RelayTable } from '../services/relay/common/relayTable.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'

export class PieceUpstreamList {
  private _listedByRole: readonly (readonly UpstreamEntry[])[] = []
  private _upstreams: readonly UpstreamEntry[] = []

  constructor (private readonly _registry: UpstreamRegistry, private readonly _getTable: () => RelayTable | undefined) {}

  list (): readonly UpstreamEntry[] {
    const listedByRole = (this._getTable()?.listPieceRoles() ?? []).map(role => this._registry.listAvailable(role.name))
    // The registry returns the same array for a role until an upstream of it changes.
    if (listedByRole.length === this._listedByRole.length && listedByRole.every((listed, index) => listed === this._listedByRole[index])) return this._upstreams
    this._listedByRole = listedByRole
    this._upstreams = listedByRole.flat()
    return this._upstreams
  }
}
