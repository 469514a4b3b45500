/**
 * Separates the complete events of a stream of server-sent events from the partial one at its end, which must not be forwarded. No
 * byte is changed.
 */

import { ByteBuffer } from '../../../base/common/byteBuffer.ts'

/** Consecutive events, including the blank line that terminates each of them. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** The id of the last event that has one. */
  readonly lastId: string | undefined
  /** False if there are only comments and blank lines, which keep a connection alive but are no output. */
  readonly hasFields: boolean
}

/** Bounds the buffer. A stream with a larger event, or with more comments and blank lines between two events, is considered broken. */
const MAX_EVENT_BYTES = 1024 * 1024
const BLANK_LINES = ['\n\n', '\n\r\n']
const LINE_BREAK = Buffer.from('\n')
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
/** A blank line that ends with the next byte has begun in at most this many bytes before. */
const MAX_BLANK_LINE_START = 2

export class EventSplitter {
  private readonly _pending = new ByteBuffer()
  /** Bytes of comments and blank lines that were returned after the last event. */
  private _idleBytes = 0

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes (): number {
    return this._pending.length
  }

  get isTooLarge (): boolean {
    return this._pending.length + this._idleBytes > MAX_EVENT_BYTES
  }

  /** Returns the events that are complete with the added bytes; undefined if there are none. */
  add (part: Buffer): CompleteEvents | undefined {
    const end = this._findLastEventEnd(part)
    if (end === 0) {
      this._pending.append(part)
      return undefined
    }
    const complete = part.subarray(0, end)
    const bytes = this._pending.length === 0 ? complete : Buffer.concat([this._pending.take(), complete])
    if (end < part.length) this._pending.append(part.subarray(end))
    const hasFields = hasField(bytes)
    this._idleBytes = hasFields ? 0 : this._idleBytes + bytes.length
    return { bytes, lastId: parseLastId(bytes), hasFields }
  }

  /** Returns the offset in a part after the last blank line, or 0 if none ends in it. The pending bytes are not scanned again. */
  private _findLastEventEnd (part: Buffer): number {
    // An event begins after a line break, so one more ends a blank line.
    const last = this._pending.length < MAX_BLANK_LINE_START ? Buffer.concat([LINE_BREAK, this._pending.getLast(1)]) : this._pending.getLast(MAX_BLANK_LINE_START)
    const end = findBlankLineEnd(Buffer.concat([last, part.subarray(0, MAX_BLANK_LINE_START)])) - last.length
    return Math.max(0, end, findBlankLineEnd(part))
  }
}

/** Returns the offset after the last blank line, or 0 if there is none. */
function findBlankLineEnd (bytes: Buffer): number {
  return Math.max(...BLANK_LINES.map(text => {
    const index = bytes.lastIndexOf(text, undefined, 'latin1')
    return index < 0 ? 0 : index + text.length
  }))
}

/** Whether any line is neither blank nor a comment. */
function hasField (events: Buffer): boolean {
  for (let start = 0; start < events.length;) {
    const first = events[start]
    if (first === LINE_FEED || first === CARRIAGE_RETURN) start++
    else if (first === COLON) start = events.indexOf(LINE_FEED, start) + 1
    else return true
  }
  return false
}

function parseLastId (events: Buffer): string | undefined {
  const index = events.lastIndexOf('\nid:', undefined, 'latin1')
  const start = index >= 0 ? index + 1 : events.toString('latin1', 0, 3) === 'id:' ? 0 : -1
  if (start < 0) return undefined
  return /^id: ?([^\r\n]*)/.exec(events.toString('latin1', start, events.indexOf('\n', start)))?.[1]
}
