/**
 * An HTTP agent that closes idle connections on which bytes arrive. They belong to no call, and what follows them could be taken for
 * the answer to the next one; Node.js reads and drops line breaks without end.
 */
import { Agent } from 'node:http'
import type { ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

function closeOnData (this: Duplex): void {
  this.destroy()
}

export class IdleGuardAgent extends Agent {
  /** Called by Node.js; false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    // The declaration lacks the result.
    if (!(super.keepSocketAlive(socket) as unknown as boolean)) return false
    socket.on('data', closeOnData)
    return true
  }

  /** Called by Node.js when an idle connection is used again. */
  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    socket.off('data', closeOnData)
    super.reuseSocket(socket, request)
  }
}
