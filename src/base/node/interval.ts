/**
 * Timers for periodic work and for waiting.
 */
import { performance } from 'node:perf_hooks'
import { toDisposable } from '../common/disposable.ts'
import type { IDisposable } from '../common/disposable.ts'

/** Periods that are multiples of this share one timer. */
const TICK_MS = 50

interface PeriodicTask {
  readonly periodMs: number
  readonly run: () => void
}

/**
 * Runs periodic tasks in common wake-ups. With a timer for each of its 20 tasks, an idle node woke up some 50 times a second,
 * and each wake-up costs two system calls.
 */
class IntervalTicker {
  /** Times at which the tasks are due. */
  private readonly _tasks = new Map<PeriodicTask, number>()
  private _timer: NodeJS.Timeout | undefined

  add (periodMs: number, run: () => void): IDisposable {
    const task: PeriodicTask = { periodMs, run }
    this._tasks.set(task, performance.now() + periodMs)
    this._timer ??= setInterval(() => this._runDueTasks(), TICK_MS).unref()
    return toDisposable(() => this._delete(task))
  }

  private _runDueTasks (): void {
    const now = performance.now()
    for (const [task, dueAt] of this._tasks) {
      // A task runs at the first tick that is not before its time, up to TICK_MS late.
      if (now < dueAt) continue
      // After a pause of the process, missed runs are left out.
      this._tasks.set(task, Math.max(dueAt, now - TICK_MS) + task.periodMs)
      task.run()
    }
  }

  private _delete (task: PeriodicTask): void {
    this._tasks.delete(task)
    if (this._tasks.size > 0) return
    clearInterval(this._timer)
    this._timer = undefined
  }
}

const ticker = new IntervalTicker()

/** Runs a function periodically until disposed of. The timer does not keep the process alive. */
export function startInterval (periodMs: number, run: () => void): IDisposable {
  if (periodMs > 0 && periodMs % TICK_MS === 0) return ticker.add(periodMs, run)
  const timer = setInterval(run, periodMs)
  timer.unref()
  return toDisposable(() => clearInterval(timer))
}

export function waitFor (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
