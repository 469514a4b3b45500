/**
 * The target of an HTTP request as path and query. Anyone may send any target, so parsing never fails.
 */
export interface RequestTarget {
  readonly path: string
  readonly query: URLSearchParams
}

/** The scheme and authority of a target in absolute form. */
const ORIGIN = /^https?:\/\/[^/?]*/i

export function parseRequestTarget (target: string): RequestTarget {
  const local = target.replace(ORIGIN, '')
  const end = local.indexOf('?')
  return end < 0 ? { path: local, query: new URLSearchParams() } : { path: local.slice(0, end), query: new URLSearchParams(local.slice(end + 1)) }
}
