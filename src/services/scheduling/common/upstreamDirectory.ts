/**
 * Where the scheduler finds upstreams: the configuration in force joined with the newest facts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IConfigurationService } from '../../configuration/common/configurationService.ts'
import type { FactStore } from '../../facts/common/factStore.ts'
import { viewUpstream } from '../../facts/common/upstreamView.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

export interface IUpstreamDirectory {
  /** The upstreams of a role that the configuration in force names. */
  listRole (role: string): readonly Upstream[]
  /** An upstream with the newest facts about it. */
  getView (upstream: Upstream): UpstreamView
  /** Gates that share the upstreams, this one included. */
  countLiveGates (): number
}

/** A gate that was not heard of for so long is taken for gone. */
const GATE_SILENCE_MS = 5000
/** Counting the gates anew for each decision would cost more than it gains. */
const GATE_COUNT_PERIOD_MS = 250

export class UpstreamDirectory implements IUpstreamDirectory {
  private _roles = new Map<string, readonly Upstream[]>()
  private _rolesOf: unknown
  private _liveGates = 1
  private _countedAt = -Infinity

  constructor (
    private readonly _clock: IClock,
    private readonly _configuration: IConfigurationService,
    private readonly _facts: FactStore
  ) {}

  listRole (role: string): readonly Upstream[] {
    const current = this._configuration.current
    if (current !== this._rolesOf) {
      this._rolesOf = current
      this._roles = groupByRole(current?.configuration.upstreams ?? [])
    }
    return this._roles.get(role) ?? []
  }

  getView (upstream: Upstream): UpstreamView {
    return viewUpstream(upstream, this._facts)
  }

  countLiveGates (): number {
    const now = this._clock.now()
    if (now - this._countedAt < GATE_COUNT_PERIOD_MS) return this._liveGates
    this._countedAt = now
    const live = this._facts.listKind('gate').filter(fact => now - fact.observedAt < GATE_SILENCE_MS && !fact.value.draining)
    this._liveGates = Math.max(1, live.length)
    return this._liveGates
  }
}

function groupByRole (upstreams: readonly Upstream[]): Map<string, readonly Upstream[]> {
  const roles = new Map<string, Upstream[]>()
  for (const upstream of upstreams) {
    const group = roles.get(upstream.role)
    if (group === undefined) roles.set(upstream.role, [upstream])
    else group.push(upstream)
  }
  return roles
}
