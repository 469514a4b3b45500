/**
 * How every HTTP client and server of the system parses messages.
 */
import type { IncomingMessage } from 'node:http'

/**
 * Overrides `--insecure-http-parser` in the environment: a lenient parser ends a head at a lone CR or LF before a field's name,
 * so the fields after it become the body, and it drops a blank before the first name.
 */
export const STRICT_PARSING = { insecureHTTPParser: false } as const

/** Whether a body follows the head of a request. */
export function hasBody ({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
