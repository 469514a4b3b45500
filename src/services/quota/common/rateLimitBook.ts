/**
 * The rate limits that upstreams state, as far as they are known: for each boot the latest statement, whoever heard it.
 * Statements may arrive twice, late and out of order; the moment at which an answer brought one decides.
 */
export interface HeardRate {
  readonly upstream: string
  /** Requests per second; undefined where the upstream accepts any number. */
  readonly perS: number | undefined
  /** On the process's clock, in milliseconds. */
  readonly heardAt: number
}

/** Boots that are remembered, the oldest forgotten first. */
const MAX_REMEMBERED = 2000

export class RateLimitBook {
  private readonly _heard = new Map<string, HeardRate>()

  /** Takes a statement in; false where a later one of the boot is known. */
  note (heard: HeardRate): boolean {
    const held = this._heard.get(heard.upstream)
    if (held !== undefined && heard.heardAt < held.heardAt) return false
    this._heard.set(heard.upstream, heard)
    if (this._heard.size > MAX_REMEMBERED) for (const oldest of [...this._heard.keys()].slice(0, 1)) this._heard.delete(oldest)
    return true
  }

  get (upstream: string): HeardRate | undefined {
    return this._heard.get(upstream)
  }

  /** Requests per second; undefined where no limit is known. */
  findLimit (upstream: string): number | undefined {
    return this._heard.get(upstream)?.perS
  }

  /** The limits in force. */
  listLimits (): readonly HeardRate[] {
    return [...this._heard.values()].filter(({ perS }) => perS !== undefined)
  }
}
