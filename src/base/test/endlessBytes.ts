/**
 * Test helpers: connections that send bytes without end, as fast as they are read.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/disposable.ts'
import { waitFor } from '../node/interval.ts'

/** Parts that are sent before the event loop gets a turn, since both ends of a test share it. */
const PARTS_PER_TURN = 64

export interface MeasuredLoad {
  /** How much the memory of this process grew. */
  readonly grownBytes: number
  /** The longest time for which the event loop did not get to a timer. */
  readonly blockedMs: number
}

/** Measures this process until a promise is resolved. */
export async function measureLoad (run: Promise<unknown>): Promise<MeasuredLoad> {
  const startBytes = process.memoryUsage.rss()
  let [maxBytes, blockedMs, turnAt] = [startBytes, 0, performance.now()]
  const end = run.then(() => true)
  while (!await Promise.race([end, waitFor(5)])) {
    blockedMs = Math.max(blockedMs, performance.now() - turnAt)
    maxBytes = Math.max(maxBytes, process.memoryUsage.rss())
    turnAt = performance.now()
  }
  return { grownBytes: maxBytes - startBytes, blockedMs }
}

/** Sends a part again and again until the connection is closed. */
export function sendEndlessly (socket: Socket, part: string, partsPerTurn = PARTS_PER_TURN): void {
  const send = () => {
    for (let count = 0; count < partsPerTurn; count++) if (socket.destroyed || !socket.write(part)) return
    setImmediate(send)
  }
  socket.on('drain', send)
  send()
}

/** Lists the chunks of an answer's body. */
export function listChunks (answer: string): readonly string[] {
  const chunks: string[] = []
  for (let rest = answer.slice(answer.indexOf('\r\n\r\n') + 4); parseInt(rest, 16) > 0;) {
    const start = rest.indexOf('\r\n') + 2
    const end = start + parseInt(rest, 16)
    chunks.push(rest.slice(start, end))
    rest = rest.slice(end + 2)
  }
  return chunks
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
