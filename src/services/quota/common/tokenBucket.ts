/**
 * Requests that may go to one upstream at a rate, with a burst after a pause.
 */
export interface RateLimit {
  /** Requests per second. */
  readonly perS: number
  /** The most that may go at one moment. */
  readonly burst: number
  /** When the limit ends, on the process's clock; undefined where that is not known. */
  readonly until?: number | undefined
}

const MS_PER_S = 1000
/** A bucket that starts anew allows one request at once. */
const FIRST_TOKENS = 1
/** What is left of a token by rounding counts as the whole. */
const EPSILON = 1e-9

export class TokenBucket {
  private _limit: RateLimit
  private _tokens: number
  private _countedAt: number

  constructor (limit: RateLimit, now: number) {
    this._limit = limit
    this._tokens = Math.min(FIRST_TOKENS, limit.burst)
    this._countedAt = now
  }

  setLimit (limit: RateLimit, now: number): void {
    this._refresh(now)
    this._limit = limit
    this._tokens = Math.min(this._tokens, limit.burst)
  }

  take (now: number): boolean {
    this._refresh(now)
    if (this._tokens < 1 - EPSILON) return false
    this._tokens--
    return true
  }

  /** How long until one more request may go; Infinity where none ever may. */
  getWaitMs (now: number): number {
    this._refresh(now)
    const { perS, burst } = this._limit
    if (this._tokens >= 1 - EPSILON) return 0
    return perS <= 0 || burst < 1 ? Infinity : (1 - this._tokens) / perS * MS_PER_S
  }

  private _refresh (now: number): void {
    const { perS, burst } = this._limit
    this._tokens = Math.min(burst, this._tokens + Math.max(0, now - this._countedAt) * perS / MS_PER_S)
    this._countedAt = now
  }
}
