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
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
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
  | { readonly kind: 'response', readonly response: IncomingMessage }
  | { readonly kind: 'notSent', readonly reason: string }
  | { readonly kind: 'lost', readonly reason: string }

class ExchangeState {
  wasSent = false
  reason = ''
}

function sendWhenOpen (call: ClientRequest, socket: Socket, options: ExchangeOptions, state: ExchangeState): void {
  if (options.onWillSend?.() === false) {
    state.reason = 'not sent'
    call.destroy()
    return
  }
  state.wasSent = true
  call.end(options.body)
}

/** Starts an exchange; resolves at the first byte of the response, or when it failed. */
export function startExchange (options: ExchangeOptions): Promise<ExchangeStart> {
  const address = parseAddress(options.address)
  if (address === undefined) return Promise.resolve({ kind: 'notSent', reason: 'bad address' })
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
      headers: options.body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(options.body) }
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
    call.on('response', response => resolve({ kind: 'response', response }))
    call.on('error', error => { if (state.reason === '') state.reason = error.message })
    call.on('close', () => {
      clearTimeout(timer)
      resolve({ kind: state.wasSent ? 'lost' : 'notSent', reason: state.reason === '' ? 'connection closed' : state.reason })
    })
  })
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
