/**
 * What identifies a request. Computed on demand, because hashing the body is expensive and rarely needed.
 */
export interface IRequestIdentity {
  readonly bodyBytes: number
  getDigest (): string
  /** Keys of the parts of its prompt that other requests may share. */
  getPartKeys (): readonly string[]
}
