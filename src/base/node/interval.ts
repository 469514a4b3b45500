/**
 * Timers for periodic work and for waiting.
 */
import { toDisposable } from '../common/disposable.ts'
import type { IDisposable } from '../common/disposable.ts'

/** Runs a function periodically until disposed of. The timer does not keep the process alive. */
export function startInterval (periodMs: number, run: () => void): IDisposable {
  const timer = setInterval(run, periodMs)
  timer.unref()
  return toDisposable(() => clearInterval(timer))
}

export function waitFor (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
