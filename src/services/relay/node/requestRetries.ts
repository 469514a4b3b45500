/**
 * The retries of one request: takes each one from the budget of its role and tells the log what the budget decided.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { IAttemptArrival } from '../../retry/common/attemptArrival.ts'
import type { RetryDecision, RetryPermit, RetryPolicy } from '../../retry/common/retryPolicy.ts'
import type { LogFields } from '../../log/node/logger.ts'
import { isWithheld } from '../common/attemptDecision.ts'
import type { AttemptDecision, AttemptOutcome } from '../common/attemptDecision.ts'

export interface RequestRetriesOptions {
  readonly policy: RetryPolicy
  readonly role: string
  /** False once no attempt may follow: the request was aborted, or this node is stopping. */
  readonly maySend: () => boolean
}

/** What follows an attempt: the decision, and whether the budget allows the further attempt that it asks for. */
export interface NextAttempt {
  readonly decision: AttemptDecision
  readonly isAllowed: boolean
  /** The budget's decision; undefined if it was not asked. */
  readonly budget?: RetryDecision
}

export class RequestRetries implements IDisposable {
  private readonly _options: RequestRetriesOptions
  /** Retries that were granted and are not sent, the oldest first. There are two if an attempt stalls before it was written. */
  private _permits: readonly RetryPermit[] = []
  /** That of the attempt that was written last. */
  private _lastArrival: IAttemptArrival | undefined

  constructor (options: RequestRetriesOptions) {
    this._options = options
  }

  get maySend (): boolean {
    return this._options.maySend()
  }

  recordFirstAttempt (): void {
    this._options.policy.recordFirstAttempt(this._options.role)
  }

  /**
   * Takes a retry from the budget if the decision needs one. An attempt that was never written did not reach an upstream, so
   * that the one after it costs nothing.
   */
  acquire (decision: AttemptDecision, outcome: AttemptOutcome): NextAttempt {
    const { policy, role, maySend } = this._options
    if (!isFurtherAttempt(decision) || !maySend()) return { decision, isAllowed: false }
    if (isWithheld(outcome) || (outcome.kind === 'notRun' && outcome.reason === 'unreachable')) return { decision, isAllowed: true }
    const budget = policy.acquireRetry(role)
    if (budget.permit !== undefined) this._permits = [...this._permits, budget.permit]
    return { decision, isAllowed: budget.permit !== undefined, budget }
  }

  /** Called when an attempt is written to its upstream. The first one that is needs no retry. */
  recordSent (arrival: IAttemptArrival): void {
    if (this._lastArrival !== undefined) {
      const [permit, ...others] = this._permits
      this._permits = others
      permit?.recordSent([this._lastArrival, arrival])
    }
    this._lastArrival = arrival
  }

  /** Gives back the retry that was granted last, if it was not sent. */
  releaseUnsent (): void {
    this._permits.at(-1)?.dispose()
    this._permits = this._permits.slice(0, -1)
  }

  dispose (): void {
    for (const permit of this._permits) permit.dispose()
    this._permits = []
  }
}

/** Log fields about a further attempt: whether it is made, and what the budget allowed and had granted before. */
export function describeNextAttempt ({ decision, isAllowed, budget }: NextAttempt): LogFields {
  if (!isFurtherAttempt(decision)) return { next: decision.kind }
  if (budget === undefined) return isAllowed ? { next: decision.kind, budget: 'free' } : { next: 'end' }
  return {
    next: isAllowed ? decision.kind : 'end',
    budget: isAllowed ? 'granted' : 'refused',
    retries_used: budget.usedCount,
    ...budget.openCount === undefined ? {} : { retries_open: budget.openCount },
    retries_allowed: formatCount(budget.allowedCount),
    ...budget.share === undefined ? {} : { retries_base: formatCount(budget.share.baseRetries), retry_nodes: budget.share.nodeCount }
  }
}

function formatCount (count: number): number {
  return Number(count.toFixed(2))
}

function isFurtherAttempt ({ kind }: AttemptDecision): boolean {
  return kind === 'retry' || kind === 'prepareAgain'
}
