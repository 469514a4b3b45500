/**
 * Chooses the plan for a job. Plans are tried in an order derived from the job's prompt, since the first one most likely
 * knows which upstreams have it cached. The first plan that can complete the job in time accepts it; if none can, the job
 * goes to the one with the earliest forecast completion.
 *
 * The load of halls can differ for seconds, because of crashed upstreams and unevenly distributed prompts.
 */

export interface PlanChoice {
  /** The hall of the plan; empty for a plan of all halls. */
  readonly hall: string
  /** The plan may decline the job if it would miss its goal there. */
  readonly isOffer: boolean
}

/**
 * Maximum number of plans that a job is offered to. Each plan forecasts all its jobs to answer an offer, and most offers
 * are made under high load, so the cost must not grow with the number of halls.
 */
const MAX_OFFERS = 3
/** How often the search starts again after the chosen plan refused the job. */
const MAX_RETRIES_AFTER_REFUSAL = 1

export class PlanSearch {
  /** Forecast completion time by hall, from now; Infinity where the job cannot run. */
  private readonly _completionMs = new Map<string, number>()
  private _refusalCount = 0
  private _current: PlanChoice | undefined

  get currentChoice (): PlanChoice | undefined {
    return this._current
  }

  /** Returns the plans that a later try of the same caller is offered to before it reaches the current one. */
  listEarlierPlans (plans: readonly string[]): readonly string[] {
    const index = plans.indexOf(this._current?.hall ?? '')
    return plans.slice(0, Math.min(MAX_OFFERS, Math.max(0, index)))
  }

  /** Returns the next plan to try. A plan that has computed results for the job keeps it, since its hall holds them. */
  choose (plans: readonly string[], hasComputedResults: boolean): PlanChoice {
    const currentHall = this._current?.hall
    if (currentHall !== undefined && hasComputedResults && plans.includes(currentHall)) return this._setCurrent(currentHall, false)
    const [firstHall = ''] = plans
    if (plans.length < 2) return this._setCurrent(firstHall, false)
    const candidates = plans.slice(0, MAX_OFFERS)
    const nextHall = candidates.find(hall => !this._completionMs.has(hall))
    return nextHall === undefined ? this._setCurrent(this._findEarliest(candidates), false) : this._setCurrent(nextHall, true)
  }

  /** Records that the chosen plan declined the job, and its forecast completion time. */
  recordDecline (endInMs: number): void {
    if (this._current !== undefined) this._completionMs.set(this._current.hall, endInMs)
  }

  /** Records that the chosen plan refused the job. Returns whether to search again; otherwise the refusal is final. */
  recordRefusal (plans: readonly string[]): boolean {
    const refusingHall = this._current?.hall
    if (refusingHall === undefined || this._refusalCount >= MAX_RETRIES_AFTER_REFUSAL || plans.every(hall => hall === refusingHall)) return false
    this._refusalCount++
    // The forecasts of the other plans are outdated by the time that the job spent in this one.
    this._completionMs.clear()
    this._completionMs.set(refusingHall, Infinity)
    return true
  }

  private _setCurrent (hall: string, isOffer: boolean): PlanChoice {
    this._current = { hall, isOffer }
    return this._current
  }

  private _findEarliest (plans: readonly string[]): string {
    const endInMs = (hall: string) => this._completionMs.get(hall) ?? Infinity
    return plans.reduce((best, hall) => endInMs(hall) < endInMs(best) ? hall : best)
  }
}
