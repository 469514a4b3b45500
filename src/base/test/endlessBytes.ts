/**
 * Test helpers: connections that send bytes without end, as fast as they are read.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/disposable.ts'

/** Parts that are sent before the event loop gets a turn, since both ends of a test share it. */
const PARTS_PER_TURN = 64

/** Sends a part again and again until the connection is closed. */
export function sendEndlessly (socket: Socket, part: string): void {
  const send = () => {
    for (let count = 0; count < PARTS_PER_TURN; count++) if (socket.destroyed || !socket.write(part)) return
    setImmediate(send)
  }
  socket.on('drain', send)
  send()
}

/** Answers whatever it receives with a beginning and then a part without end. */
export class EndlessServer extends Disposable {
  private readonly _sockets: Socket[] = []

  constructor (private readonly _beginning: string, private readonly _part: string) {
    super()
  }

  get sentBytes (): number {
    return this._sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0)
  }

  get openCount (): number {
    return this._sockets.filter(({ destroyed }) => !destroyed).length
  }

  /** Resolves with the address. */
  listen (): Promise<string> {
    const server = createServer(socket => {
      this._sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(this._beginning)
        sendEndlessly(socket, this._part)
      })
      this._register(toDisposable(() => { socket.destroy() }))
    })
    this._register(toDisposable(() => { server.close() }))
    return new Promise(resolve => { server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`)) })
  }
}
