/**
 * Writes lines to a pipe without waiting for its reader: lines that exceed the buffer limit are dropped and counted.
 */

/** The part of a writable stream that `BoundedStream` uses. */
export interface ILineSink {
  readonly writableLength: number
  write (text: string): unknown
}

/** With more unread data than this in the buffer, lines are dropped until the reader catches up. */
const MAX_BUFFERED_BYTES = 256 * 1024

export class BoundedStream {
  private _droppedCount = 0

  constructor (private readonly _sink: ILineSink, private readonly _maxBufferedBytes = MAX_BUFFERED_BYTES) {}

  write (line: string): void {
    if (this._sink.writableLength + line.length > this._maxBufferedBytes) {
      this._droppedCount++
      return
    }
    if (this._droppedCount > 0) {
      this._sink.write(`event=lines_unread count=${this._droppedCount}\n`)
      this._droppedCount = 0
    }
    this._sink.write(line)
  }
}

/** Returns standard output as a non-blocking sink: by default, Node.js writes to pipes synchronously. */
export function openStandardOutput (): ILineSink {
  const handle = (process.stdout as { readonly _handle?: { setBlocking? (isBlocking: boolean): void } })._handle
  handle?.setBlocking?.(false)
  // Without a listener, the error that follows when the reader closes the pipe (EPIPE) would end the process.
  process.stdout.on('error', () => {})
  return process.stdout
}
