/**
 * In-process events.
 */
import { toDisposable } from './disposable.ts'
import type { IDisposable } from './disposable.ts'

/** Registers a listener; disposing of the result removes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable

/** Owns the listeners of an event and fires it. */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = (listener) => {
    this._listeners.add(listener)
    return toDisposable(() => { this._listeners.delete(listener) })
  }

  get hasListeners (): boolean {
    return this._listeners.size > 0
  }

  fire (value: T): void {
    for (const listener of [...this._listeners]) listener(value)
  }

  dispose (): void {
    this._listeners.clear()
  }
}
