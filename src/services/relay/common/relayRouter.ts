/**
 * Routing policies, which choose the upstream of a role for a request.
 */
import type { IRandom } from '../../../base/common/random.ts'
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'

/** An upstream that can accept the request now, as far as this node knows. */
export interface RelayCandidate {
  readonly id: string
  readonly hall: string
  /** Requests of this node that are in flight there. */
  readonly inFlight: number
  /** Prompt tokens of this node's requests that have not produced their first event. */
  readonly pendingTokens: number
  /** Requests of all nodes there, as the upstream reported recently; 0 without a recent report. */
  readonly reportedLoad: number
  readonly slots: number
  /** Latency relative to the usual, as the upstream stated recently; 1 without a recent statement. */
  readonly latencyFactor: number
}

export interface RouteQuery {
  /** Identifies the prompt's longest shared prefix; empty if nothing is shared. */
  readonly sharedPrefixKey: string
  readonly sharedTokens: number
  /** The hall that holds most results of preparation, or this node's own. */
  readonly hall: string
  /** Number of nodes that send to the same upstreams. */
  readonly nodeCount: number
}

export interface RouteChoice {
  readonly id: string
  readonly reason: string
}

export abstract class RelayRouter {
  /** Undefined when there is no candidate. */
  abstract choose (query: RouteQuery, candidates: readonly RelayCandidate[]): RouteChoice | undefined
}

/** Baseline without knowledge of load or prefix caches. */
export class RoundRobinRouter extends RelayRouter {
  private _next = 0

  choose (_query: RouteQuery, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const candidate = candidates[this._next++ % Math.max(1, candidates.length)]
    return candidate === undefined ? undefined : { id: candidate.id, reason: 'in turn' }
  }
}

export interface AffinityOptions {
  readonly random: IRandom
  /** Number of candidates, in rendezvous order of the prefix, whose costs are compared. */
  readonly affinityCount?: number
}

/** Cost of a request in flight beyond the slots, in prompt tokens that could be processed in the time it takes. */
const TOKENS_PER_REQUEST = 1500
/** A candidate whose latency factor is higher than this is used only if all candidates are above it. */
const MAX_LATENCY_FACTOR = 2.5
/** A candidate in another hall is chosen only if its load, in requests per slot, is lower by more than this. */
const LOCAL_HALL_BONUS = 0.15

/**
 * Sends prompts with the same shared prefix to the same few upstreams, whose prefix caches hold it. The second upstream in
 * rendezvous order is chosen when the first has so many tokens queued that processing the prefix again is cheaper.
 * Requests without a shared prefix go to the upstream with the lowest load per slot, preferably in the same hall.
 */
export class AffinityRouter extends RelayRouter {
  private readonly _random: IRandom
  private readonly _affinityCount: number

  constructor (options: AffinityOptions) {
    super()
    this._random = options.random
    this._affinityCount = options.affinityCount ?? 2
  }

  choose (query: RouteQuery, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const responsive = candidates.filter(candidate => candidate.latencyFactor <= MAX_LATENCY_FACTOR)
    const usable = responsive.length > 0 ? responsive : candidates
    if (query.sharedPrefixKey === '') return this._chooseByLoad(query, usable)
    return this._chooseByPrefix(query, usable)
  }

  private _chooseByPrefix (query: RouteQuery, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const byId = new Map(candidates.map(candidate => [candidate.id, candidate]))
    const ranked = rankByRendezvous(query.sharedPrefixKey, [...byId.keys()]).slice(0, this._affinityCount)
    const costs = ranked.map((id, rank) => ({ id, cost: this._scorePrefix(query, byId.get(id), rank) }))
    const best = costs.reduce<{ readonly id: string, readonly cost: number } | undefined>((least, item) => least === undefined || item.cost < least.cost ? item : least, undefined)
    return best === undefined ? undefined : { id: best.id, reason: `prefix rank ${ranked.indexOf(best.id)}, cost ${Math.round(best.cost)} tokens` }
  }

  /** Tokens to be processed before this request's own, its shared prefix included if it is not assumed to be cached. */
  private _scorePrefix (query: RouteQuery, candidate: RelayCandidate | undefined, rank: number): number {
    if (candidate === undefined) return Infinity
    // The load from other nodes is not known and is assumed to be the same as this node's.
    const queuedTokens = candidate.pendingTokens + TOKENS_PER_REQUEST * Math.max(0, candidate.inFlight * query.nodeCount - candidate.slots)
    return (queuedTokens + (rank === 0 ? 0 : query.sharedTokens)) * candidate.latencyFactor
  }

  private _chooseByLoad (query: RouteQuery, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    let best: { readonly id: string, readonly load: number } | undefined
    for (const candidate of candidates) {
      const openRequests = Math.max(candidate.inFlight, candidate.reportedLoad) + this._random.next() * 0.01
      const load = (openRequests + 1) / Math.max(1, candidate.slots) * candidate.latencyFactor - (candidate.hall === query.hall ? LOCAL_HALL_BONUS : 0)
      if (best === undefined || load < best.load) best = { id: candidate.id, load }
    }
    return best === undefined ? undefined : { id: best.id, reason: `load ${best.load.toFixed(2)}` }
  }
}
