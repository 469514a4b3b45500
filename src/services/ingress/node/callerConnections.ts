/**
 * The connections of an HTTP server with the requests that were read on them. A connection on which many requests arrive ahead of
 * their answers is answered as far as it was read and then closes.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { MemoryBudget, MemoryLease } from '../common/memoryBudget.ts'
import { isPipelineFull, mayStartRequest } from '../common/pipelining.ts'

export interface CallerConnectionsOptions {
  readonly server: Server
  readonly memory: MemoryBudget
  /** Whether requests use a large part of what the process can bear. */
  readonly isUnderPressure: () => boolean
  /** Called when a connection will close since too many requests arrived ahead of their answers. */
  readonly onDidFillPipeline: (remoteAddress: string) => void
}

/** Approximate memory of a request that was parsed, besides its head and its body. */
export const REQUEST_BYTES = 8 * 1024

/** A request that was read on a connection and is not answered. */
export interface OpenRequest {
  /** Resolves with true once the request may be handled, and with false if its connection closed first. */
  readonly waitForTurn: () => Promise<boolean>
  /** Lets the next request of the connection be handled. */
  readonly end: () => void
}

export class CallerConnections {
  private readonly _connections = new Map<Socket, CallerConnection>()
  private _activeCount = 0

  constructor (options: CallerConnectionsOptions) {
    options.server.on('connection', (socket: Socket) => {
      const connection = new CallerConnection(socket, { ...options, recordActive: change => { this._activeCount += change } })
      this._connections.set(socket, connection)
      socket.once('close', () => {
        this._connections.delete(socket)
        connection.dispose()
      })
    })
  }

  /** Number of requests that are being handled. */
  get activeCount (): number {
    return this._activeCount
  }

  /** Returns undefined if the connection reads no further request; this one is never handled. */
  accept (request: IncomingMessage, response: ServerResponse): OpenRequest | undefined {
    return this._connections.get(request.socket)?.accept(response)
  }
}

interface CallerConnectionOptions extends CallerConnectionsOptions {
  readonly recordActive: (change: number) => void
}

class CallerConnection implements IDisposable {
  private _openCount = 0
  private _activeCount = 0
  private _isOverrun = false
  /** What the requests hold that were parsed and are never handled. */
  private _droppedRequests: MemoryLease | undefined
  private _lastResponse: ServerResponse | undefined
  private _waiting: ((isOpen: boolean) => void)[] = []

  constructor (private readonly _socket: Socket, private readonly _options: CallerConnectionOptions) {}

  accept (response: ServerResponse): OpenRequest | undefined {
    if (this._isOverrun || isPipelineFull({ openCount: this._openCount })) {
      this._dropRequest()
      return undefined
    }
    this._openCount++
    this._lastResponse = response
    response.once('finish', () => this._handleFinish())
    let hasTurn = false
    return {
      waitForTurn: async () => {
        hasTurn = await this._waitForTurn()
        return hasTurn
      },
      end: () => { if (hasTurn) this._endRequest() }
    }
  }

  /** The connection has closed: no waiting request will be handled. */
  dispose (): void {
    this._droppedRequests?.dispose()
    for (const wake of this._waiting.splice(0)) wake(false)
  }

  private _waitForTurn (): Promise<boolean> {
    if (this._waiting.length === 0 && this._mayStart()) {
      this._recordActive(1)
      return Promise.resolve(true)
    }
    return new Promise(resolve => { this._waiting.push(resolve) })
  }

  private _endRequest (): void {
    this._recordActive(-1)
    while (this._waiting.length > 0 && this._mayStart()) {
      this._recordActive(1)
      this._waiting.shift()?.(true)
    }
  }

  private _recordActive (change: number): void {
    this._activeCount += change
    this._options.recordActive(change)
  }

  private _mayStart (): boolean {
    return mayStartRequest({ activeCount: this._activeCount, isUnderPressure: this._options.isUnderPressure() })
  }

  /** What has been read from the system in one piece is parsed to its end, so more than one request may be dropped. */
  private _dropRequest (): void {
    if (!this._isOverrun) this._stopReading()
    this._droppedRequests ??= this._openLease()
    if (!this._droppedRequests.reserve(REQUEST_BYTES)) this._socket.destroy()
  }

  private _openLease (): MemoryLease {
    const lease = this._options.memory.open('')
    lease.setEviction(() => this._socket.destroy())
    return lease
  }

  private _stopReading (): void {
    this._isOverrun = true
    if (this._lastResponse?.headersSent === false) this._lastResponse.shouldKeepAlive = false
    // The HTTP server resumes the connection whenever a body is read.
    this._socket.on('resume', () => this._socket.pause())
    this._socket.pause()
    this._options.onDidFillPipeline(this._socket.remoteAddress ?? '')
  }

  private _handleFinish (): void {
    this._openCount--
    if (this._isOverrun && this._openCount === 0) this._socket.destroySoon()
  }
}
