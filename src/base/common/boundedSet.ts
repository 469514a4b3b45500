/**
 * A set of bounded size that evicts its oldest value first.
 */
export class BoundedSet<T> {
  private readonly _values = new Set<T>()

  constructor (private readonly _maxSize: number) {}

  has (value: T): boolean {
    return this._values.has(value)
  }

  delete (value: T): void {
    this._values.delete(value)
  }

  clear (): void {
    this._values.clear()
  }

  add (value: T): void {
    this._values.add(value)
    if (this._values.size <= this._maxSize) return
    const oldest = this._values.values().next()
    if (oldest.done !== true) this._values.delete(oldest.value)
  }
}
