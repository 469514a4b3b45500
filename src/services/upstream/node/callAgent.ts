/**
 * An HTTP agent that knows which calls its connections have carried. An upstream may send an earlier answer once more where the
 * next one is due, and only the id of the call shows which one it answers.
 */
import { BoundedSet } from '../../../base/common/boundedSet.ts'
import { closeConnection, listIdleConnections } from './httpExchange.ts'
import { IdleGuardAgent } from './idleGuardAgent.ts'

/** What a connection had carried when a call was assigned to it. `repeated`: a call with the same id. */
export type ConnectionUse = 'new' | 'reused' | 'repeated'

/** An upstream repeats an answer at once or where one of the next answers is due, so older ids are of no use. */
const MAX_KNOWN_CALLS = 256

export class CallAgent extends IdleGuardAgent {
  private readonly _calls = new WeakMap<object, BoundedSet<string>>()

  /** Records that a connection carries a call; returns what it had carried before. */
  recordCall (connection: object, callId: string): ConnectionUse {
    const earlierCalls = this._calls.get(connection)
    const calls = earlierCalls ?? new BoundedSet<string>(MAX_KNOWN_CALLS)
    const use = earlierCalls === undefined ? 'new' : calls.has(callId) ? 'repeated' : 'reused'
    calls.add(callId)
    this._calls.set(connection, calls)
    return use
  }

  /** Closes the idle connections to an address that have carried any of these calls, so that they are sent on none of them. */
  closeRepeated (address: string, callIds: readonly string[]): void {
    for (const connection of listIdleConnections(this, address)) {
      const calls = this._calls.get(connection)
      if (calls !== undefined && callIds.some(id => calls.has(id))) closeConnection(connection)
    }
  }
}
