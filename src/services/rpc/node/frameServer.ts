/**
 * Accepts links from the system's other processes.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'

export class FrameServer extends Disposable {
  private readonly _server: Server

  constructor (onDidAccept: (connection: FrameConnection) => void) {
    super()
    this._server = createServer(socket => {
      const connection = this._register(new FrameConnection(socket))
      connection.onDidClose(() => this._release(connection))
      onDidAccept(connection)
    })
    this._register(toDisposable(() => { this._server.close() }))
  }

  /** Resolves with the port, which is a free one where 0 was asked for. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve((this._server.address() as AddressInfo).port))
    })
  }
}
