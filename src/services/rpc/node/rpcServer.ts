/**
 * Serves the services of the protobuf schema to callers and operators over HTTP/1.1.
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'

/** Size limit of a request; large enough for an input and a checkpoint of their maximum sizes. */
const MAX_REQUEST_BYTES = 2 * 1024 * 1024
const KEEP_ALIVE_MS = 60_000

export class RpcServer extends Disposable {
  private readonly _server: Server

  constructor (routes: (router: ConnectRouter) => void) {
    super()
    const handle = connectNodeAdapter({ routes, readMaxBytes: MAX_REQUEST_BYTES })
    this._server = createServer({ ...STRICT_PARSING, keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true }, handle)
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
  }

  /** Resolves with the port in use. Port 0 selects a free port. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve((this._server.address() as AddressInfo).port))
    })
  }
}
