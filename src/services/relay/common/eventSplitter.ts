/**
 * Splits a stream of server-sent events into complete events without changing a byte, so that a partial event is never
 * forwarded.
 */

/** One event, including the blank line that terminates it. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** A stream with a larger event is considered broken, which bounds the buffer. */
const MAX_EVENT_BYTES = 1024 * 1024

export class EventSplitter {
  private _pending: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes (): number {
    return this._pending.length
  }

  get isTooLarge (): boolean {
    return this._pending.length > MAX_EVENT_BYTES
  }

  /** Returns the events that are complete with the added bytes. */
  add (part: Buffer): readonly StreamEvent[] {
    let rest = this._pending.length === 0 ? part : Buffer.concat([this._pending, part])
    const events: StreamEvent[] = []
    for (let end = findEventEnd(rest); end > 0; end = findEventEnd(rest)) {
      const bytes = rest.subarray(0, end)
      events.push({ bytes, id: parseEventId(bytes) })
      rest = rest.subarray(end)
    }
    this._pending = rest
    return events
  }
}

/** Returns the offset after the first blank line, or 0 if there is none. */
function findEventEnd (bytes: Buffer): number {
  for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3
  }
  return 0
}

function parseEventId (bytes: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1]
}
