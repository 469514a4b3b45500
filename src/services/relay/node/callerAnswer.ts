/**
 * The answer to one caller: begun at most once, ended once, and aborted if the rest of it cannot be delivered.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { HeaderField } from '../common/relayRequest.ts'

/** An upstream's complete answer. */
export interface BufferedAnswer {
  readonly status: number
  readonly headers: readonly HeaderField[]
  readonly body: Buffer
}

export class CallerAnswer extends Disposable {
  private readonly _onDidDisconnect = this._register(new Emitter<void>())
  /** Fires when the caller closes its connection before the answer has ended. */
  readonly onDidDisconnect = this._onDidDisconnect.event
  private _hasDisconnected = false
  private _hasBegun = false
  private _hasEnded = false
  private _isFramed = true

  constructor (private readonly _request: IncomingMessage, private readonly _response: ServerResponse) {
    super()
    const onClose = () => this._handleClose()
    _response.on('close', onClose)
    // Writes after the caller has disconnected fail; the close event that follows is handled.
    _response.on('error', () => {})
    this._register(toDisposable(() => { _response.off('close', onClose) }))
  }

  get hasDisconnected (): boolean {
    return this._hasDisconnected
  }

  get hasBegun (): boolean {
    return this._hasBegun
  }

  get hasEnded (): boolean {
    return this._hasEnded
  }

  /** Whether the answer is written completely to the operating system, or the connection is closed. */
  get isFlushed (): boolean {
    return this._response.writableFinished || this._request.socket.destroyed
  }

  /** Bytes of the answer that are not written to the operating system yet. */
  get unsentBytes (): number {
    return this._response.writableLength
  }

  /** Whether the caller knows chunks, as all but those that speak HTTP/1.0 do. */
  private get _acceptsChunks (): boolean {
    const { httpVersionMajor, httpVersionMinor } = this._request
    return httpVersionMajor > 1 || httpVersionMinor > 0
  }

  /** Records that the connection has closed. The answer does not notice it while an earlier one of its connection is not complete. */
  disconnect (): void {
    this._handleClose()
  }

  /** Closes the connection after this answer. */
  closeAfterAnswer (): void {
    if (!this._hasBegun) this._response.shouldKeepAlive = false
  }

  /** Begins an answer whose body follows: in chunks, unless its length is known, so that the end of this process does not look like its end. */
  begin (status: number, headers: readonly HeaderField[], bodyBytes?: number): void {
    if (this._hasBegun || this._hasDisconnected) return
    const hasFraming = bodyBytes !== undefined || this._acceptsChunks
    if (!hasFraming) this._endBodyByClose()
    this._writeHead(status, bodyBytes === undefined ? headers : [...headers, createLength(bodyBytes)])
    this._isFramed = hasFraming
    this._response.flushHeaders()
  }

  /** Returns false if the write buffer is full; `waitForDrain` resolves when it is empty again. */
  write (bytes: Buffer): boolean {
    if (this._hasDisconnected || this._hasEnded) return true
    return this._response.write(bytes)
  }

  waitForDrain (): Promise<void> {
    return new Promise(resolve => {
      if (this._hasDisconnected) return resolve()
      const settle = () => {
        this._response.off('drain', settle)
        this._response.off('close', settle)
        resolve()
      }
      this._response.on('drain', settle)
      this._response.on('close', settle)
    })
  }

  finish (): void {
    if (this._hasEnded) return
    if (!this._hasDisconnected) this._response.end()
    this._hasEnded = true
  }

  /** Sends a complete answer, unless one was begun already. */
  send (answer: BufferedAnswer): void {
    if (this._hasBegun || this._hasEnded || this._hasDisconnected) return
    const hasBody = answer.status !== 204 && answer.status !== 304
    // The rest of the current request would be parsed as the next one.
    if (!this._request.complete) this._response.shouldKeepAlive = false
    this._writeHead(answer.status, hasBody ? [...answer.headers, createLength(answer.body.length)] : answer.headers)
    this._response.end(hasBody ? answer.body : undefined)
    this._hasEnded = true
  }

  /** Closes the connection in such a way that the caller does not consider the answer complete. */
  abort (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    this.cut()
  }

  /** Like `abort`, but also for an answer that has ended and is not written completely. */
  cut (): void {
    if (this.isFlushed) return
    // Without framing, an orderly close would mark the end of the body, so the connection is reset.
    if (this._isFramed) this._response.destroy()
    else this._request.socket.resetAndDestroy()
  }

  /** Marks the answer as begun only once its head is written: until then another one can be sent in its place. */
  private _writeHead (status: number, headers: readonly HeaderField[]): void {
    this._response.writeHead(status, toRawHeaders(headers))
    this._hasBegun = true
  }

  private _endBodyByClose (): void {
    this._response.useChunkedEncodingByDefault = false
    this._response.shouldKeepAlive = false
  }

  private _handleClose (): void {
    if (this._response.writableFinished || this._hasDisconnected) return
    this._hasDisconnected = true
    if (!this._hasEnded) this._onDidDisconnect.fire()
  }
}

function createLength (bytes: number): HeaderField {
  return { name: 'Content-Length', value: String(bytes) }
}

function toRawHeaders (headers: readonly HeaderField[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value])
}
