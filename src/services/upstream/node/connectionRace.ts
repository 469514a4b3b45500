/**
 * Opens a connection to an upstream both directly and through a peer, and uses the one that opens first.
 */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { IClock } from '../../../base/common/clock.ts'
import type { TunnelSocket } from './tunnelSocket.ts'

/** Receives the connection, or the reason why there is none. */
export type ConnectionListener = (error: Error | null, socket?: Duplex) => void

/** A connection that is still not open after this time has failed. */
const DIAL_TIMEOUT_MS = 400

export interface ConnectionRaceOptions {
  /** Opens a direct connection; undefined if only peers are asked. */
  readonly dial: (() => Socket) | undefined
  readonly openByPeer: () => Promise<TunnelSocket | undefined>
  readonly clock: IClock
  /** The peer is asked after this time, or earlier if the direct connection fails. */
  readonly headStartMs: number
  readonly onOpen: ConnectionListener
}

export class ConnectionRace {
  private _isSettled = false
  private _hasAskedPeer = false
  private _pendingCount = 0

  constructor (private readonly _options: ConnectionRaceOptions) {}

  start (): void {
    const { dial, clock, headStartMs } = this._options
    if (dial === undefined) return this._askPeer()
    this._startDirect(dial)
    if (headStartMs === 0) this._askPeer()
    else clock.schedule(headStartMs, () => this._askPeer())
  }

  private _startDirect (dial: () => Socket): void {
    this._pendingCount++
    const socket = dial()
    const timer = this._options.clock.schedule(DIAL_TIMEOUT_MS, () => socket.destroy())
    const onClose = () => {
      timer.dispose()
      this._askPeer()
      this._end(undefined)
    }
    socket.once('close', onClose)
    socket.once('connect', () => {
      timer.dispose()
      socket.off('close', onClose)
      this._end(socket)
    })
  }

  private _askPeer (): void {
    if (this._hasAskedPeer || this._isSettled) return
    this._hasAskedPeer = true
    this._pendingCount++
    void this._options.openByPeer().then(socket => this._end(socket))
  }

  private _end (socket: Duplex | undefined): void {
    this._pendingCount--
    if (this._isSettled) {
      socket?.destroy()
    } else if (socket !== undefined) {
      this._isSettled = true
      this._options.onOpen(null, socket)
    } else if (this._pendingCount === 0) {
      this._isSettled = true
      this._options.onOpen(new Error('unreachable, also by peers'))
    }
  }
}
