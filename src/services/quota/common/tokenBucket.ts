/**
 * A token bucket that limits the requests to one upstream.
 */
export interface RateLimit {
  /** Requests per second. */
  readonly perS: number
  /** The most requests that may be sent at one moment: the capacity of the bucket. */
  readonly burst: number
  /** When the limit ends, in ms on this process's clock; undefined if unknown. */
  readonly expiresAt?: number | undefined
  /** Tokens of a new bucket; 1 by default, and not a whole burst. */
  readonly initialTokens?: number
}

const MS_PER_S = 1000
const DEFAULT_INITIAL_TOKENS = 1
/** Tolerance for floating-point rounding when comparing with one token. */
const EPSILON = 1e-9

export class TokenBucket {
  private _limit: RateLimit
  private _tokens: number
  private _updatedAt: number

  constructor (limit: RateLimit, now: number) {
    this._limit = limit
    this._tokens = Math.min(limit.initialTokens ?? DEFAULT_INITIAL_TOKENS, limit.burst)
    this._updatedAt = now
  }

  setLimit (limit: RateLimit, now: number): void {
    this._addTokens(now)
    this._limit = limit
    this._tokens = Math.min(this._tokens, limit.burst)
  }

  tryAcquire (now: number): boolean {
    this._addTokens(now)
    if (this._tokens < 1 - EPSILON) return false
    this._tokens--
    return true
  }

  /** Returns the time in ms until the next token is available; Infinity if none ever will be. */
  getWaitMs (now: number): number {
    this._addTokens(now)
    const { perS, burst } = this._limit
    if (this._tokens >= 1 - EPSILON) return 0
    return perS <= 0 || burst < 1 ? Infinity : (1 - this._tokens) / perS * MS_PER_S
  }

  private _addTokens (now: number): void {
    const { perS, burst } = this._limit
    this._tokens = Math.min(burst, this._tokens + Math.max(0, now - this._updatedAt) * perS / MS_PER_S)
    this._updatedAt = now
  }
}
