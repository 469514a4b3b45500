/**
 * TCP relays in front of the processes of a fleet. They determine the hall of a connection from its source IP address, add
 * the round-trip time between halls, and simulate network partitions between halls.
 */
import { createServer, connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from '../base/common/address.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import type { RelayPlan } from './fleetPlan.ts'

export interface RelaySetOptions {
  readonly relays: readonly RelayPlan[]
  /** Hall by IP address. Connections from other addresses are regarded as coming from callers. */
  readonly halls: ReadonlyMap<string, string>
  readonly hallRttMs: number
  readonly clientRttMs: number
}

/** Shorter delays are below the resolution of timers and are not simulated. */
const MIN_DELAY_MS = 1
const CALLERS = 'callers'

export class RelaySet extends Disposable {
  private readonly _options: RelaySetOptions
  private readonly _disconnectedHalls = new Set<string>()
  private readonly _connections = new Set<RelayedConnection>()

  constructor (options: RelaySetOptions) {
    super()
    this._options = options
  }

  async start (): Promise<void> {
    await Promise.all(this._options.relays.map(relay => this._listen(relay)))
  }

  /** Partitions a hall from all other halls. Callers can still reach it. */
  disconnect (hall: string): void {
    this._disconnectedHalls.add(hall)
    for (const connection of this._connections) connection.setBlocked(this._isBlocked(connection.sourceHall, connection.targetHall))
  }

  reconnect (hall: string): void {
    this._disconnectedHalls.delete(hall)
    for (const connection of this._connections) connection.setBlocked(this._isBlocked(connection.sourceHall, connection.targetHall))
  }

  private _isBlocked (sourceHall: string, targetHall: string): boolean {
    if (sourceHall === targetHall || sourceHall === CALLERS) return false
    return this._disconnectedHalls.has(sourceHall) || this._disconnectedHalls.has(targetHall)
  }

  private _listen (relay: RelayPlan): Promise<void> {
    const address = parseAddress(relay.address)
    const server = createServer(socket => this._accept(relay, socket))
    this._register(toDisposable(() => { server.close() }))
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(address?.port, address?.host, resolve)
    })
  }

  private _accept (relay: RelayPlan, socket: Socket): void {
    const sourceHall = this._options.halls.get(socket.remoteAddress ?? '') ?? CALLERS
    // A new connection across a partition is reset. A connection that was open before stalls until the hall is reconnected.
    if (this._isBlocked(sourceHall, relay.hall)) {
      socket.resetAndDestroy()
      return
    }
    const rttMs = sourceHall === CALLERS ? this._options.clientRttMs : sourceHall === relay.hall ? 0 : this._options.hallRttMs
    const target = parseAddress(relay.target)
    const connection = this._register(new RelayedConnection(sourceHall, relay.hall, socket, connect({ host: target?.host, port: target?.port ?? 0 }), rttMs / 2))
    this._connections.add(connection)
    socket.once('close', () => {
      this._connections.delete(connection)
      this._release(connection)
    })
  }
}

class RelayedConnection {
  constructor (readonly sourceHall: string, readonly targetHall: string, private readonly _clientSocket: Socket, private readonly _targetSocket: Socket, delayMs: number) {
    for (const socket of [_clientSocket, _targetSocket]) {
      socket.setNoDelay(true)
      socket.on('error', () => this.dispose())
      socket.on('close', () => this.dispose())
    }
    forward(_clientSocket, _targetSocket, delayMs)
    forward(_targetSocket, _clientSocket, delayMs)
  }

  /** Pauses the connection while its halls are partitioned from each other. */
  setBlocked (isBlocked: boolean): void {
    for (const socket of [this._clientSocket, this._targetSocket]) {
      if (isBlocked) socket.pause()
      else socket.resume()
    }
  }

  dispose (): void {
    this._clientSocket.destroy()
    this._targetSocket.destroy()
  }
}

function forward (source: Socket, target: Socket, delayMs: number): void {
  const send = (data: Buffer) => { if (!target.destroyed) target.write(data) }
  source.on('data', data => {
    if (delayMs < MIN_DELAY_MS) send(data)
    else setTimeout(send, delayMs, data)
  })
  source.on('end', () => {
    if (delayMs < MIN_DELAY_MS) target.end()
    else setTimeout(() => target.end(), delayMs)
  })
}
