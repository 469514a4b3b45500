/**
 * Work that was taken in and has not passed a role yet, by customer. Work still in an earlier stage counts,
 * since it will ask for the role before a request that comes in now.
 */
interface CustomerWork {
  readonly weight: number
  readonly count: number
}

export class CommittedWork {
  private readonly _roles = new Map<string, Map<string, CustomerWork>>()

  add (role: string, customer: string, weight: number): void {
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

  /** All committed work of a role. */
  countRole (role: string): number {
    let count = 0
    for (const work of this._roles.get(role)?.values() ?? []) count += work.count
    return count
  }
}
