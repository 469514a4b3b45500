import type { IClock } from '../../../base/common/clock.ts'

/**
 * Work that was taken in and has not passed a role yet, by customer. Work still in an earlier stage counts,
 * since it will ask for the role before a request that comes in now.
 */
interface CustomerWork {
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

interface OfferedLoad {
  readonly ms: number
  readonly at: number
}

/** How fast the offered load forgets. */
const LOAD_MEMORY_MS = 2000

export class CommittedWork {
  private readonly _roles = new Map<string, Map<string, CustomerWork>>()
  private readonly _offered = new Map<string, Map<number, OfferedLoad>>()

  constructor (private readonly _clock: IClock) {}

  add (item: WorkItem): void {
    const { role, customer, weight } = item
    this._addOffered(item)
    const customers = this._roles.get(role) ?? new Map<string, CustomerWork>()
    this._roles.set(role, customers)
    const count = customers.get(customer)?.count ?? 0
    customers.set(customer, { weight, count: count + 1 })
  }

  remove (role: string, customer: string): void {
    const customers = this._roles.get(role)
    const work = customers?.get(customer)
    if (customers === undefined || work === undefined) return
    if (work.count <= 1) customers.delete(customer)
    else customers.set(customer, { ...work, count: work.count - 1 })
  }

  /**
   * How much goes before one more request of the customer when the customers are served in turn by weight:
   * all its own, and of each other customer what its weight earns meanwhile.
   */
  countAhead (role: string, customer: string, weight: number): number {
    const customers = this._roles.get(role)
    if (customers === undefined) return 0
    const own = customers.get(customer)?.count ?? 0
    let ahead = own
    for (const [name, work] of customers) {
      if (name !== customer) ahead += Math.min(work.count, (own + 1) * work.weight / weight)
    }
    return ahead
  }

  /** Calls of higher priority that are open on average, judged by what was taken in lately. */
  countOfferedAbove (role: string, priority: number): number {
    const now = this._clock.now()
    let ms = 0
    for (const [other, load] of this._offered.get(role) ?? []) if (other > priority) ms += computeFaded(load, now)
    return ms / LOAD_MEMORY_MS
  }

  private _addOffered (item: WorkItem): void {
    const now = this._clock.now()
    const loads = this._offered.get(item.role) ?? new Map<number, OfferedLoad>()
    this._offered.set(item.role, loads)
    const known = loads.get(item.priority)
    loads.set(item.priority, { ms: (known === undefined ? 0 : computeFaded(known, now)) + item.usualMs, at: now })
  }

  /** All committed work of a role. */
  countRole (role: string): number {
    let count = 0
    for (const work of this._roles.get(role)?.values() ?? []) count += work.count
    return count
  }
}

function computeFaded (load: OfferedLoad, now: number): number {
  return load.ms * Math.exp((load.at - now) / LOAD_MEMORY_MS)
}
