/**
 * What marks the end of an answer's body, as its head states it.
 */

/**
 * `none`: there is no body. `close`: only the end of the connection ends the body. `unsupported`: the body is encoded, or its
 * length is ambiguous, so it can't be passed on as the upstream's.
 */
export type AnswerFraming = 'none' | 'length' | 'chunked' | 'close' | 'unsupported'

export interface FramedHead {
  /** Method of the request. */
  readonly method: string
  readonly status: number
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
}

const NO_CONTENT = 204
const NOT_MODIFIED = 304

export function findAnswerFraming ({ method, status, headers }: FramedHead): AnswerFraming {
  const { 'transfer-encoding': encoding, 'content-length': length } = headers
  if (encoding !== undefined && (length !== undefined || String(encoding).trim().toLowerCase() !== 'chunked')) return 'unsupported'
  if (method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) return 'none'
  if (encoding !== undefined) return 'chunked'
  return length === undefined ? 'close' : 'length'
}

/** Whether the body's end is marked in the answer itself, so that a lost connection can't look like it. */
export function isSelfDelimited (framing: AnswerFraming): boolean {
  return framing === 'none' || framing === 'length' || framing === 'chunked'
}
