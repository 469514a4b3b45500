/**
 * What an upstream says, with an answer, of the rate at which it accepts requests.
 */
export type RateStatement =
  /** Requests per second from all callers together; 0 is allowed. */
  | { readonly kind: 'limited', readonly perS: number }
  /** An answer without a limit: a limit that was stated before no longer holds. */
  | { readonly kind: 'unlimited' }
  /** The value is no rate; nothing changes by it. */
  | { readonly kind: 'invalid', readonly name: string, readonly value: string }

/** A statement, and the boot that made it. */
export interface UpstreamRateStatement {
  readonly upstream: string
  readonly statement: RateStatement
}
