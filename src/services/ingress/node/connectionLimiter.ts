/**
 * Limits the connections of an HTTP server. At the limit a new connection replaces the one that is least useful, so that a crowd of
 * connections without requests does not keep others out.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock } from '../../../base/common/clock.ts'
import { chooseConnectionToClose } from '../common/connectionReplacement.ts'
import type { ConnectionActivity } from '../common/connectionReplacement.ts'

export interface ConnectionLimiterOptions {
  readonly server: Server
  readonly clock: IClock
  readonly maxConnections: number
  /** Refuses the request whose body a connection receives, which closes the connection after the answer; false if it receives none. */
  readonly refuseUpload?: (socket: Socket) => boolean
  /** Called when a connection is closed in favour of another; `idleMs` is the time since its last progress. */
  readonly onDidReplace: (remoteAddress: string, idleMs: number) => void
}

export class ConnectionLimiter {
  private readonly _connections = new Map<Socket, LimitedConnection>()
  /** Connections without a request that runs, in the order of their last progress. */
  private readonly _unserved = new Set<LimitedConnection>()
  private readonly _served = new Set<LimitedConnection>()
  private _replacedCount = 0

  constructor (private readonly _options: ConnectionLimiterOptions) {
    _options.server.on('connection', (socket: Socket) => this._add(socket))
  }

  /** Number of connections that were closed in favour of others. */
  get replacedCount (): number {
    return this._replacedCount
  }

  /** Records that a request or a part of one was read on a connection. */
  recordProgress (socket: Socket): void {
    const connection = this._connections.get(socket)
    if (connection !== undefined) this._recordProgress(connection)
  }

  /** Keeps the connection open while a request runs. */
  beginRequest (socket: Socket): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) return
    connection.runningCount++
    this._removeFromOrder(connection)
  }

  endRequest (socket: Socket): void {
    const connection = this._connections.get(socket)
    if (connection === undefined) return
    connection.runningCount--
    this._removeFromOrder(connection)
    connection.hasServed = true
    this._recordProgress(connection)
  }

  private _add (socket: Socket): void {
    const connection = new LimitedConnection(socket, this._options.clock.now())
    if (this._connections.size >= this._options.maxConnections) this._replace(connection)
    if (socket.destroyed) return
    this._connections.set(socket, connection)
    this._unserved.add(connection)
    socket.once('close', () => {
      this._connections.delete(socket)
      this._removeFromOrder(connection)
    })
  }

  private _replace (added: LimitedConnection): void {
    const now = this._options.clock.now()
    const closed = chooseConnectionToClose({ unserved: findFirst(this._unserved), served: findFirst(this._served), now }) ?? added
    this._removeFromOrder(closed)
    this._replacedCount++
    this._options.onDidReplace(closed.socket.remoteAddress ?? '', now - closed.progressAt)
    if (this._options.refuseUpload?.(closed.socket) !== true) closed.socket.destroy()
  }

  private _recordProgress (connection: LimitedConnection): void {
    if (connection.runningCount > 0) return
    connection.progressAt = this._options.clock.now()
    const order = connection.hasServed ? this._served : this._unserved
    order.delete(connection)
    order.add(connection)
  }

  private _removeFromOrder (connection: LimitedConnection): void {
    this._unserved.delete(connection)
    this._served.delete(connection)
  }
}

class LimitedConnection implements ConnectionActivity {
  hasServed = false
  runningCount = 0

  constructor (readonly socket: Socket, public progressAt: number) {}
}

function findFirst<T> (items: ReadonlySet<T>): T | undefined {
  const [item] = items
  return item
}
