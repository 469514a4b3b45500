/**
 * Chooses which connection closes when there are as many as there may be.
 */

export interface ConnectionActivity {
  /** When a request or a part of one was last read, or an answer ended. */
  readonly progressAt: number
}

export interface ReplacementInputs<T extends ConnectionActivity> {
  /** Of the connections on which no request was served yet, the one without progress for the longest time. */
  readonly unserved: T | undefined
  /** The same of the connections that have served requests. */
  readonly served: T | undefined
  readonly now: number
}

/** A client sends its first request within this time, also over a long distance. */
const FIRST_REQUEST_MS = 250

/**
 * A connection on which no request was completed goes first, unless it is so new that its request may be on the way. Returns
 * undefined if requests run on all connections.
 */
export function chooseConnectionToClose<T extends ConnectionActivity> ({ unserved, served, now }: ReplacementInputs<T>): T | undefined {
  if (unserved !== undefined && now - unserved.progressAt >= FIRST_REQUEST_MS) return unserved
  return served ?? unserved
}
