/**
 * Hashes and random identifiers.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'

/** SHA-256 as 64 hexadecimal digits. */
export function hashSha256 (text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex')
}

/** SHA-256 as 64 hexadecimal digits. Each part is prefixed with its length, so that different lists of parts never hash the same input. */
export function hashParts (parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest('hex')
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
