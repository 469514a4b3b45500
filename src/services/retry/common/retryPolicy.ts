/**
 * Decides whether a failed stage may be retried. Retries add load when the system is already overloaded, so their number
 * is limited in proportion to the first attempts.
 */
export abstract class RetryPolicy {
  abstract recordFirstAttempt (role: string): void
  /** Consumes one retry of the budget, if one is left. */
  abstract acquireRetry (role: string): RetryDecision
}

/** Whether a retry was granted, and the state of the budget that decided it. */
export interface RetryDecision {
  readonly isGranted: boolean
  /** Retries that count against the budget, without this one. */
  readonly usedCount: number
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
  /** Whether all nodes have run and seen each other for a window, so that callers of none have come to others. */
  readonly isFleetStable: boolean
  /** The fraction of the ratio that a first attempt earns now. */
  readonly earningFactor: number
  /**
   * The fraction that first attempts earn beyond their number while the fleet was stable. Callers of lost nodes come to the
   * others, while the retries that were earned with the lost nodes still count in the window.
   */
  readonly addedEarningFactor: number
}

/** Baseline for comparison: allows as many retries as fit within the deadline. */
export class UnlimitedRetries extends RetryPolicy {
  recordFirstAttempt (): void {}

  acquireRetry (): RetryDecision {
    return { isGranted: true, usedCount: 0, allowedCount: Infinity }
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
    const isGranted = balance >= 1
    if (isGranted) this._balances.set(role, balance - 1)
    return { isGranted, usedCount: 0, allowedCount: balance }
  }

  private _getBalance (role: string): number {
    return this._balances.get(role) ?? this._getMaxBalance()
  }
}
