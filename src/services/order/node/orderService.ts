/**
 * Orders engines to load the models that the configuration assigns to them: one order at a time per engine, and at most the
 * configured number of concurrent loads per hall.
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
  /** Upstreams that this process currently manages. */
  readonly listManagedUpstreams: () => readonly Upstream[]
  /** Whether this process currently regards a majority of the stewards in its membership table as alive. */
  readonly hasMajority: () => boolean
  readonly periodMs?: number
}

const LOAD_TIMEOUT_MS = 60_000
const LOAD_CHECK_PERIOD_MS = 250

export class OrderService extends Disposable {
  private readonly _options: OrderServiceOptions
  private readonly _pendingUpstreams = new Set<string>()

  constructor (options: OrderServiceOptions) {
    super()
    this._options = options
    this._register(startInterval(options.periodMs ?? 1000, () => this.reconcile()))
  }

  /** Starts the orders that are due. Upstreams with an order in progress are skipped. */
  reconcile (): void {
    const current = this._options.configuration.current
    if (current === undefined || current.configuration.placements.length === 0) return
    const engines = current.configuration.upstreams.filter(upstream => upstream.kind === UpstreamKind.ENGINE)
    const views = engines.map(upstream => viewUpstream(upstream, this._options.facts))
    const plan = planModels(current.configuration.placements, views.map(view => ({ ...view.upstream, isLeaving: view.isLeaving })))
    for (const upstream of this._options.listManagedUpstreams()) {
      const models = plan.get(upstream.name)
      if (models === undefined || this._pendingUpstreams.has(upstream.name)) continue
      const loadedModels = viewUpstream(upstream, this._options.facts).load?.models
      if (loadedModels === undefined || isSameSet(loadedModels, models)) continue
      if (this._countPendingLoads(upstream.hall) >= Math.max(1, current.configuration.concurrentLoadsPerHall)) continue
      void this._processOrder(upstream, models, current)
    }
  }

  private _countPendingLoads (hall: string): number {
    const upstreams = this._options.configuration.current?.configuration.upstreams ?? []
    return upstreams.filter(upstream => upstream.hall === hall && this._pendingUpstreams.has(upstream.name)).length
  }

  private async _processOrder (upstream: Upstream, models: readonly string[], current: AcceptedConfiguration): Promise<void> {
    this._pendingUpstreams.add(upstream.name)
    try {
      await this._sendOrder(upstream, models, current)
    } finally {
      this._pendingUpstreams.delete(upstream.name)
    }
  }

  /**
   * Sends one order. Reads the engine's state immediately before, since the engine stores the last fencing number. For engines
   * that check no fencing number, this read and the majority check are the only protection against an outdated order.
   */
  private async _sendOrder (upstream: Upstream, models: readonly string[], current: AcceptedConfiguration): Promise<void> {
    const { adapter, facts, configuration, decisions, log } = this._options
    if (!upstream.checksFencing && !this._options.hasMajority()) return
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
    if (result.isRight()) await this._waitUntilLoaded(upstream, models)
  }

  /** Waits until the engine reports the models or the load times out. Until then the load counts against the limit of its hall. */
  private async _waitUntilLoaded (upstream: Upstream, models: readonly string[]): Promise<void> {
    for (let waitedMs = 0; waitedMs < LOAD_TIMEOUT_MS && !this._isDisposed; waitedMs += LOAD_CHECK_PERIOD_MS) {
      const loadedModels = viewUpstream(upstream, this._options.facts).load?.models ?? []
      if (isSameSet(loadedModels, models)) return
      await waitFor(LOAD_CHECK_PERIOD_MS)
    }
  }
}

function isSameSet (a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every(item => b.includes(item))
}
