/**
 * How many lines of each event may be written: a steady rate with room for bursts, so that the volume stays bounded
 * under load and rare events are never crowded out by frequent ones.
 */
import type { IClock } from '../../../base/common/clock.ts'

export interface LineBudgetOptions {
  readonly clock: IClock
  /** Lines of one event each second; failures get more. */
  readonly linesPerSecond?: number
  readonly failureLinesPerSecond?: number
}

/** Lines that were left out. */
export interface LeftOut {
  readonly event: string
  readonly count: number
}

class EventBudget {
  leftOut = 0

  constructor (public tokens: number, public filledAt: number) {}
}

/** A burst of so many seconds' lines is written whole. */
const BURST_S = 4
const DEFAULT_LINES_PER_SECOND = 50
const DEFAULT_FAILURE_LINES_PER_SECOND = 150
const MS_PER_S = 1000

export class LineBudget {
  private readonly _options: LineBudgetOptions
  private readonly _events = new Map<string, EventBudget>()

  constructor (options: LineBudgetOptions) {
    this._options = options
  }

  /** Whether a line may be written now; if not, it is counted. */
  take (event: string, isFailure: boolean): boolean {
    const { clock, linesPerSecond = DEFAULT_LINES_PER_SECOND, failureLinesPerSecond = DEFAULT_FAILURE_LINES_PER_SECOND } = this._options
    const rate = isFailure ? failureLinesPerSecond : linesPerSecond
    const now = clock.now()
    const key = `${event}/${isFailure}`
    const budget = this._events.get(key) ?? new EventBudget(rate * BURST_S, now)
    this._events.set(key, budget)
    budget.tokens = Math.min(rate * BURST_S, budget.tokens + (now - budget.filledAt) / MS_PER_S * rate)
    budget.filledAt = now
    if (budget.tokens >= 1) {
      budget.tokens--
      return true
    }
    budget.leftOut++
    return false
  }

  /** What was left out since the last time. */
  takeLeftOut (): readonly LeftOut[] {
    const counts: LeftOut[] = []
    for (const [key, budget] of this._events) {
      if (budget.leftOut === 0) continue
      counts.push({ event: key.split('/')[0] ?? '', count: budget.leftOut })
      budget.leftOut = 0
    }
    return counts
  }
}
