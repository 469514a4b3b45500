/**
 * Estimates when a request arrived. The event loop may read it later, and its caller counts from the time of sending.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock } from '../../../base/common/clock.ts'
import type { LoopDelay } from '../../../base/node/loopDelay.ts'

export interface RequestArrivalsOptions {
  readonly server: Server
  readonly clock: IClock
  readonly loopDelay?: Pick<LoopDelay, 'delayMs'> | undefined
}

/** All times are on the process's clock, in milliseconds. */
interface OpenedConnection {
  readonly acceptedAt: number
  /** The earliest time at which its caller may have opened it. */
  readonly openedAt: number
}

/** A request that is read this soon after its connection, the delay of the event loop aside, was most likely sent with it. */
const MAX_READ_MS = 20

export class RequestArrivals {
  private readonly _options: RequestArrivalsOptions
  /** Connections without a request. */
  private readonly _opened = new WeakMap<Socket, OpenedConnection>()

  constructor (options: RequestArrivalsOptions) {
    this._options = options
    options.server.on('connection', (socket: Socket) => {
      const acceptedAt = options.clock.now()
      this._opened.set(socket, { acceptedAt, openedAt: acceptedAt - this._delayMs })
    })
  }

  /** Returns the earliest time at which a request that has just been read may have arrived, on the process's clock. */
  estimateArrival (socket: Socket): number {
    const readAt = this._options.clock.now() - this._delayMs
    const opened = this._opened.get(socket)
    this._opened.delete(socket)
    return opened !== undefined && readAt - opened.acceptedAt <= MAX_READ_MS ? Math.min(opened.openedAt, readAt) : readAt
  }

  private get _delayMs (): number {
    return this._options.loopDelay?.delayMs ?? 0
  }
}
