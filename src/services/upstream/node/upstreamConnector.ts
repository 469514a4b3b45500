/**
 * Opens connections to upstreams, directly or through a peer. The policy learns from the result of each connection how to open
 * the next ones, so no extra messages are sent while there is no partition.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { PartitionDetector } from '../common/connectionPolicy.ts'
import type { ConnectionPolicy } from '../common/connectionPolicy.ts'
import type { TunnelPeer, TunnelPeers } from '../common/tunnelPeers.ts'
import { ConnectionRace } from './connectionRace.ts'
import type { ConnectionListener } from './connectionRace.ts'
import { openFirst } from './peerQuery.ts'
import { openTunnel } from './tunnelSocket.ts'
import type { TunnelSocket, TunnelStart } from './tunnelSocket.ts'

export interface UpstreamConnectorOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly peers: TunnelPeers
  /** By default, peers are used while the node is partitioned. */
  readonly policy?: ConnectionPolicy
  /** The halls in which a peer adds no traffic between halls to a connection to this upstream. */
  readonly listHalls: (upstream: string) => readonly string[]
}

/** The options of an HTTP agent for a new connection. */
export interface ConnectionTarget {
  readonly host: string
  readonly port: number
}

/** How long a direct connection may take before a peer is asked as well. Network latency between hosts is about 1 ms. */
const DIRECT_HEAD_START_MS = 20
/** A connection that is closed earlier does not count as failed, because its request may have been cancelled. */
const MIN_SILENCE_MS = 300
const TUNNEL_TIMEOUT_MS = 400

export class UpstreamConnector extends Disposable {
  private readonly _options: UpstreamConnectorOptions
  private readonly _policy: ConnectionPolicy
  private readonly _onDidPartition = this._register(new Emitter<number>())
  /** Fired when the node turns out to be partitioned, with the time since which it has been. */
  readonly onDidPartition = this._onDidPartition.event
  private _tunnelCount = 0

  constructor (options: UpstreamConnectorOptions) {
    super()
    this._options = options
    this._policy = options.policy ?? new PartitionDetector()
  }

  /** Tunnels that peers have opened for this node since the process start. */
  get tunnelCount (): number {
    return this._tunnelCount
  }

  get isPartitioned (): boolean {
    return this._policy.partitionedSince !== undefined
  }

  /** Whether connections may fail because of a partition, and not because of the upstreams. */
  get isSuspect (): boolean {
    return this._policy.getMode(this._options.clock.now()) !== 'direct'
  }

  /** Opens a connection. A direct one is returned at once, while it is connecting; any other is passed to the listener. */
  open (target: ConnectionTarget, onOpen: ConnectionListener): Socket | undefined {
    const { clock } = this._options
    const mode = this._policy.getMode(clock.now())
    if (mode === 'direct') return this.dial(target)
    const hasTrial = mode === 'fallback' || this._policy.tryAcquireTrial(clock.now())
    new ConnectionRace({
      dial: hasTrial ? () => this.dial(target) : undefined,
      openByPeer: () => this.openByPeer(formatTarget(target)),
      clock,
      headStartMs: mode === 'fallback' ? DIRECT_HEAD_START_MS : 0,
      onOpen
    }).start()
    return undefined
  }

  /** Opens a direct connection and observes whether it opens. */
  dial (target: ConnectionTarget): Socket {
    const { clock } = this._options
    const upstream = formatTarget(target)
    const startedAt = clock.now()
    const socket = connect(target)
    let isOpened = false
    let hasFailed = false
    socket.on('error', error => { hasFailed ||= (error as NodeJS.ErrnoException).syscall === 'connect' })
    socket.once('connect', () => {
      isOpened = true
      this.recordDirect(upstream, true)
    })
    socket.once('close', () => { if (!isOpened && (hasFailed || clock.now() - startedAt >= MIN_SILENCE_MS)) this.recordDirect(upstream, false) })
    return socket
  }

  dialAddress (upstream: string): Socket {
    const { host, port } = parseAddress(upstream) ?? { host: '', port: 0 }
    return this.dial({ host, port })
  }

  /** Records what a probe or a connection of this node found. */
  recordDirect (upstream: string, isOpened: boolean): void {
    this._record(upstream, () => this._policy.recordDirect(upstream, isOpened, this._options.clock.now()))
  }

  /** Whether a peer reaches an upstream. */
  async probeByPeer (upstream: string): Promise<boolean> {
    const socket = await this.openByPeer(upstream)
    socket?.destroy()
    return socket !== undefined
  }

  /** Asks one peer after the other; resolves with the first connection, or with undefined if none was opened. */
  async openByPeer (upstream: string): Promise<TunnelSocket | undefined> {
    const { clock, log, peers, listHalls } = this._options
    const startedAt = clock.now()
    const candidates = peers.choose(listHalls(upstream), startedAt)
    const refusals: string[] = []
    const opened = await openFirst({
      clock,
      candidates,
      open: peer => openTunnel({ peer: peer.address, upstream, timeoutMs: TUNNEL_TIMEOUT_MS }),
      onDidAnswer: (peer, start) => {
        this._recordPeer(upstream, peer, start)
        if (start.kind !== 'opened') refusals.push(`${peer.address} ${start.reason}`)
      }
    })
    log.info(opened === undefined ? 'tunnel_failed' : 'tunnel_opened', { upstream, peer: opened?.peer.address ?? '', refusals: refusals.join(), took_ms: Math.round(clock.now() - startedAt) })
    return opened?.socket
  }

  private _recordPeer (upstream: string, peer: TunnelPeer, start: TunnelStart): void {
    const now = this._options.clock.now()
    this._options.peers.record(peer, start.kind === 'opened', now)
    if (start.kind === 'opened') this._tunnelCount++
    if (start.kind === 'opened') this._record(upstream, () => this._policy.recordPeerResult(upstream, 'opened', now))
    // Any other refusal is about the peer, and not about the upstream.
    else if (start.kind === 'refused' && start.reason === 'unreachable') this._record(upstream, () => this._policy.recordPeerResult(upstream, 'unreachable', now))
  }

  /** Applies an observation to the policy; logs and announces a partition that begins or ends with it. */
  private _record (upstream: string, record: () => void): void {
    const { clock, log } = this._options
    const before = this._policy.partitionedSince
    record()
    const since = this._policy.partitionedSince
    if (since === before) return
    if (since === undefined) {
      log.warn('partition_ended', { upstream, lasted_ms: Math.round(clock.now() - (before ?? 0)) })
    } else {
      log.warn('partition_detected', { upstream, since_ms: Math.round(clock.now() - since) })
      this._onDidPartition.fire(since)
    }
  }
}

function formatTarget ({ host, port }: ConnectionTarget): string {
  return `${host}:${port}`
}
