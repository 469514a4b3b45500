/**
 * Ownership of resources that must be released: sockets, timers, subscriptions.
 */

export interface IDisposable {
  dispose (): void
}

/** Wraps a function as a disposable that calls it at most once. */
export function toDisposable (release: () => void): IDisposable {
  let released = false
  return {
    dispose () {
      if (released) return
      released = true
      release()
    }
  }
}

/** Owns a set of disposables and disposes of them together, the newest first. */
export class DisposableStore implements IDisposable {
  private readonly _items = new Set<IDisposable>()
  private _isDisposed = false

  get isDisposed (): boolean {
    return this._isDisposed
  }

  /** Takes ownership of an item; one added after disposal of the store is disposed of at once. */
  add<T extends IDisposable>(item: T): T {
    if (this._isDisposed) item.dispose()
    else this._items.add(item)
    return item
  }

  /** Removes an item and disposes of it. */
  delete (item: IDisposable): void {
    if (this._items.delete(item)) item.dispose()
  }

  dispose (): void {
    if (this._isDisposed) return
    this._isDisposed = true
    for (const item of [...this._items].reverse()) item.dispose()
    this._items.clear()
  }
}

/** Base class of classes that own disposables. */
export abstract class Disposable implements IDisposable {
  private readonly _store = new DisposableStore()

  protected get _isDisposed (): boolean {
    return this._store.isDisposed
  }

  protected _register<T extends IDisposable>(item: T): T {
    return this._store.add(item)
  }

  protected _release (item: IDisposable): void {
    this._store.delete(item)
  }

  dispose (): void {
    this._store.dispose()
  }
}
