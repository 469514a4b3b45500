/**
 * Rate limit for log lines: a token bucket for each event name, so that the volume of logs stays bounded under load and
 * frequent events do not use up the share of rare ones.
 */
import type { IClock } from '../../../base/common/clock.ts'

export interface LineBudgetOptions {
  readonly clock: IClock
  /** Lines a second of one event; warnings and errors have a higher limit of their own. */
  readonly linesPerSecond?: number
  readonly failureLinesPerSecond?: number
}

/** Lines of one event that were not written. */
export interface DroppedLines {
  readonly event: string
  readonly count: number
}

/** The token bucket of one event. */
class EventBudget {
  droppedCount = 0

  constructor (public tokens: number, public refilledAt: number) {}
}

/** Capacity of a bucket, in seconds of its rate: bursts up to this size are written in full. */
const BURST_S = 4
const DEFAULT_LINES_PER_SECOND = 50
const DEFAULT_FAILURE_LINES_PER_SECOND = 150
const MS_PER_S = 1000

export class LineBudget {
  private readonly _options: LineBudgetOptions
  private readonly _budgets = new Map<string, EventBudget>()

  constructor (options: LineBudgetOptions) {
    this._options = options
  }

  /** Returns whether a line of the event may be written now; counts the line as dropped if not. */
  tryAcquire (event: string, isFailure: boolean): boolean {
    const { clock, linesPerSecond = DEFAULT_LINES_PER_SECOND, failureLinesPerSecond = DEFAULT_FAILURE_LINES_PER_SECOND } = this._options
    const rate = isFailure ? failureLinesPerSecond : linesPerSecond
    const now = clock.now()
    const key = `${event}/${isFailure}`
    const budget = this._budgets.get(key) ?? new EventBudget(rate * BURST_S, now)
    this._budgets.set(key, budget)
    budget.tokens = Math.min(rate * BURST_S, budget.tokens + (now - budget.refilledAt) / MS_PER_S * rate)
    budget.refilledAt = now
    if (budget.tokens >= 1) {
      budget.tokens--
      return true
    }
    budget.droppedCount++
    return false
  }

  /** Returns the lines dropped since the last call, and resets the counts. */
  collectDroppedLines (): readonly DroppedLines[] {
    const counts: DroppedLines[] = []
    for (const [key, budget] of this._budgets) {
      if (budget.droppedCount === 0) continue
      counts.push({ event: key.split('/')[0] ?? '', count: budget.droppedCount })
      budget.droppedCount = 0
    }
    return counts
  }
}
