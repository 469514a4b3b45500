/**
 * A list of bounded length that forgets its oldest items.
 */
export class RingBuffer<T> {
  private readonly _items: T[] = []
  private _next = 0

  constructor (private readonly _capacity: number) {}

  add (item: T): void {
    this._items[this._next] = item
    this._next = (this._next + 1) % this._capacity
  }

  /** The items, oldest first. */
  list (): readonly T[] {
    if (this._items.length < this._capacity) return [...this._items]
    return [...this._items.slice(this._next), ...this._items.slice(0, this._next)]
  }
}
