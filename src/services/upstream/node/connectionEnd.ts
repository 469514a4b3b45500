/**
 * Tells a connection that the other side closed in order from one that was reset. If the last bytes and the reset become known
 * together, the event loop reports the end of the stream and leaves the error on the socket, where only a further system call
 * finds it.
 */
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

export type ConnectionEnd = 'closed' | 'reset'

/** Makes the system report a pending error and sends nothing. */
const NO_BYTES = Buffer.alloc(0)
/** Reported instead of ECONNRESET if the reset came after the orderly end, and so after all bytes. */
const RESET_AFTER_END = 'EPIPE'

/**
 * Resolves once the connection has ended; a connection that this side closes counts as reset. To be called before the end. The
 * connection stays half open until another listener ends it.
 */
export function watchConnectionEnd (connection: Duplex): Promise<ConnectionEnd> {
  return new Promise(resolve => {
    let hasEnded = false
    const settleError = (error: NodeJS.ErrnoException) => resolve(hasEnded && error.code === RESET_AFTER_END ? 'closed' : 'reset')
    connection.once('error', settleError)
    connection.once('close', () => resolve('reset'))
    if (connection.destroyed) return resolve('reset')
    // A tunnel ends in chunks, which a reset does not complete.
    if (!(connection instanceof Socket)) return connection.prependOnceListener('end', () => resolve('closed'))
    connection.allowHalfOpen = true
    // Before the HTTP client's listener, which ends the writable side.
    connection.prependOnceListener('end', () => {
      hasEnded = true
      connection.write(NO_BYTES, error => { if (error) settleError(error); else resolve('closed') })
      // If an upload is still being written, its write reports a reset before this is called, unless the connection has been destroyed
      // by then: its end is unknown and counts as a reset.
      setImmediate(() => resolve(connection.destroyed ? 'reset' : 'closed'))
    })
  })
}
