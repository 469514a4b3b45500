/**
 * Looks up upstreams for the scheduler: the configuration in force combined with the latest facts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IConfigurationService } from '../../configuration/common/configurationService.ts'
import type { FactStore } from '../../facts/common/factStore.ts'
import { viewUpstream } from '../../facts/common/upstreamView.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

export interface IUpstreamDirectory {
  /** Upstreams of a role in the configuration in force. */
  listByRole (role: string): readonly Upstream[]
  /** Returns the upstream together with the latest facts about it. */
  getView (upstream: Upstream): UpstreamView
  /** Number of gates that share the upstreams, including this one. */
  countLiveGates (): number
}

/** A gate that has published no fact for this long is considered gone. */
const GATE_TIMEOUT_MS = 5000
/** The count is cached, because recounting the gates for each decision costs more than the accuracy is worth. */
const GATE_COUNT_CACHE_MS = 250

export class UpstreamDirectory implements IUpstreamDirectory {
  private _upstreamsByRole = new Map<string, readonly Upstream[]>()
  /** The configuration from which `_upstreamsByRole` was built. */
  private _groupedConfiguration: unknown
  private _liveGateCount = 1
  private _countedAt = -Infinity

  constructor (
    private readonly _clock: IClock,
    private readonly _configuration: IConfigurationService,
    private readonly _facts: FactStore
  ) {}

  listByRole (role: string): readonly Upstream[] {
    const current = this._configuration.current
    if (current !== this._groupedConfiguration) {
      this._groupedConfiguration = current
      this._upstreamsByRole = groupByRole(current?.configuration.upstreams ?? [])
    }
    return this._upstreamsByRole.get(role) ?? []
  }

  getView (upstream: Upstream): UpstreamView {
    return viewUpstream(upstream, this._facts)
  }

  countLiveGates (): number {
    const now = this._clock.now()
    if (now - this._countedAt < GATE_COUNT_CACHE_MS) return this._liveGateCount
    this._countedAt = now
    const live = this._facts.listByKind('gate').filter(fact => now - fact.observedAt < GATE_TIMEOUT_MS && !fact.value.draining)
    this._liveGateCount = Math.max(1, live.length)
    return this._liveGateCount
  }
}

function groupByRole (upstreams: readonly Upstream[]): Map<string, readonly Upstream[]> {
  const groups = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const group = groups.get(upstream.role)
    if (group === undefined) groups.set(upstream.role, [upstream])
    else group.push(upstream)
  }
  return groups
}
