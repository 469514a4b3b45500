/**
 * How many requests a cold upstream may get. The bound holds for all nodes together, and no node sees what the others
 * send, so each part of the fleet has a share of it: the plan of its hall, which sees most requests, and a few nodes that
 * choose for themselves when no plan does.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { UpstreamEntry } from './upstreamRegistry.ts'

export interface ColdAllowanceOptions {
  readonly clock: IClock
  /** What one cold upstream of a role may get in a second from all nodes together; Infinity where nothing bounds it. */
  readonly getBound: (role: string) => number
  /** This node, as members know it. */
  readonly own: string
  /** All nodes that are known to this one, those included that cannot be reached. */
  readonly listKnown: () => readonly string[]
  readonly countLive: () => number
}

/** What is sent within this time may arrive within a second: a connection that is slow to open holds some of it up. */
export const COLD_WINDOW_MS = 1400
/**
 * The share of a plan that the whole fleet can reach. Plans overlap while their planner changes, and where nodes take it
 * for lost one after the other: three of them keep the bound.
 */
const PLAN_SHARE = 0.3
/** Nodes that may send a cold upstream something by a choice of their own, one request a second each. */
const DIRECT_NODES = 2
const DIRECT_PER_S = 1

export class ColdAllowance {
  private readonly _options: ColdAllowanceOptions

  constructor (options: ColdAllowanceOptions) {
    this._options = options
  }

  /** What a plan may send the upstream in a second; Infinity where it is warm. */
  computePlanned (entry: UpstreamEntry): number {
    if (!this._isBounded(entry)) return Infinity
    const { getBound, countLive, listKnown } = this._options
    // Parts of a fleet that cannot reach each other plan for the same upstreams, each by its size.
    const reach = Math.min(1, countLive() / Math.max(1, listKnown().length))
    return Math.floor(getBound(entry.role) * PLAN_SHARE * reach)
  }

  /** What this node may send the upstream in a second without a plan; Infinity where it is warm. */
  computeDirect (entry: UpstreamEntry): number {
    if (!this._isBounded(entry)) return Infinity
    const { own, listKnown } = this._options
    // All nodes that are known count, so that two parts of a fleet do not choose different ones.
    const chosen = rankByRendezvous(entry.id, listKnown()).slice(0, DIRECT_NODES)
    return chosen.includes(own) ? DIRECT_PER_S : 0
  }

  private _isBounded ({ coldUntil = 0, role }: UpstreamEntry): boolean {
    return coldUntil > this._options.clock.now() && Number.isFinite(this._options.getBound(role))
  }
}
