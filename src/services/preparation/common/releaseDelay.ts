/**
 * How long results are held after the request that takes them was sent. Upstreams fetch their inputs when a request
 * arrives, long before its first event, and room for results is scarce; nothing tells when the fetch is over. So the
 * delay follows the size, and grows when an upstream finds results gone.
 */

const BASE_MS = 40
/** Below what links between upstreams carry. */
const BYTES_PER_MS = 250_000
const GROWTH = 3
const MAX_FACTOR = 30
/** After so many requests without a miss the delay is back to half. */
const DECAY = 0.5 ** (1 / 200)

export class ReleaseDelay {
  private _factor = 1

  compute (bytes: number): number {
    return (BASE_MS + bytes / BYTES_PER_MS) * this._factor
  }

  /** A request had its inputs. */
  noteTaken (): void {
    this._factor = Math.max(1, this._factor * DECAY)
  }

  /** An upstream did not find inputs that were released. */
  noteMissing (): void {
    this._factor = Math.min(MAX_FACTOR, this._factor * GROWTH)
  }
}
