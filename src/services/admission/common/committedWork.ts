import type { IClock } from '../../../base/common/clock.ts'
import { DecayingCounter } from '../../../base/common/decayingCounter.ts'

/**
 * Number of admitted requests of one customer and priority that have yet to finish a role. Requests that are still in an
 * earlier stage count, since they will need the role before a request that arrives now.
 */
interface CustomerWork {
  readonly customer: string
  readonly priority: number
  readonly weight: number
  readonly count: number
}

/** The work that an admitted request adds to one role. */
export interface WorkItem {
  readonly role: string
  readonly customer: string
  readonly weight: number
  readonly priority: number
  /** Mean duration of its call, in milliseconds. */
  readonly expectedMs: number
}

/** Time constant of the exponential decay of the offered load. */
const LOAD_TIME_CONSTANT_MS = 2000

export class CommittedWork {
  private readonly _workByRole = new Map<string, Map<string, CustomerWork>>()
  /** Milliseconds of calls admitted recently, by role and priority. */
  private readonly _offeredLoads = new Map<string, Map<number, DecayingCounter>>()

  constructor (private readonly _clock: IClock) {}

  add (item: WorkItem): void {
    const { role, customer, weight, priority } = item
    this._addOfferedLoad(item)
    const entries = this._workByRole.get(role) ?? new Map<string, CustomerWork>()
    this._workByRole.set(role, entries)
    const key = formatKey(customer, priority)
    entries.set(key, { customer, priority, weight, count: (entries.get(key)?.count ?? 0) + 1 })
  }

  remove (role: string, customer: string, priority: number): void {
    const entries = this._workByRole.get(role)
    const key = formatKey(customer, priority)
    const work = entries?.get(key)
    if (entries === undefined || work === undefined) return
    if (work.count <= 1) entries.delete(key)
    else entries.set(key, { ...work, count: work.count - 1 })
  }

  /**
   * Estimates how many calls are served before the call of a new request: all calls of higher priority and, within its own
   * priority, those that the fair queue serves first. These are all calls of the same customer and, from every other customer,
   * as many as its weight entitles it to by the time the new call is served.
   */
  countAhead (role: string, customer: string, weight: number, priority: number): number {
    const entries = this._workByRole.get(role)
    if (entries === undefined) return 0
    const ownCount = entries.get(formatKey(customer, priority))?.count ?? 0
    let aheadCount = ownCount
    for (const work of entries.values()) {
      if (work.priority > priority) aheadCount += work.count
      else if (work.priority === priority && work.customer !== customer) aheadCount += Math.min(work.count, (ownCount + 1) * work.weight / weight)
    }
    return aheadCount
  }

  /** Average number of open calls of higher priority, estimated from the load that was admitted recently. */
  estimateHigherPriorityCalls (role: string, priority: number): number {
    let loadMs = 0
    for (const [otherPriority, load] of this._offeredLoads.get(role) ?? []) if (otherPriority > priority) loadMs += load.value
    return loadMs / LOAD_TIME_CONSTANT_MS
  }

  private _addOfferedLoad (item: WorkItem): void {
    const loadByPriority = this._offeredLoads.get(item.role) ?? new Map<number, DecayingCounter>()
    this._offeredLoads.set(item.role, loadByPriority)
    const load = loadByPriority.get(item.priority) ?? new DecayingCounter(this._clock, LOAD_TIME_CONSTANT_MS)
    loadByPriority.set(item.priority, load)
    load.add(item.expectedMs)
  }

  /** Number of admitted requests that have yet to finish the role. */
  countForRole (role: string): number {
    let count = 0
    for (const work of this._workByRole.get(role)?.values() ?? []) count += work.count
    return count
  }
}

function formatKey (customer: string, priority: number): string {
  return `${priority}/${customer}`
}
