/**
 * Counts events per key within a sliding time window.
 */
export class SlidingWindowCounter {
  private readonly _times = new Map<string, readonly number[]>()

  constructor (private readonly _windowMs: number) {}

  add (key: string, now: number): void {
    this._times.set(key, [...this._listRecent(key, now), now])
  }

  count (key: string, now: number): number {
    return this._listRecent(key, now).length
  }

  remove (key: string): void {
    this._times.delete(key)
  }

  private _listRecent (key: string, now: number): readonly number[] {
    return (this._times.get(key) ?? []).filter(at => now - at < this._windowMs)
  }
}
