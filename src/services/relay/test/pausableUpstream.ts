/**
 * An upstream that streams numbered events at a steady pace and can be paused, as a process is by a signal.
 */
import type { Socket } from 'node:net'
import { toDisposable } from '../../../base/common/disposable.ts'
import { FakeUpstream } from './fakes.ts'

export const EVENT_COUNT = 12
const EVENT_INTERVAL_MS = 20

export interface PausableUpstreamOptions {
  /** Handles requests other than by a stream; true if it has. */
  readonly answer?: (socket: Socket, id: string) => boolean
}

/** Returns the ids of the events that a caller received, in order. */
export function listEventIds (text: string): readonly number[] {
  return [...text.matchAll(/id: (\d+)\ndata: x\n\n/g)].map(match => Number(match[1]))
}

/** Whether the caller received every event once, in order, and the end of the stream. */
export function isWholeStream (text: string): boolean {
  return text.endsWith('0\r\n\r\n') && listEventIds(text).join() === Array.from({ length: EVENT_COUNT }, (_, index) => index + 1).join()
}

export class PausableUpstream extends FakeUpstream {
  private _isPaused = false
  private readonly _startedIds: string[] = []

  constructor ({ answer }: PausableUpstreamOptions = {}) {
    super((socket, head) => {
      const id = /^Id: (.+)\r$/m.exec(head)?.[1] ?? ''
      this._startedIds.push(id)
      if (answer?.(socket, id) !== true) this._sendEvents(socket, id, Number(/^Last-Event-Id: (\d+)\r$/m.exec(head)?.[1] ?? 0))
    })
  }

  /** Whether the request was sent to this upstream. */
  hasRequest (id: string): boolean {
    return this._startedIds.includes(id)
  }

  /** Pauses all streams. */
  blockFor (durationMs: number): void {
    this._isPaused = true
    const timer = setTimeout(() => { this._isPaused = false }, durationMs)
    this._register(toDisposable(() => clearTimeout(timer)))
  }

  private _sendEvents (socket: Socket, id: string, lastEventId: number): void {
    let next = lastEventId
    const timer = setInterval(() => {
      if (this._isPaused) return
      if (next === lastEventId) socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
      next++
      const event = `id: ${next}\ndata: x\n\n`
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
      if (next < EVENT_COUNT) return
      clearInterval(timer)
      socket.write('0\r\n\r\n')
    }, EVENT_INTERVAL_MS)
    socket.on('close', () => clearInterval(timer))
    this._register(toDisposable(() => clearInterval(timer)))
  }
}
