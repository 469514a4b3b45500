/**
 * A list of bounded length that overwrites its oldest items.
 */
export class RingBuffer<T> {
  private readonly _items: T[] = []
  private _nextIndex = 0

  constructor (private readonly _capacity: number) {}

  add (item: T): void {
    this._items[this._nextIndex] = item
    this._nextIndex = (this._nextIndex + 1) % this._capacity
  }

  /** Returns the items, oldest first. */
  list (): readonly T[] {
    if (this._items.length < this._capacity) return [...this._items]
    return [...this._items.slice(this._nextIndex), ...this._items.slice(0, this._nextIndex)]
  }
}
