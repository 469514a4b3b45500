/**
 * Which plan a job is given to. Plans are asked in the order of the job's prompt, since the first knows best where that
 * was read, and the first that can make the job in time takes it. When none can, it goes where it would be done first.
 *
 * Load differs between halls for seconds: upstreams crash, and prompts are not drawn evenly.
 */

/** A plan, and how the job is put to it. */
export interface PlanChoice {
  /** The hall that the plan is for; empty for the plan of all halls. */
  readonly hall: string
  /** The plan may decline what would be late there. */
  readonly isOffer: boolean
}

/**
 * Plans that a job is offered to. Each forecasts all its jobs for the answer, just when there is most to do, so more
 * halls must not cost more.
 */
const MAX_PLANS = 3
/** Further plans that are searched for a job which its plan gave up. */
const MAX_REFUSALS = 1

export class PlanSearch {
  /** By hall, in how many milliseconds the job would be done there; Infinity where it can't. */
  private readonly _endInMs = new Map<string, number>()
  private _refusals = 0
  private _asked: PlanChoice | undefined

  get asked (): PlanChoice | undefined {
    return this._asked
  }

  /** The next plan to ask. One that has made something for the job keeps it: its results lie in that hall. */
  choose (plans: readonly string[], hasResults: boolean): PlanChoice {
    const held = this._asked?.hall
    if (held !== undefined && hasResults && plans.includes(held)) return this._ask(held, false)
    const [only = ''] = plans
    if (plans.length < 2) return this._ask(only, false)
    const first = plans.slice(0, MAX_PLANS)
    const unasked = first.find(hall => !this._endInMs.has(hall))
    return unasked === undefined ? this._ask(this._findSoonest(first), false) : this._ask(unasked, true)
  }

  /** The plan that was asked does not take the job, which would be done there in so many milliseconds. */
  noteDeclined (endInMs: number): void {
    if (this._asked !== undefined) this._endInMs.set(this._asked.hall, endInMs)
  }

  /** The plan that was asked has given the job up; false when the caller should be told so. */
  noteRefused (plans: readonly string[]): boolean {
    const held = this._asked?.hall
    if (held === undefined || this._refusals >= MAX_REFUSALS || plans.every(hall => hall === held)) return false
    this._refusals++
    // What the others said is as old as the wait in this one.
    this._endInMs.clear()
    this._endInMs.set(held, Infinity)
    return true
  }

  private _ask (hall: string, isOffer: boolean): PlanChoice {
    this._asked = { hall, isOffer }
    return this._asked
  }

  private _findSoonest (plans: readonly string[]): string {
    const endInMs = (hall: string) => this._endInMs.get(hall) ?? Infinity
    return plans.reduce((best, hall) => endInMs(hall) < endInMs(best) ? hall : best)
  }
}
