/**
 * Decides whether a failed stage may be retried. Retries add load when the system is already overloaded, so their number
 * is limited in proportion to the first attempts.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { IAttemptArrival } from './attemptArrival.ts'

export abstract class RetryPolicy {
  abstract recordFirstAttempt (role: string): void
  /** Reserves one retry of the budget, if one is left. */
  abstract acquireRetry (role: string): RetryDecision
}

/** A retry that is reserved until it is sent. Disposing gives it back if it was not. */
export class RetryPermit implements IDisposable {
  private _isPending = true

  /** The callback is called once: when the retry is given back, or when it was sent and has arrived or never will. */
  constructor (private readonly _onDidEnd: (isSent: boolean) => void) {}

  /**
   * Called when the retry is written to its upstream. The arrivals are its own and that of the attempt before it: whichever
   * comes last is the one beyond the first.
   */
  recordSent (arrivals: readonly IAttemptArrival[] = []): void {
    if (!this._isPending) return
    this._isPending = false
    this._endAfter(arrivals)
  }

  dispose (): void {
    if (!this._isPending) return
    this._isPending = false
    this._onDidEnd(false)
  }

  private _endAfter (arrivals: readonly IAttemptArrival[]): void {
    const open = arrivals.find(arrival => !arrival.isSettled)
    if (open === undefined) this._onDidEnd(true)
    else open.onDidSettle(() => this._endAfter(arrivals))
  }
}

/** Whether a retry was granted, and the state of the budget that decided it. */
export interface RetryDecision {
  /** Undefined if the budget refused. */
  readonly permit: RetryPermit | undefined
  /** Retries that count against the budget, without this one. */
  readonly usedCount: number
  /** Those of them that are not known to have arrived at their upstreams. */
  readonly openCount?: number
  /** Retries that the budget allowed, a fraction of one included. */
  readonly allowedCount: number
  /** This process's share of the retries that the fleet may make; undefined if the budget is not shared. */
  readonly share?: RetryShare
}

/** A node's share of the retries that all nodes together may make. */
export interface RetryShare {
  /** Retries in a window regardless of the number of first attempts. */
  readonly baseRetries: number
  /** The nodes among which these are divided. */
  readonly nodeCount: number
}

/** Baseline for comparison: allows as many retries as fit within the deadline. */
export class UnlimitedRetries extends RetryPolicy {
  recordFirstAttempt (): void {}

  acquireRetry (): RetryDecision {
    return { permit: new RetryPermit(() => {}), usedCount: 0, allowedCount: Infinity }
  }
}

export interface RetryBudgetOptions {
  /** Retries added to the budget by one first attempt. */
  readonly retryRatio?: number
  /** The most retries that a role can accumulate; a function if this depends on the number of processes that share them. */
  readonly maxBalance?: number | (() => number)
}

export class RetryBudget extends RetryPolicy {
  private readonly _retryRatio: number
  private readonly _getMaxBalance: () => number
  private readonly _balances = new Map<string, number>()

  constructor (options: RetryBudgetOptions = {}) {
    super()
    this._retryRatio = options.retryRatio ?? 0.1
    const { maxBalance = 10 } = options
    this._getMaxBalance = typeof maxBalance === 'number' ? () => maxBalance : maxBalance
  }

  recordFirstAttempt (role: string): void {
    this._balances.set(role, Math.min(this._getMaxBalance(), this._getBalance(role) + this._retryRatio))
  }

  acquireRetry (role: string): RetryDecision {
    const balance = this._getBalance(role)
    if (balance < 1) return { permit: undefined, usedCount: 0, allowedCount: balance }
    this._balances.set(role, balance - 1)
    const permit = new RetryPermit(isSent => {
      if (!isSent) this._balances.set(role, Math.min(this._getMaxBalance(), this._getBalance(role) + 1))
    })
    return { permit, usedCount: 0, allowedCount: balance }
  }

  private _getBalance (role: string): number {
    return this._balances.get(role) ?? this._getMaxBalance()
  }
}
