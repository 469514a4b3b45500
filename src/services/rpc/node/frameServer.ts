/**
 * Accepts frame connections from other processes of the system.
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

  /** Resolves with the port in use. Port 0 selects a free port. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve((this._server.address() as AddressInfo).port))
    })
  }
}
