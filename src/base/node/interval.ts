/**
 * Repeated work of a process, released with its owner.
 */
import { toDisposable } from '../common/disposable.ts'
import type { IDisposable } from '../common/disposable.ts'

/** Runs a function every so many milliseconds. The timer does not keep the process alive. */
export function startInterval (periodMs: number, run: () => void): IDisposable {
  const timer = setInterval(run, periodMs)
  timer.unref()
  return toDisposable(() => clearInterval(timer))
}

/** Waits for some milliseconds. */
export function waitFor (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
