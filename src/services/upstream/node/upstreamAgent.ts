/**
 * An HTTP agent whose connections to upstreams are opened directly or through a peer.
 */
import type { AgentOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { CallAgent } from './callAgent.ts'
import type { ConnectionListener } from './connectionRace.ts'
import { TunnelSocket } from './tunnelSocket.ts'
import type { ConnectionTarget, UpstreamConnector } from './upstreamConnector.ts'

/** Idle connections are closed after this time, because the upstream may close them at any moment from then on. */
const IDLE_TIMEOUT_MS = 3000

/** Settings that all connections to upstreams share. */
export const UPSTREAM_AGENT_OPTIONS: AgentOptions = { keepAlive: true, timeout: IDLE_TIMEOUT_MS, scheduling: 'lifo' }

export class UpstreamAgent extends CallAgent {
  private readonly _becameIdleAt = new WeakMap<object, number>()

  constructor (private readonly _connector: UpstreamConnector, now: () => number) {
    super(UPSTREAM_AGENT_OPTIONS)
    this.on('free', (socket: object) => this._becameIdleAt.set(socket, now()))
    _connector.onDidPartition(since => this._closeIdleSince(since))
  }

  /** Called by Node.js for each new connection. */
  override createConnection (target: ConnectionTarget, onOpen: ConnectionListener): Socket | undefined {
    return this._connector.open(target, onOpen)
  }

  /** Called by Node.js. A tunnel serves one request, so that the peer decides anew about each. */
  override keepSocketAlive (socket: Duplex): boolean {
    return !(socket instanceof TunnelSocket) && super.keepSocketAlive(socket)
  }

  /** Idle connections that have not been used during a partition may be silent; those that have been used are kept. */
  private _closeIdleSince (since: number): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of [...sockets ?? []]) if ((this._becameIdleAt.get(socket) ?? -Infinity) < since) socket.destroy()
    }
  }
}
