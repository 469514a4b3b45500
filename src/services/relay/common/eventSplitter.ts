/**
 * Splits a stream of server-sent events after complete events without changing a byte, so that a partial event is never
 * forwarded.
 */

/** Consecutive events, including the blank line that terminates each of them. */
export interface CompleteEvents {
  readonly bytes: Buffer
  /** The id of the last event that has one. */
  readonly lastId: string | undefined
}

/** A stream with a larger event is considered broken, which bounds the buffer. */
const MAX_EVENT_BYTES = 1024 * 1024
const BLANK_LINES = ['\n\n', '\n\r\n']

export class EventSplitter {
  private _pending: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes (): number {
    return this._pending.length
  }

  get isTooLarge (): boolean {
    return this._pending.length > MAX_EVENT_BYTES
  }

  /** Returns the events that are complete with the added bytes; undefined if there are none. */
  add (part: Buffer): CompleteEvents | undefined {
    const bytes = this._pending.length === 0 ? part : Buffer.concat([this._pending, part])
    const end = findLastEventEnd(bytes)
    this._pending = bytes.subarray(end)
    if (end === 0) return undefined
    const events = bytes.subarray(0, end)
    return { bytes: events, lastId: parseLastId(events) }
  }
}

/** Returns the offset after the last blank line, or 0 if there is none. */
function findLastEventEnd (bytes: Buffer): number {
  return Math.max(...BLANK_LINES.map(text => {
    const index = bytes.lastIndexOf(text, undefined, 'latin1')
    return index < 0 ? 0 : index + text.length
  }))
}

function parseLastId (events: Buffer): string | undefined {
  const index = events.lastIndexOf('\nid:', undefined, 'latin1')
  const start = index >= 0 ? index + 1 : events.toString('latin1', 0, 3) === 'id:' ? 0 : -1
  if (start < 0) return undefined
  return /^id: ?([^\r\n]*)/.exec(events.toString('latin1', start, events.indexOf('\n', start)))?.[1]
}
