/**
 * How every HTTP client and server of the system parses messages.
 */

/**
 * Overrides `--insecure-http-parser` in the environment: a lenient parser ends a head at a lone CR or LF before a field's name,
 * so the fields after it become the body, and it drops a blank before the first name.
 */
export const STRICT_PARSING = { insecureHTTPParser: false } as const
