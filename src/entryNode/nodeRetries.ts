/**
 * Sets up the retry budget of a node from its settings and the nodes that share the budget of the fleet.
 */
import type { IClock } from '../base/common/clock.ts'
import type { MembershipTable } from '../services/membership/common/membershipTable.ts'
import type { RetryShare } from '../services/retry/common/retryPolicy.ts'
import { WindowedRetryBudget } from '../services/retry/common/windowedRetryBudget.ts'
import type { NodeSettings } from './nodeSettings.ts'

export interface NodeRetriesOptions {
  readonly clock: IClock
  readonly settings: Pick<NodeSettings, 'retry_share' | 'retry_spare' | 'retry_window_s'>
  readonly membership: MembershipTable
}

/** Fraction of the fleet-wide retry budget that nodes use; the rest covers differences between the nodes' views of the fleet. */
const RETRY_BUDGET_FRACTION = 0.8
const MS_PER_S = 1000

export class NodeRetries {
  private readonly _options: NodeRetriesOptions
  readonly budget: WindowedRetryBudget

  constructor (options: NodeRetriesOptions) {
    this._options = options
    const { clock, settings } = options
    this.budget = new WindowedRetryBudget({
      clock,
      windowMs: settings.retry_window_s * MS_PER_S,
      retryRatio: settings.retry_share * RETRY_BUDGET_FRACTION,
      getShare: () => this.computeShare()
    })
  }

  computeShare (): RetryShare {
    const { settings, membership } = this._options
    const nodeCount = membership.countLive()
    return { baseRetries: settings.retry_spare * RETRY_BUDGET_FRACTION / nodeCount, nodeCount }
  }
}
