/**
 * One HTTP/1.1 exchange with an upstream that knows whether anything was written.
 */
import { request } from 'node:http'
import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'

/** Settings of one exchange. */
export interface ExchangeOptions {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body?: string | Uint8Array
  /** Names and values by turns, framing included; without them, a body is announced as JSON. */
  readonly rawHeaders?: readonly string[]
  /** False gives the exchange a connection of its own. */
  readonly agent: Agent | false
  readonly localAddress?: string
  readonly connectTimeoutMs: number
  readonly signal?: AbortSignal
  /** Asked when the connection is open; false ends the exchange before a byte is written. */
  readonly onWillSend?: () => boolean
}

/** How far an exchange came. */
export type ExchangeStart =
  | { readonly kind: 'response', readonly response: IncomingMessage, readonly exchange: IExchange }
  | { readonly kind: 'notSent', readonly reason: string, readonly isWithheld: boolean }
  | { readonly kind: 'lost', readonly reason: string }

/** An exchange whose response has begun. */
export interface IExchange {
  /**
   * Whether the connection failed. The parser takes a body without a length for whole when its connection is reset, so
   * the end of a response alone proves nothing.
   */
  readonly hasFailed: boolean
  /** Whether the upstream had the whole request when its answer began. */
  readonly wasWritten: boolean
  /** Ends the exchange and its connection. */
  cancel (): void
}

class ExchangeState {
  wasSent = false
  isWithheld = false
  reason = ''
}

class Exchange implements IExchange {
  readonly wasWritten: boolean

  constructor (private readonly _call: ClientRequest, private readonly _state: ExchangeState) {
    this.wasWritten = _call.writableFinished
  }

  get hasFailed (): boolean {
    return this._state.reason !== ''
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

/** Starts an exchange; resolves at the first byte of the response, or when it failed. */
export function startExchange (options: ExchangeOptions): Promise<ExchangeStart> {
  const address = parseAddress(options.address)
  if (address === undefined) return Promise.resolve({ kind: 'notSent', reason: 'bad address', isWithheld: false })
  const state = new ExchangeState()
  return new Promise(resolve => {
    const call = request({
      host: address.host,
      port: address.port,
      method: options.method,
      path: options.path,
      agent: options.agent,
      localAddress: options.localAddress,
      signal: options.signal,
      headers: options.rawHeaders ?? createJsonHeaders(options.body)
    })
    const timer = setTimeout(() => {
      state.reason = 'connect timeout'
      call.destroy()
    }, options.connectTimeoutMs)
    call.on('socket', socket => {
      const sendNow = () => {
        clearTimeout(timer)
        if (!call.destroyed) sendWhenOpen(call, socket, options, state)
      }
      if (socket.connecting) socket.once('connect', sendNow)
      else sendNow()
    })
    call.on('response', response => resolve({ kind: 'response', response, exchange: new Exchange(call, state) }))
    call.on('error', error => { if (state.reason === '') state.reason = error.message })
    call.on('close', () => {
      clearTimeout(timer)
      const reason = state.reason === '' ? 'connection closed' : state.reason
      resolve(state.wasSent ? { kind: 'lost', reason } : { kind: 'notSent', reason, isWithheld: state.isWithheld })
    })
  })
}

/**
 * Closes the pool's idle connections to an address. After one of them gave no answer in time, others that were open
 * then may be as silent, and each would hold up one more call.
 */
export function dropIdleConnections (agent: Agent, address: string): void {
  const parsed = parseAddress(address)
  for (const [name, sockets] of Object.entries(agent.freeSockets)) {
    if (parsed === undefined || !name.startsWith(`${parsed.host}:${parsed.port}:`)) continue
    for (const socket of [...sockets ?? []]) socket.destroy()
  }
}

/** Reads a body of bounded size; undefined when it was cut off or is too large. */
export async function readBody (response: IncomingMessage, maxBytes: number): Promise<string | undefined> {
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of response as AsyncIterable<Buffer>) {
      size += part.length
      if (size > maxBytes) {
        response.destroy()
        return undefined
      }
      parts.push(part)
    }
  } catch {
    return undefined
  }
  return response.complete ? Buffer.concat(parts).toString('utf8') : undefined
}
