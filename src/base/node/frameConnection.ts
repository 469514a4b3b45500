/**
 * Length-prefixed CBOR frames over TCP: a length of four bytes, big-endian, followed by the encoded value.
 */
import type { Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { ByteBuffer } from '../common/byteBuffer.ts'
import { Disposable, toDisposable } from '../common/disposable.ts'
import { Emitter } from '../common/event.ts'

const LENGTH_BYTES = 4
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Encodes a value as a frame, so that a value sent over many connections is encoded once. */
export function createFrame (value: unknown): Buffer {
  const body = encoder.encode(value)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length)
  frame.set(body, LENGTH_BYTES)
  return frame
}

/** Large enough for a configuration document of 1 MB and its envelope. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024
/** A connection with more unsent data is closed; the receiver is sent the full state when it reconnects. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024

/** Why this side closed a connection. */
export type FrameError = 'frameTooLarge' | 'frameUnreadable'

export class FrameConnection extends Disposable {
  private readonly _pending = new ByteBuffer()
  /** How many bytes have to be pending before the next frame can be complete. */
  private _neededBytes = LENGTH_BYTES
  private readonly _onDidReceive = this._register(new Emitter<unknown>())
  private readonly _onDidClose = this._register(new Emitter<FrameError | undefined>())
  readonly onDidReceive = this._onDidReceive.event
  readonly onDidClose = this._onDidClose.event
  private _isClosed = false
  /** Bytes sent and received, for the metrics of control traffic. */
  bytesSent = 0
  bytesReceived = 0

  constructor (private readonly _socket: Socket) {
    super()
    _socket.setNoDelay(true)
    _socket.on('data', data => this._receive(data))
    _socket.on('error', () => this._close())
    _socket.on('close', () => this._close())
    this._register(toDisposable(() => { _socket.destroy() }))
  }

  get isClosed (): boolean {
    return this._isClosed
  }

  /** Sends one value; has no effect if the connection is closed. */
  send (value: unknown): void {
    if (!this._isClosed) this.sendFrame(createFrame(value))
  }

  /** Sends a frame created by `createFrame`. */
  sendFrame (frame: Buffer): void {
    if (this._isClosed) return
    this._socket.write(frame)
    this.bytesSent += frame.length
    if (this._socket.writableLength > MAX_UNSENT_BYTES) this._close()
  }

  private _receive (data: Buffer): void {
    this.bytesReceived += data.length
    this._pending.append(data)
    if (this._pending.length < this._neededBytes) return
    let rest = this._pending.take()
    this._neededBytes = LENGTH_BYTES
    while (!this._isClosed && rest.length >= LENGTH_BYTES) {
      const length = rest.readUInt32BE()
      if (length > MAX_FRAME_BYTES) return this._close('frameTooLarge')
      this._neededBytes = LENGTH_BYTES + length
      if (rest.length < this._neededBytes) break
      const body = rest.subarray(LENGTH_BYTES, this._neededBytes)
      rest = rest.subarray(this._neededBytes)
      this._neededBytes = LENGTH_BYTES
      this._deliver(body)
    }
    this._pending.append(rest)
  }

  private _deliver (body: Buffer): void {
    let value: unknown
    try {
      value = encoder.decode(body)
    } catch {
      return this._close('frameUnreadable')
    }
    this._onDidReceive.fire(value)
  }

  private _close (error?: FrameError): void {
    if (this._isClosed) return
    this._isClosed = true
    this._socket.destroy()
    this._onDidClose.fire(error)
    this.dispose()
  }

  override dispose (): void {
    this._isClosed = true
    super.dispose()
  }
}
