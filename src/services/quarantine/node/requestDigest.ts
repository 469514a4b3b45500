/**
 * What the tries of one request have in common. Callers give each try an id of its own, and deadlines and trace headers
 * differ between tries as well; where it goes, whose it is and its body do not.
 */
import { hashParts } from '../../../base/node/digest.ts'

export interface RequestIdentity {
  readonly method: string
  readonly host: string
  /** Path and query, as sent. */
  readonly target: string
  readonly customer: string | undefined
  readonly body: Uint8Array
}

/** 128 bits: nobody can make a request that has the digest of another's. */
const DIGEST_DIGITS = 32

export function digestRequest ({ method, host, target, customer = '', body }: RequestIdentity): string {
  return hashParts([method, host, target, customer, body]).slice(0, DIGEST_DIGITS)
}
