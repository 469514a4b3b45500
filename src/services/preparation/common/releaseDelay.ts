/**
 * Computes how long results are kept after the request that uses them was sent. Upstreams fetch inputs when a request
 * arrives, long before its first event, and do not report the end of the fetch; keeping results until the first event would
 * waste scarce result capacity. The delay is therefore derived from the size, and increases if an upstream finds inputs missing.
 */

const BASE_MS = 40
/** Lower than the bandwidth of links between upstreams. */
const BYTES_PER_MS = 250_000
const GROWTH_FACTOR = 3
const MAX_FACTOR = 30
/** Halves the factor after 200 requests without missing inputs. */
const DECAY_PER_REQUEST = 0.5 ** (1 / 200)

export class ReleaseDelay {
  private _factor = 1

  computeDelayMs (bytes: number): number {
    return (BASE_MS + bytes / BYTES_PER_MS) * this._factor
  }

  /** Records that a request found its inputs. */
  recordSuccess (): void {
    this._factor = Math.max(1, this._factor * DECAY_PER_REQUEST)
  }

  /** Records that an upstream did not find inputs that were already released. */
  recordMissing (): void {
    this._factor = Math.min(MAX_FACTOR, this._factor * GROWTH_FACTOR)
  }
}
