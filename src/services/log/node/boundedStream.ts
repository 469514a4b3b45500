/**
 * Writes lines to a pipe without ever waiting for its reader: what does not fit is counted and left out.
 */

/** What is needed of an output stream. */
export interface ILineSink {
  readonly writableLength: number
  write (text: string): unknown
}

/** A reader that is this far behind gets no more until it catches up. */
const MAX_UNREAD_BYTES = 256 * 1024

export class BoundedStream {
  private _leftOut = 0

  constructor (private readonly _sink: ILineSink, private readonly _maxUnreadBytes = MAX_UNREAD_BYTES) {}

  write (line: string): void {
    if (this._sink.writableLength + line.length > this._maxUnreadBytes) {
      this._leftOut++
      return
    }
    if (this._leftOut > 0) {
      this._sink.write(`event=lines_unread count=${this._leftOut}\n`)
      this._leftOut = 0
    }
    this._sink.write(line)
  }
}

/** Standard output as a sink that does not block: Node.js writes to pipes synchronously unless told otherwise. */
export function openStandardOutput (): ILineSink {
  const handle = (process.stdout as { readonly _handle?: { setBlocking? (isBlocking: boolean): void } })._handle
  handle?.setBlocking?.(false)
  // A reader that goes away must not end the process.
  process.stdout.on('error', () => {})
  return process.stdout
}
