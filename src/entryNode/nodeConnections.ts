/**
 * Connects a node to upstreams, through peers while the node is partitioned from them, and relays connections of its peers.
 */
import { parseAddress } from '../base/common/address.ts'
import type { IClock } from '../base/common/clock.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import type { IRandom } from '../base/common/random.ts'
import type { IBackoffService } from '../services/backoff/common/backoff.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { Member } from '../services/membership/common/membershipTable.ts'
import { probeUpstream } from '../services/quarantine/node/upstreamProbe.ts'
import type { ProbeResult } from '../services/quarantine/node/upstreamProbe.ts'
import { TunnelPeers } from '../services/upstream/common/tunnelPeers.ts'
import type { TunnelPeer } from '../services/upstream/common/tunnelPeers.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import { TunnelServer } from '../services/upstream/node/tunnelServer.ts'
import type { TunnelRefusal } from '../services/upstream/node/tunnelServer.ts'
import { UpstreamAgent } from '../services/upstream/node/upstreamAgent.ts'
import { UpstreamConnector } from '../services/upstream/node/upstreamConnector.ts'
import type { NodeSettings } from './nodeSettings.ts'

export interface NodeConnectionsOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly random: IRandom
  readonly registry: UpstreamRegistry
  /** Without a tunnel port, this node neither opens nor accepts tunnels. */
  readonly settings: Pick<NodeSettings, 'address' | 'hall' | 'tunnel_port'>
  readonly listMembers: () => readonly Member[]
  readonly getBackoffs: () => Pick<IBackoffService, 'getWaitMs'>
}

export class NodeConnections extends Disposable {
  private readonly _options: NodeConnectionsOptions
  private readonly _server: TunnelServer
  readonly connector: UpstreamConnector

  constructor (options: NodeConnectionsOptions) {
    super()
    this._options = options
    const { clock, log, random, settings: { hall } } = options
    const peers = new TunnelPeers({ random, listPeers: () => this._listPeers() })
    this.connector = this._register(new UpstreamConnector({ clock, log, peers, listHalls: upstream => [hall, this._findEntry(upstream)?.hall ?? hall] }))
    this._server = this._register(new TunnelServer({ log, dial: upstream => this.connector.dialAddress(upstream), findObstacle: upstream => this._findObstacle(upstream) }))
  }

  /** Number of connections that this node carries for its peers. */
  get relayedCount (): number {
    return this._server.openCount
  }

  createAgent (): UpstreamAgent {
    const { clock } = this._options
    const agent = new UpstreamAgent(this.connector, () => clock.now())
    this._register(toDisposable(() => agent.destroy()))
    return agent
  }

  async listen (host: string): Promise<void> {
    const { tunnel_port: tunnelPort } = this._options.settings
    if (tunnelPort !== undefined) await this._server.listen(host, tunnelPort)
  }

  /** Refuses further connections of peers; those that are open may be completed. */
  drain (): void {
    this._server.drain()
  }

  /** Probes an upstream to which a connection was lost. That this node does not reach it counts only if no peer does. */
  async probe (address: string): Promise<ProbeResult> {
    const result = await probeUpstream(address)
    if (result === 'accepted') this.connector.recordDirect(address, true)
    if (result === 'refused') this.connector.recordDirect(address, false)
    else if (result === 'accepted' || !this.connector.isSuspect) return result
    return await this.connector.probeByPeer(address) ? 'accepted' : result
  }

  private _listPeers (): readonly TunnelPeer[] {
    const { settings: { address: own, tunnel_port: tunnelPort }, listMembers } = this._options
    if (tunnelPort === undefined) return []
    return listMembers().filter(({ address }) => address !== own).map(({ address, hall }) => ({ address: `${parseAddress(address)?.host ?? ''}:${tunnelPort}`, hall }))
  }

  private _findEntry (upstream: string): UpstreamEntry | undefined {
    return this._options.registry.list().find(({ address }) => address === upstream)
  }

  private _findObstacle (upstream: string): TunnelRefusal | undefined {
    const entry = this._findEntry(upstream)
    if (entry === undefined) return 'unknown'
    if (this.connector.isPartitioned) return 'partitioned'
    // The connection comes from this host, so what the upstream asked of this host applies.
    return this._options.getBackoffs().getWaitMs(entry.id) > 0 ? 'backingOff' : undefined
  }
}
