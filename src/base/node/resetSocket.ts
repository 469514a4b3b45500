/**
 * Closes connections so that what has not reached the other end is discarded.
 */
import type { Socket } from 'node:net'

/** Resets a connection. After a close, what was written would be delivered as soon as the other end or the link takes it. */
export function resetSocket (socket: Pick<Socket, 'writableEnded' | 'destroy' | 'resetAndDestroy'>): void {
  // The system can't reset a connection whose end is being written.
  if (!socket.writableEnded) socket.resetAndDestroy()
  // Otherwise the end would be written before the reset, which then looks like an orderly close, or waits for a reader.
  socket.destroy()
}
