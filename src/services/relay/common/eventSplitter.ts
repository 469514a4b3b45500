/**
 * Cuts a stream of server-sent events into whole events, byte for byte, so that a part of one is never handed on.
 */

/** One event with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer
  readonly id: string | undefined
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** An event larger than this is not held back whole. */
const MAX_EVENT_BYTES = 1024 * 1024

export class EventSplitter {
  private _pending: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has not ended. */
  get pendingBytes (): number {
    return this._pending.length
  }

  get isTooLarge (): boolean {
    return this._pending.length > MAX_EVENT_BYTES
  }

  /** The events that the new bytes complete. */
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

/** The offset behind the first blank line; 0 when there is none. */
function findEventEnd (bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return 0
}

function parseEventId (bytes: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1]
}
