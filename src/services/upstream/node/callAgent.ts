/**
 * An HTTP agent that knows which calls its connections have carried.
 */
import { Agent } from 'node:http'
import { BoundedSet } from '../../../base/common/boundedSet.ts'

/** What a connection had carried when a call was assigned to it. `repeated`: a call with the same id. */
export type ConnectionUse = 'new' | 'reused' | 'repeated'

/** An upstream repeats an answer at once or where one of the next answers is due, so older ids are of no use. */
const MAX_KNOWN_CALLS = 256

export class CallAgent extends Agent {
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
}
