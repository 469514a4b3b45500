/**
 * The loads that upstreams stated to this node, by upstream. They are hints for this node's own choices and are not shared.
 */
import { MAX_STATEMENT_AGE_MS, StatedSlowness } from './statedLoad.ts'
import type { StatedLoad } from './statedLoad.ts'

interface LoadRecord {
  readonly load: StatedLoad
  readonly receivedAt: number
  /** Undefined until the upstream states its slowness. */
  readonly slowness: StatedSlowness | undefined
}

export class StatedLoads {
  private readonly _records = new Map<string, LoadRecord>()

  /** A load without a slowness leaves an earlier one to decay, since an upstream may not state it with every kind of answer. */
  record (upstream: string, load: StatedLoad, now: number): void {
    let slowness = this._records.get(upstream)?.slowness
    if (load.slowness !== undefined) {
      slowness ??= new StatedSlowness()
      slowness.record(load.slowness, now)
    }
    this._records.set(upstream, { load, receivedAt: now, slowness })
  }

  /** Returns the last load, whatever its age. */
  find (upstream: string): StatedLoad | undefined {
    return this._records.get(upstream)?.load
  }

  /** Returns the last load unless it is too old to be of use. */
  findRecent (upstream: string, now: number): StatedLoad | undefined {
    const record = this._records.get(upstream)
    return record !== undefined && now - record.receivedAt <= MAX_STATEMENT_AGE_MS ? record.load : undefined
  }

  /** Returns the stated slowness at this time; 1 for an upstream that states none. */
  getSlowness (upstream: string, now: number): number {
    return this._records.get(upstream)?.slowness?.get(now) ?? 1
  }

  delete (upstream: string): void {
    this._records.delete(upstream)
  }
}
