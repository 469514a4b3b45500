/**
 * Whether a failed stage may be tried again. Retries multiply load just when there is too much of it,
 * so they are paid for by first attempts.
 */
export abstract class RetryPolicy {
  abstract recordFirstAttempt (role: string): void
  /** Takes one retry from the budget; false when none is left. */
  abstract takeRetry (role: string): boolean
}

/** Baseline: as many retries as the deadline allows. */
export class UnlimitedRetries extends RetryPolicy {
  recordFirstAttempt (): void {}

  takeRetry (): boolean {
    return true
  }
}

export interface RetryBudgetOptions {
  /** Retries earned by one first attempt. */
  readonly share?: number
  /** Retries that a role can save up; a function where it follows the number of processes that share them. */
  readonly maxSaved?: number | (() => number)
}

export class RetryBudget extends RetryPolicy {
  private readonly _share: number
  private readonly _getMaxSaved: () => number
  private readonly _saved = new Map<string, number>()

  constructor (options: RetryBudgetOptions = {}) {
    super()
    this._share = options.share ?? 0.1
    const { maxSaved = 10 } = options
    this._getMaxSaved = typeof maxSaved === 'number' ? () => maxSaved : maxSaved
  }

  recordFirstAttempt (role: string): void {
    this._saved.set(role, Math.min(this._getMaxSaved(), this._getSaved(role) + this._share))
  }

  takeRetry (role: string): boolean {
    const saved = this._getSaved(role)
    if (saved < 1) return false
    this._saved.set(role, saved - 1)
    return true
  }

  private _getSaved (role: string): number {
    return this._saved.get(role) ?? this._getMaxSaved()
  }
}
