/**
 * Hashes and random identifiers.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'

/** SHA-256 as 64 hexadecimal digits. */
export function hashSha256 (text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Random bytes as hexadecimal digits. */
export function createRandomId (byteCount: number): string {
  return randomBytes(byteCount).toString('hex')
}

/** Compares two hexadecimal digests in a time that does not depend on where they differ. */
export function isSameDigest (a: string, b: string): boolean {
  const left = Buffer.from(a, 'hex')
  const right = Buffer.from(b, 'hex')
  return left.length === right.length && timingSafeEqual(left, right)
}
