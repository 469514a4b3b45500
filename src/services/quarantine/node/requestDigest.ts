/**
 * Computes a digest that is identical for all attempts of one request. Request ids, deadlines and trace headers differ between
 * attempts and are left out; target, customer and body do not differ.
 */
import { hashParts } from '../../../base/node/digest.ts'

export interface DigestInput {
  readonly method: string
  readonly host: string
  /** Path and query, as sent. */
  readonly target: string
  readonly customer: string | undefined
  readonly body: Uint8Array
}

/** Hexadecimal digits, 128 bits: a caller cannot construct a request with the digest of another's request. */
const DIGEST_DIGITS = 32

export function digestRequest ({ method, host, target, customer = '', body }: DigestInput): string {
  return hashParts([method, host, target, customer, body]).slice(0, DIGEST_DIGITS)
}
