/**
 * Queues of stages that wait for a free upstream of their role.
 */

/** The request of one stage for an upstream. */
export interface StageTicket {
  readonly requestId: string
  readonly customer: string
  /** The customer's weight relative to other customers in fair queueing. */
  readonly customerWeight: number
  readonly priority: number
  /** On this process's clock, in milliseconds. */
  readonly deadlineAt: number
  readonly role: string
  /** Pipeline and stage; calls of one key are expected to take about the same time. */
  readonly stageKey: string
  /** Empty when the stage needs no particular model. */
  readonly model: string
  readonly prefixKey: string
  /** Names of the upstreams at which an attempt at this stage has already failed. */
  readonly triedUpstreams: ReadonlySet<string>
}

export abstract class StageQueue {
  abstract get size (): number
  abstract add (ticket: StageTicket): void
  abstract remove (ticket: StageTicket): void
  /** The tickets in the order in which they should be served now. */
  abstract list (): readonly StageTicket[]
  /** Records that a ticket was granted an upstream, and the cost of serving it. */
  abstract recordServed (ticket: StageTicket, costMs: number): void
}

/** Baseline: first come, first served. */
export class FifoQueue extends StageQueue {
  private readonly _tickets = new Set<StageTicket>()

  get size (): number {
    return this._tickets.size
  }

  add (ticket: StageTicket): void {
    this._tickets.add(ticket)
  }

  remove (ticket: StageTicket): void {
    this._tickets.delete(ticket)
  }

  list (): readonly StageTicket[] {
    return [...this._tickets]
  }

  recordServed (): void {}
}

/**
 * Weighted fair queue. Orders tickets by priority, then by the cost already served to their customer relative to its weight
 * (lowest first), and within one customer by deadline (earliest first). A customer that returns from idle starts at the
 * current virtual time, so that it accumulates no credit while it is idle.
 */
export class FairQueue extends StageQueue {
  private readonly _tickets = new Set<StageTicket>()
  /** Cost served so far divided by weight, by customer. */
  private readonly _weightedCosts = new Map<string, number>()
  private readonly _waitingCounts = new Map<string, number>()
  /** The highest weighted cost that a customer had when it was served; new and returning customers start from it. */
  private _virtualTime = 0

  get size (): number {
    return this._tickets.size
  }

  add (ticket: StageTicket): void {
    const waitingCount = this._waitingCounts.get(ticket.customer) ?? 0
    if (waitingCount === 0) this._weightedCosts.set(ticket.customer, Math.max(this._getWeightedCost(ticket.customer), this._virtualTime))
    this._waitingCounts.set(ticket.customer, waitingCount + 1)
    this._tickets.add(ticket)
  }

  remove (ticket: StageTicket): void {
    if (!this._tickets.delete(ticket)) return
    const waitingCount = (this._waitingCounts.get(ticket.customer) ?? 1) - 1
    if (waitingCount === 0) this._waitingCounts.delete(ticket.customer)
    else this._waitingCounts.set(ticket.customer, waitingCount)
  }

  list (): readonly StageTicket[] {
    return [...this._tickets].sort((a, b) => this._compare(a, b))
  }

  recordServed (ticket: StageTicket, costMs: number): void {
    const weightedCost = this._getWeightedCost(ticket.customer)
    this._virtualTime = Math.max(this._virtualTime, weightedCost)
    this._weightedCosts.set(ticket.customer, weightedCost + costMs / ticket.customerWeight)
  }

  private _compare (a: StageTicket, b: StageTicket): number {
    if (a.priority !== b.priority) return b.priority - a.priority
    if (a.customer === b.customer) return a.deadlineAt - b.deadlineAt
    return this._getWeightedCost(a.customer) - this._getWeightedCost(b.customer) || a.deadlineAt - b.deadlineAt
  }

  private _getWeightedCost (customer: string): number {
    return this._weightedCosts.get(customer) ?? 0
  }
}
