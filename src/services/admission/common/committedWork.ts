import type { IClock } from '../../../base/common/clock.ts'
import { DecayingCount } from '../../../base/common/decayingCount.ts'

/**
 * Work that was taken in and has not passed a role yet, by customer. Work still in an earlier stage counts,
 * since it will ask for the role before a request that comes in now.
 */
interface CustomerWork {
  readonly customer: string
  readonly priority: number
  readonly weight: number
  readonly count: number
}

/** What is taken in for a role. */
export interface WorkItem {
  readonly role: string
  readonly customer: string
  readonly weight: number
  readonly priority: number
  /** What its call usually takes, in milliseconds. */
  readonly usualMs: number
}

/** How fast the offered load forgets. */
const LOAD_MEMORY_MS = 2000

export class CommittedWork {
  private readonly _roles = new Map<string, Map<string, CustomerWork>>()
  private readonly _offered = new Map<string, Map<number, DecayingCount>>()

  constructor (private readonly _clock: IClock) {}

  add (item: WorkItem): void {
    const { role, customer, weight, priority } = item
    this._addOffered(item)
    const works = this._roles.get(role) ?? new Map<string, CustomerWork>()
    this._roles.set(role, works)
    const key = formatKey(customer, priority)
    works.set(key, { customer, priority, weight, count: (works.get(key)?.count ?? 0) + 1 })
  }

  remove (role: string, customer: string, priority: number): void {
    const works = this._roles.get(role)
    const key = formatKey(customer, priority)
    const work = works?.get(key)
    if (works === undefined || work === undefined) return
    if (work.count <= 1) works.delete(key)
    else works.set(key, { ...work, count: work.count - 1 })
  }

  /**
   * How much goes before one more request: all work of higher priority, and of its own priority what the fair queue
   * serves first, which is all of its own customer and of each other customer what its weight earns meanwhile.
   */
  countAhead (role: string, customer: string, weight: number, priority: number): number {
    const works = this._roles.get(role)
    if (works === undefined) return 0
    const own = works.get(formatKey(customer, priority))?.count ?? 0
    let ahead = own
    for (const work of works.values()) {
      if (work.priority > priority) ahead += work.count
      else if (work.priority === priority && work.customer !== customer) ahead += Math.min(work.count, (own + 1) * work.weight / weight)
    }
    return ahead
  }

  /** Calls of higher priority that are open on average, judged by what was taken in lately. */
  countOfferedAbove (role: string, priority: number): number {
    let ms = 0
    for (const [other, load] of this._offered.get(role) ?? []) if (other > priority) ms += load.value
    return ms / LOAD_MEMORY_MS
  }

  private _addOffered (item: WorkItem): void {
    const loads = this._offered.get(item.role) ?? new Map<number, DecayingCount>()
    this._offered.set(item.role, loads)
    const load = loads.get(item.priority) ?? new DecayingCount(this._clock, LOAD_MEMORY_MS)
    loads.set(item.priority, load)
    load.add(item.usualMs)
  }

  /** All committed work of a role. */
  countRole (role: string): number {
    let count = 0
    for (const work of this._roles.get(role)?.values() ?? []) count += work.count
    return count
  }
}

function formatKey (customer: string, priority: number): string {
  return `${priority}/${customer}`
}
