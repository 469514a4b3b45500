/**
 * Decides whether a failed stage may be retried. Retries add load when the system is already overloaded, so their number
 * is limited in proportion to the first attempts.
 */
export abstract class RetryPolicy {
  abstract recordFirstAttempt (role: string): void
  /** Consumes one retry of the budget. Returns false if none is left. */
  abstract tryAcquireRetry (role: string): boolean
}

/** Baseline for comparison: allows as many retries as fit within the deadline. */
export class UnlimitedRetries extends RetryPolicy {
  recordFirstAttempt (): void {}

  tryAcquireRetry (): boolean {
    return true
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

  tryAcquireRetry (role: string): boolean {
    const balance = this._getBalance(role)
    if (balance < 1) return false
    this._balances.set(role, balance - 1)
    return true
  }

  private _getBalance (role: string): number {
    return this._balances.get(role) ?? this._getMaxBalance()
  }
}
