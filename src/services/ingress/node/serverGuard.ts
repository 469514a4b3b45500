/**
 * Bounds what the clients of an HTTP server can make the process hold, where the server answers from the state of the process and
 * reads no bodies.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { hasBody } from '../../../base/node/httpParsing.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { MemoryBudget } from '../common/memoryBudget.ts'
import { CallerConnections } from './callerConnections.ts'
import { ConnectionLimiter } from './connectionLimiter.ts'

export interface ServerGuardOptions {
  readonly maxConnections?: number
  readonly clock?: IClock
  readonly log?: ILogService | undefined
  /** Name of the port in log lines. */
  readonly port?: string
}

const DEFAULT_MAX_CONNECTIONS = 64
/** Memory of requests that are parsed and not handled. */
const MAX_DROPPED_BYTES = 4 * 1024 * 1024

export class ServerGuard extends Disposable {
  private readonly _limiter: ConnectionLimiter
  private readonly _connections: CallerConnections
  private readonly _log: ILogService | undefined

  constructor (server: Server, { maxConnections = DEFAULT_MAX_CONNECTIONS, clock = new SystemClock(), log, port = '' }: ServerGuardOptions = {}) {
    super()
    this._log = log
    this._limiter = new ConnectionLimiter({
      server,
      clock,
      maxConnections,
      onDidReplace: (caller, idleMs) => log?.warn('connection_replaced', { port, caller, idle_ms: Math.round(idleMs) })
    })
    this._connections = new CallerConnections({
      server,
      memory: this._register(new MemoryBudget({ clock, maxBytes: MAX_DROPPED_BYTES })),
      // Each connection gets one answer at a time.
      isUnderPressure: () => true,
      onDidFillPipeline: caller => log?.warn('pipeline_closed', { port, caller })
    })
  }

  /** Answers a request once the earlier ones of its connection have been answered and their answers have been read. */
  async handle (request: IncomingMessage, response: ServerResponse, answer: () => void | Promise<void>): Promise<void> {
    const { socket } = request
    this._limiter.recordProgress(socket)
    const open = this._connections.accept(request, response)
    if (open === undefined) return
    // A body is not read to its end.
    if (hasBody(request)) response.shouldKeepAlive = false
    request.resume()
    if (!await open.waitForTurn()) return
    const end = waitForEnd(response)
    this._limiter.beginRequest(socket)
    try {
      await answer()
    } catch (thrown) {
      this._log?.error('internal', { reason: String(thrown) })
      response.destroy()
    }
    this._limiter.endRequest(socket)
    await end
    open.end()
  }
}

/** Resolves once the answer is written or its connection is closed. */
function waitForEnd (response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    response.once('finish', resolve)
    response.once('close', resolve)
  })
}
