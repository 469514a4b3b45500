/**
 * An HTTP/1.1 exchange with an upstream that keeps track of whether any byte of the request was written.
 */
import { request } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import { resetSocket } from '../../../base/node/resetSocket.ts'
import { findAnswerFraming } from '../common/answerFraming.ts'
import type { AnswerFraming } from '../common/answerFraming.ts'
import { watchConnectionEnd } from './connectionEnd.ts'
import type { ConnectionEnd } from './connectionEnd.ts'
import { validateFinalHead, validateInterimHead } from '../common/responseHead.ts'

/** Options of one exchange. */
export interface ExchangeOptions {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body?: string | Uint8Array
  /** Alternating names and values, including framing headers; if missing, the body is sent as JSON. */
  readonly rawHeaders?: readonly string[]
  /** False opens a separate connection for the exchange. */
  readonly agent: Agent | false
  readonly localAddress?: string
  readonly connectTimeoutMs: number
  readonly signal?: AbortSignal
  /** Called with the connection that the exchange is assigned to, before it is used. */
  readonly onDidAssignConnection?: (connection: object) => void
  /** Called when the connection is open; false ends the exchange before any byte is written. */
  readonly onWillSend?: () => boolean
}

/** The result of starting an exchange. */
export type ExchangeStart =
  | { readonly kind: 'response', readonly response: IncomingMessage, readonly exchange: IExchange }
  | { readonly kind: 'notSent', readonly reason: string, readonly isWithheld: boolean }
  | { readonly kind: 'lost', readonly reason: string }

/** An exchange whose response has begun. */
export interface IExchange {
  /** What ends the response's body; never `unsupported`. */
  readonly framing: AnswerFraming
  /** Whether the request had been written completely when the response began. */
  readonly wasRequestWritten: boolean
  /**
   * Resolves, after the end of the response, to whether its body is complete. The parser considers a body without a length
   * complete even if its connection was reset.
   */
  confirmComplete (): Promise<boolean>
  /** Ends the exchange and closes its connection. */
  cancel (): void
}

/** Exchanges with more interim (1xx) responses are closed. */
const MAX_INTERIM_RESPONSES = 32

class ExchangeState {
  wasSent = false
  hasResponse = false
  isWithheld = false
  reason = ''
}

class Exchange implements IExchange {
  readonly wasRequestWritten: boolean
  private readonly _connectionEnd: Promise<ConnectionEnd> | undefined

  constructor (private readonly _call: ClientRequest, private readonly _response: IncomingMessage, readonly framing: AnswerFraming) {
    this.wasRequestWritten = _call.writableFinished
    this._connectionEnd = framing === 'close' ? watchConnectionEnd(_response.socket) : undefined
  }

  async confirmComplete (): Promise<boolean> {
    return this._response.complete && await (this._connectionEnd ?? 'closed') === 'closed'
  }

  cancel (): void {
    this._call.destroy()
  }
}

function sendWhenOpen (call: ClientRequest, socket: Socket, options: ExchangeOptions, state: ExchangeState): void {
  if (options.onWillSend?.() === false) {
    state.isWithheld = true
    state.reason = 'not sent'
    call.destroy()
    return
  }
  state.wasSent = true
  call.end(options.body)
}

function createJsonHeaders (body: string | Uint8Array | undefined) {
  return body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
}

/** Starts an exchange; resolves when the response headers arrive, or when the exchange failed. */
export function startExchange (options: ExchangeOptions): Promise<ExchangeStart> {
  const address = parseAddress(options.address)
  if (address === undefined) return Promise.resolve({ kind: 'notSent', reason: 'invalid address', isWithheld: false })
  const state = new ExchangeState()
  return new Promise(resolve => {
    const call = request({
      ...STRICT_PARSING,
      host: address.host,
      port: address.port,
      method: options.method,
      path: options.path,
      agent: options.agent,
      localAddress: options.localAddress,
      headers: options.rawHeaders ?? createJsonHeaders(options.body)
    })
    const timer = setTimeout(() => {
      state.reason = 'connect timeout'
      call.destroy()
    }, options.connectTimeoutMs)
    // Reset before the answer has begun, so that a request that is given up does not arrive later.
    const abort = () => {
      if (state.reason === '') state.reason = 'aborted'
      if (state.wasSent && !state.hasResponse && call.socket !== null) resetSocket(call.socket)
      else call.destroy()
    }
    const refuse = (reason: string) => {
      if (state.reason === '') state.reason = reason
      abort()
    }
    options.signal?.addEventListener('abort', abort, { once: true })
    call.on('socket', socket => {
      options.onDidAssignConnection?.(socket)
      const sendNow = () => {
        clearTimeout(timer)
        if (!call.destroyed) sendWhenOpen(call, socket, options, state)
      }
      if (socket.connecting) socket.once('connect', sendNow)
      else sendNow()
    })
    let interimCount = 0
    call.on('information', information => {
      const invalid = ++interimCount > MAX_INTERIM_RESPONSES ? 'too many interim responses' : validateInterimHead(information)
      if (invalid !== undefined) refuse(invalid)
    })
    call.on('response', response => {
      const framing = findAnswerFraming({ method: options.method, status: response.statusCode ?? 0, headers: response.headers })
      const invalid = validateFinalHead(response) ?? (framing === 'unsupported' ? 'unsupported transfer encoding' : undefined)
      if (invalid !== undefined) refuse(invalid)
      // The parser goes on with what was read before the connection was closed.
      if (state.reason !== '') return
      state.hasResponse = true
      resolve({ kind: 'response', response, exchange: new Exchange(call, response, framing) })
    })
    call.on('error', error => { if (state.reason === '') state.reason = error.message })
    call.on('close', () => {
      clearTimeout(timer)
      options.signal?.removeEventListener('abort', abort)
      const reason = state.reason === '' ? 'connection closed' : state.reason
      resolve(state.wasSent ? { kind: 'lost', reason } : { kind: 'notSent', reason, isWithheld: state.isWithheld })
    })
    if (options.signal?.aborted === true) abort()
  })
}

/**
 * Closes the pool's idle connections to an address. After a timeout on one of them, others opened before may be stalled as
 * well, and each would delay another call.
 */
export function closeIdleConnections (agent: Agent, address: string): void {
  for (const socket of listIdleConnections(agent, address)) closeConnection(socket)
}

/** Closes a connection that its agent may hold as an idle one. */
export function closeConnection (connection: Socket): void {
  connection.destroy()
  // The agent would offer the connection until its close event.
  connection.emit('agentRemove')
}

export function listIdleConnections (agent: Agent, address: string): readonly Socket[] {
  const parsed = parseAddress(address)
  if (parsed === undefined) return []
  return Object.entries(agent.freeSockets).flatMap(([name, sockets]) => name.startsWith(`${parsed.host}:${parsed.port}:`) ? sockets ?? [] : [])
}
