/**
 * Stages that wait for a free upstream of their role.
 */

/** A stage that wants an upstream. */
export interface StageTicket {
  readonly requestId: string
  readonly customer: string
  /** The customer's share relative to the others. */
  readonly customerWeight: number
  readonly priority: number
  /** On this process's clock. */
  readonly deadlineAt: number
  readonly role: string
  /** Pipeline and stage; stages of one key take alike. */
  readonly stageKey: string
  readonly model: string
  readonly prefixKey: string
  /** Upstreams that this stage was tried at already. */
  readonly tried: ReadonlySet<string>
}

export abstract class StageQueue {
  abstract get size (): number
  abstract add (ticket: StageTicket): void
  abstract remove (ticket: StageTicket): void
  /** The tickets in the order in which they should be served now. */
  abstract list (): readonly StageTicket[]
  /** Takes in that a ticket was served, and what its service costs. */
  abstract recordServed (ticket: StageTicket, cost: number): void
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
 * Priority first; within a priority the customer that has had least for its weight, and of one customer
 * the earliest deadline. A customer that was idle starts level with the least served, so it saves nothing up.
 */
export class FairQueue extends StageQueue {
  private readonly _tickets = new Set<StageTicket>()
  /** Cost served so far, over weight, by customer. */
  private readonly _served = new Map<string, number>()
  private readonly _waitingCounts = new Map<string, number>()
  /** The served cost of the customer that was served last: the level that newcomers start from. */
  private _level = 0

  get size (): number {
    return this._tickets.size
  }

  add (ticket: StageTicket): void {
    const waiting = this._waitingCounts.get(ticket.customer) ?? 0
    if (waiting === 0) this._served.set(ticket.customer, Math.max(this._getServed(ticket.customer), this._level))
    this._waitingCounts.set(ticket.customer, waiting + 1)
    this._tickets.add(ticket)
  }

  remove (ticket: StageTicket): void {
    if (!this._tickets.delete(ticket)) return
    const waiting = (this._waitingCounts.get(ticket.customer) ?? 1) - 1
    if (waiting === 0) this._waitingCounts.delete(ticket.customer)
    else this._waitingCounts.set(ticket.customer, waiting)
  }

  list (): readonly StageTicket[] {
    return [...this._tickets].sort((a, b) => this._compare(a, b))
  }

  recordServed (ticket: StageTicket, cost: number): void {
    const before = this._getServed(ticket.customer)
    this._level = Math.max(this._level, before)
    this._served.set(ticket.customer, before + cost / ticket.customerWeight)
  }

  private _compare (a: StageTicket, b: StageTicket): number {
    if (a.priority !== b.priority) return b.priority - a.priority
    if (a.customer === b.customer) return a.deadlineAt - b.deadlineAt
    return this._getServed(a.customer) - this._getServed(b.customer) || a.deadlineAt - b.deadlineAt
  }

  private _getServed (customer: string): number {
    return this._served.get(customer) ?? 0
  }
}
