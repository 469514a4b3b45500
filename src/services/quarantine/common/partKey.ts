/**
 * Keys of parts of prompts. They differ from the digests of requests, and are used beside them.
 */

const PREFIX = 'part/'

export function formatPartKey (id: string): string {
  return `${PREFIX}${id}`
}

/** Returns the id of the part; undefined for the digest of a request. */
export function parsePartKey (key: string): string | undefined {
  return key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined
}

export function isPartKey (key: string): boolean {
  return key.startsWith(PREFIX)
}
