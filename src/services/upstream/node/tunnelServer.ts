/**
 * Connects to upstreams for peers that are partitioned from them. It passes bytes on and nothing else: the request, its deadline
 * and its retries stay with the peer. It connects directly only, so a connection has one tunnel at most.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import { resetSocket } from '../../../base/node/resetSocket.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { watchConnectionEnd } from './connectionEnd.ts'
import { TUNNEL_PATH } from './tunnelSocket.ts'

/** Why a tunnel is refused. Sent as the status message; only `unreachable` says something of the upstream. */
export type TunnelRefusal = 'unknown' | 'full' | 'draining' | 'partitioned' | 'backingOff' | 'unreachable'

export interface TunnelServerOptions {
  readonly log: ILogService
  /** Opens a direct connection; the socket may still be connecting. */
  readonly dial: (upstream: string) => Socket
  /** Why no connection is opened to this address now; undefined if one may be. */
  readonly findObstacle: (upstream: string) => TunnelRefusal | undefined
  readonly maxTunnels?: number
}

/** Shorter than the time for which the peer waits for a connection. */
const DIAL_TIMEOUT_MS = 300
/** A connection without a byte in either direction for this time is closed: the peer may have lost its power. */
const IDLE_TIMEOUT_MS = 60_000
const KEEP_ALIVE_MS = 1000
/** Higher than the maximum number of tunnels, so that a further request is answered with the reason of its refusal. */
const MAX_CONNECTIONS = 512
const OK = 200
const UNAVAILABLE = 503

export class TunnelServer extends Disposable {
  private readonly _options: TunnelServerOptions
  private readonly _tunnels = new Set<Socket>()
  private _isDraining = false

  constructor (options: TunnelServerOptions) {
    super()
    this._options = options
  }

  /** Number of tunnels that are open or about to be. */
  get openCount (): number {
    return this._tunnels.size
  }

  /** Resolves with the bound port; the system chooses a free one if `port` is 0. */
  listen (host: string, port: number): Promise<number> {
    const server = createServer(STRICT_PARSING, (request, response) => this._accept(request, response))
    // The body of a tunnel ends with the connection that it carries.
    server.requestTimeout = 0
    server.maxConnections = MAX_CONNECTIONS
    server.on('connection', socket => socket.setKeepAlive(true, KEEP_ALIVE_MS))
    this._register(toDisposable(() => {
      server.close()
      server.closeAllConnections()
    }))
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => resolve((server.address() as AddressInfo).port))
    })
  }

  /** Refuses further tunnels. Those that are open carry requests of peers. */
  drain (): void {
    this._isDraining = true
  }

  private _accept (request: IncomingMessage, response: ServerResponse): void {
    const { url = '' } = request
    const upstream = url.startsWith(TUNNEL_PATH) ? url.slice(TUNNEL_PATH.length) : ''
    const obstacle = this._findObstacle(upstream)
    if (obstacle === undefined) this._open(upstream, request, response)
    else this._refuse(upstream, obstacle, response)
  }

  private _findObstacle (upstream: string): TunnelRefusal | undefined {
    const { maxTunnels = 256, findObstacle } = this._options
    if (this._isDraining) return 'draining'
    return this._tunnels.size >= maxTunnels ? 'full' : findObstacle(upstream)
  }

  private _refuse (upstream: string, reason: TunnelRefusal, response: ServerResponse): void {
    this._options.log.info('tunnel_refused', { upstream, peer: response.socket?.remoteAddress ?? '', reason })
    if (!response.destroyed) response.writeHead(UNAVAILABLE, reason, { connection: 'close' }).end()
  }

  private _open (upstream: string, request: IncomingMessage, response: ServerResponse): void {
    const socket = this._options.dial(upstream)
    let isOpened = false
    this._tunnels.add(socket)
    const release = this._register(toDisposable(() => socket.destroy()))
    const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS)
    socket.once('connect', () => {
      isOpened = true
      clearTimeout(timer)
      this._join(socket, request, response)
    })
    socket.once('close', () => {
      clearTimeout(timer)
      this._tunnels.delete(socket)
      this._release(release)
      if (!isOpened) this._refuse(upstream, 'unreachable', response)
    })
    // The peer has left, or its process has ended.
    response.once('close', () => resetSocket(socket))
  }

  private _join (socket: Socket, request: IncomingMessage, response: ServerResponse): void {
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy())
    request.on('error', () => resetSocket(socket))
    response.writeHead(OK, { 'content-type': 'application/octet-stream' })
    response.flushHeaders()
    request.pipe(socket)
    socket.pipe(response, { end: false })
    void watchConnectionEnd(socket).then(end => {
      if (end === 'closed') {
        response.end()
        socket.end()
      } else {
        // A reset of the upstream must not appear as an orderly end.
        response.destroy()
      }
    })
  }
}
