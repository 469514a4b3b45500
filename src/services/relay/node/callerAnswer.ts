/**
 * The answer to one caller: begun at most once, ended once, and cut when its end cannot be delivered.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { HeaderField } from '../common/relayRequest.ts'

/** An upstream's answer that was read whole. */
export interface WholeAnswer {
  /** False when only the end of the connection ended the body: then the caller is told no more than that either. */
  readonly isFramed: boolean
  readonly status: number
  readonly headers: readonly HeaderField[]
  readonly body: Buffer
}

export class CallerAnswer extends Disposable {
  private readonly _onDidLeave = this._register(new Emitter<void>())
  /** The caller closed its connection before the answer ended. */
  readonly onDidLeave = this._onDidLeave.event
  private _hasLeft = false
  private _isBegun = false
  private _isEnded = false
  private _isFramed = true

  constructor (private readonly _request: IncomingMessage, private readonly _response: ServerResponse) {
    super()
    const onClose = () => this._noteClosed()
    _response.on('close', onClose)
    // A write after the caller has gone is no fault of ours; the close tells the rest.
    _response.on('error', () => {})
    this._register(toDisposable(() => { _response.off('close', onClose) }))
  }

  get hasLeft (): boolean {
    return this._hasLeft
  }

  get isBegun (): boolean {
    return this._isBegun
  }

  get isEnded (): boolean {
    return this._isEnded
  }

  /** The connection ends with this answer. */
  closeAfterwards (): void {
    if (!this._isBegun) this._response.shouldKeepAlive = false
  }

  begin (status: number, headers: readonly HeaderField[], isFramed = true): void {
    if (this._isBegun || this._hasLeft) return
    this._isBegun = true
    this._isFramed = isFramed
    if (!isFramed) this._endWithConnection()
    this._response.writeHead(status, toRawHeaders(headers))
    this._response.flushHeaders()
  }

  /** False when the caller does not keep up; `waitForRoom` tells when it does again. */
  write (bytes: Buffer): boolean {
    if (this._hasLeft || this._isEnded) return true
    return this._response.write(bytes)
  }

  waitForRoom (): Promise<void> {
    return new Promise(resolve => {
      if (this._hasLeft) return resolve()
      this._response.once('drain', resolve)
      this._response.once('close', resolve)
    })
  }

  finish (): void {
    if (this._isEnded) return
    this._isEnded = true
    if (!this._hasLeft) this._response.end()
  }

  /** Sends an answer whole. */
  send (answer: WholeAnswer): void {
    if (this._isBegun || this._isEnded) return
    this._isBegun = true
    this._isEnded = true
    if (this._hasLeft) return
    const hasBody = answer.status !== 204 && answer.status !== 304
    if (!answer.isFramed) this._endWithConnection()
    const length = hasBody && answer.isFramed ? [{ name: 'Content-Length', value: String(answer.body.length) }] : []
    // What a caller still sends would be taken for its next request.
    if (!this._request.complete) this._response.shouldKeepAlive = false
    this._response.writeHead(answer.status, toRawHeaders([...answer.headers, ...length]))
    this._response.end(hasBody ? answer.body : undefined)
  }

  /** Ends the connection, so that what was sent cannot be taken for whole. */
  cut (): void {
    if (this._isEnded) return
    this._isEnded = true
    // Without framing a mere close would look like the end.
    if (this._isFramed) this._response.destroy()
    else this._request.socket.resetAndDestroy()
  }

  private _endWithConnection (): void {
    this._response.useChunkedEncodingByDefault = false
    this._response.shouldKeepAlive = false
  }

  private _noteClosed (): void {
    if (this._response.writableFinished || this._hasLeft) return
    this._hasLeft = true
    if (!this._isEnded) this._onDidLeave.fire()
  }
}

function toRawHeaders (headers: readonly HeaderField[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value])
}
