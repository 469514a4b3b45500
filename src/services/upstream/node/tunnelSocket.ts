/**
 * A connection to an upstream that a peer has opened. Both directions are the chunked bodies of one HTTP exchange with the peer,
 * so a peer that ends midway cannot be mistaken for an upstream that has closed its connection.
 */
import { request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Duplex } from 'node:stream'
import { parseAddress } from '../../../base/common/address.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import { resetSocket } from '../../../base/node/resetSocket.ts'
import { findAnswerFraming } from '../common/answerFraming.ts'
import { validateFinalHead } from '../common/responseHead.ts'

export interface TunnelOptions {
  /** The address at which the peer accepts tunnels. */
  readonly peer: string
  /** The address of the upstream. */
  readonly upstream: string
  readonly timeoutMs: number
}

/** `reason` tells what the peer answered, or why it did not. */
export type TunnelStart =
  | { readonly kind: 'opened', readonly socket: TunnelSocket }
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'failed', readonly reason: string }

export const TUNNEL_PATH = '/tunnel/'
const OK = 200

export class TunnelSocket extends Duplex {
  // HTTP agents call these functions of a socket. The peer keeps the upstream's connection alive.
  readonly setKeepAlive = () => this
  readonly setNoDelay = () => this
  readonly setTimeout = () => this
  readonly ref = () => this
  readonly unref = () => this

  constructor (private readonly _call: ClientRequest, private readonly _response: IncomingMessage) {
    super({ allowHalfOpen: false })
    _call.on('error', error => this.destroy(error))
    _response.on('data', (chunk: Buffer) => { if (!this.push(chunk)) _response.pause() })
    _response.on('end', () => this.push(null))
    _response.on('error', error => this.destroy(error))
    _response.on('close', () => { if (!_response.complete) this.destroy(new Error('the peer closed the tunnel')) })
  }

  /** Resets the connection to the peer, which then resets that to the upstream. */
  resetAndDestroy (): this {
    if (this._call.socket !== null) resetSocket(this._call.socket)
    return this.destroy()
  }

  override _read (): void {
    this._response.resume()
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    this._call.write(chunk, callback)
  }

  override _final (callback: (error?: Error | null) => void): void {
    this._call.end(callback)
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this._call.destroy()
    callback(error)
  }
}

/** Asks a peer to connect to an upstream. */
export function openTunnel ({ peer, upstream, timeoutMs }: TunnelOptions): Promise<TunnelStart> {
  const address = parseAddress(peer)
  if (address === undefined) return Promise.resolve({ kind: 'failed', reason: 'invalid address' })
  return new Promise(resolve => {
    const call = request({ ...STRICT_PARSING, host: address.host, port: address.port, method: 'POST', path: `${TUNNEL_PATH}${upstream}`, agent: false, headers: { 'transfer-encoding': 'chunked' } })
    const timer = setTimeout(() => call.destroy(new Error('timeout')), timeoutMs)
    const resolveOpened = (socket: TunnelSocket) => {
      // Bytes that arrived with the head may already have ended the tunnel, before anyone listens to it.
      socket.on('error', () => {})
      process.nextTick(() => resolve(socket.destroyed ? { kind: 'failed', reason: 'invalid body' } : { kind: 'opened', socket }))
    }
    call.on('response', response => {
      clearTimeout(timer)
      const { statusCode: status = 0, headers } = response
      // A tunnel without chunks would not tell the end of the peer from that of the upstream.
      const lacksChunks = status === OK && findAnswerFraming({ method: 'POST', status, headers }) !== 'chunked'
      const invalid = validateFinalHead(response) ?? (lacksChunks ? 'tunnel without chunks' : undefined)
      if (invalid !== undefined) return call.destroy(new Error(invalid))
      if (status === OK) return resolveOpened(new TunnelSocket(call, response))
      resolve({ kind: 'refused', reason: response.statusMessage ?? '' })
      call.destroy()
    })
    // Errors after the response are those of the tunnel.
    call.on('error', error => {
      clearTimeout(timer)
      resolve({ kind: 'failed', reason: error.message })
    })
    // A peer that changes the protocol ends the exchange without an error.
    call.on('close', () => {
      clearTimeout(timer)
      resolve({ kind: 'failed', reason: 'connection closed' })
    })
    call.flushHeaders()
  })
}
