/**
 * Brings engines to what the configuration wants, one order at a time and never more loads at once in a hall than allowed.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { startInterval, waitFor } from '../../../base/node/interval.ts'
import { UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AcceptedConfiguration, IConfigurationService } from '../../configuration/common/configurationService.ts'
import type { FactStore } from '../../facts/common/factStore.ts'
import { viewUpstream } from '../../facts/common/upstreamView.ts'
import type { DecisionLog } from '../../inspect/common/decisionLog.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamAdapter } from '../../upstream/common/upstreamAdapter.ts'
import { recordReport } from '../../upstream/node/upstreamWatcher.ts'
import { computeNextFencing, isOutdated } from '../common/fencing.ts'
import { planModels } from '../common/orderPlan.ts'

export interface OrderServiceOptions {
  readonly adapter: UpstreamAdapter
  readonly facts: FactStore
  readonly clock: IClock
  readonly configuration: IConfigurationService
  readonly decisions: DecisionLog
  readonly log: ILogService
  /** The upstreams that this process orders now. */
  readonly listOrdered: () => readonly Upstream[]
  /** Whether this process hears most of the stewards it knows. */
  readonly hearsMajority: () => boolean
  readonly periodMs?: number
}

const MAX_LOAD_MS = 60_000
const LOAD_CHECK_MS = 250

export class OrderService extends Disposable {
  private readonly _options: OrderServiceOptions
  private readonly _ordering = new Set<string>()

  constructor (options: OrderServiceOptions) {
    super()
    this._options = options
    this._register(startInterval(options.periodMs ?? 1000, () => this.reconcile()))
  }

  /** Starts the orders that are due; those under way are left alone. */
  reconcile (): void {
    const current = this._options.configuration.current
    if (current === undefined || current.configuration.placements.length === 0) return
    const engines = current.configuration.upstreams.filter(upstream => upstream.kind === UpstreamKind.ENGINE)
    const views = engines.map(upstream => viewUpstream(upstream, this._options.facts))
    const wanted = planModels(current.configuration.placements, views.map(view => ({ ...view.upstream, isLeaving: view.isLeaving })))
    for (const upstream of this._options.listOrdered()) {
      const models = wanted.get(upstream.name)
      if (models === undefined || this._ordering.has(upstream.name)) continue
      const held = viewUpstream(upstream, this._options.facts).load?.models
      if (held === undefined || isSameSet(held, models)) continue
      if (this._countLoads(upstream.hall) >= Math.max(1, current.configuration.concurrentLoadsPerHall)) continue
      void this._order(upstream, models, current)
    }
  }

  private _countLoads (hall: string): number {
    const upstreams = this._options.configuration.current?.configuration.upstreams ?? []
    return upstreams.filter(upstream => upstream.hall === hall && this._ordering.has(upstream.name)).length
  }

  private async _order (upstream: Upstream, models: readonly string[], current: AcceptedConfiguration): Promise<void> {
    this._ordering.add(upstream.name)
    try {
      await this._sendOrder(upstream, models, current)
    } finally {
      this._ordering.delete(upstream.name)
    }
  }

  /** The engine's state is read just before: it holds the last number, and for engines that check none it is all the care there is. */
  private async _sendOrder (upstream: Upstream, models: readonly string[], current: AcceptedConfiguration): Promise<void> {
    const { adapter, facts, configuration, decisions, log } = this._options
    if (!upstream.checksFencing && !this._options.hearsMajority()) return
    const report = (await adapter.readReport(upstream)).toMaybe().extractNullable()
    if (report === null) return
    recordReport(facts, upstream.name, report, this._options.clock.now())
    if (isSameSet(report.models, models) || isOutdated(current.number, report.fencing)) return
    if (configuration.current !== current) return
    const fencing = computeNextFencing(current.number, report.fencing)
    const result = await adapter.sendOrder(upstream, { fencing, models })
    const choice = result.isRight() ? 'taken' : 'refused'
    const reason = result.swap().map(String).orDefault('')
    decisions.record({ subject: upstream.name, kind: 'order', choice, reason, inputs: `models=${models.join(',')} fencing=${fencing}` })
    log.info('order_sent', { upstream: upstream.name, models: models.join(','), fencing, result: choice })
    if (result.isRight()) await this._waitUntilHeld(upstream, models)
  }

  /** The load counts against the hall's limit until the engine reports it done, or for as long as a load may take. */
  private async _waitUntilHeld (upstream: Upstream, models: readonly string[]): Promise<void> {
    for (let waitedMs = 0; waitedMs < MAX_LOAD_MS && !this._isDisposed; waitedMs += LOAD_CHECK_MS) {
      const held = viewUpstream(upstream, this._options.facts).load?.models ?? []
      if (isSameSet(held, models)) return
      await waitFor(LOAD_CHECK_MS)
    }
  }
}

function isSameSet (a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every(item => b.includes(item))
}
