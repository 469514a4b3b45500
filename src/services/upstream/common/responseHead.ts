/**
 * Checks the heads of responses. The runtime's parser accepts versions and statuses that HTTP/1 does not have, which can't be
 * passed on, and what else it accepts depends on its version.
 */
export interface ResponseHead {
  readonly httpVersion: string
  readonly statusCode?: number | undefined
  readonly statusMessage?: string | undefined
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[]
}

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1'])
const MIN_STATUS = 100
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599
const SWITCHING_PROTOCOLS = 101
const MAX_SHOWN_CHARS = 64
/** A token of RFC 9110. */
const FIELD_NAME = /^[\w!#$%&'*+.^`|~-]+$/
/** Visible characters, blanks and tabs, and bytes above ASCII. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

/** Returns what is invalid in the head of a final response; undefined if nothing is. */
export function validateFinalHead (head: ResponseHead): string | undefined {
  const { statusCode = 0 } = head
  return statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS ? `invalid status ${statusCode}` : validateFields(head)
}

/** Returns what is invalid in the head of an interim response; undefined if nothing is. No request asks for another protocol. */
export function validateInterimHead (head: ResponseHead): string | undefined {
  const { statusCode = 0 } = head
  const isInterim = statusCode >= MIN_STATUS && statusCode < MIN_FINAL_STATUS && statusCode !== SWITCHING_PROTOCOLS
  return isInterim ? validateFields(head) : `invalid interim status ${statusCode}`
}

function validateFields ({ httpVersion, statusMessage = '', rawHeaders }: ResponseHead): string | undefined {
  if (!VERSIONS.has(httpVersion)) return `invalid version ${httpVersion}`
  if (!FIELD_VALUE.test(statusMessage)) return 'invalid reason phrase'
  const index = rawHeaders.findIndex((text, position) => !(position % 2 === 0 ? FIELD_NAME : FIELD_VALUE).test(text))
  if (index < 0) return undefined
  const name = JSON.stringify(rawHeaders[index - index % 2]?.slice(0, MAX_SHOWN_CHARS))
  return index % 2 === 0 ? `invalid field name ${name}` : `invalid value of ${name}`
}
