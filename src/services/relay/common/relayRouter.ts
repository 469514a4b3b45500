/**
 * Which upstream of a role gets a request.
 */
import type { IRandom } from '../../../base/common/random.ts'
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'

/** An upstream that could take the request now, as this node knows it. */
export interface RelayCandidate {
  readonly id: string
  readonly hall: string
  /** Requests of this node that are open there. */
  readonly inFlight: number
  /** Prompt tokens of this node's requests that have not shown their first event. */
  readonly pendingTokens: number
  /** Requests there by its own last word, if that is recent; from all nodes. */
  readonly reportedLoad: number
  readonly slots: number
  /** How much longer than the others it takes; 1 is usual. */
  readonly slowness: number
}

export interface RouteQuestion {
  /** What tells apart prompts with the same shared parts; empty where nothing is shared. */
  readonly sharedPrefix: string
  readonly sharedTokens: number
  /** The hall that holds the results of preparation, or this node's own. */
  readonly hall: string
  /** Nodes that use the same upstreams. */
  readonly nodeCount: number
}

export interface RouteChoice {
  readonly id: string
  readonly reason: string
}

export abstract class RelayRouter {
  /** Undefined when there is no candidate. */
  abstract choose (question: RouteQuestion, candidates: readonly RelayCandidate[]): RouteChoice | undefined
}

/** Baseline: each candidate in turn. */
export class RoundRobinRouter extends RelayRouter {
  private _next = 0

  choose (_question: RouteQuestion, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const candidate = candidates[this._next++ % Math.max(1, candidates.length)]
    return candidate === undefined ? undefined : { id: candidate.id, reason: 'in turn' }
  }
}

export interface AffinityOptions {
  readonly random: IRandom
  /** Candidates, in the order of the prefix, that are weighed against each other. */
  readonly affinityCount?: number
}

/** What a token that has to be read costs against a request that is in progress there. */
const TOKENS_PER_REQUEST = 1500
/** A candidate with more slowness than this is used only when the others are full. */
const MAX_SLOWNESS = 2.5
/** Prefer the same hall unless the other is this much freer, in requests over slots. */
const HALL_BONUS = 0.15

/**
 * Prompts with the same shared parts go to the same few upstreams, since these keep what they read. The second in the
 * order takes over when the first has so much to read that reading the shared parts again is cheaper. Requests that
 * share nothing go where the load over slots is least, by preference in the same hall.
 */
export class AffinityRouter extends RelayRouter {
  private readonly _random: IRandom
  private readonly _affinityCount: number

  constructor (options: AffinityOptions) {
    super()
    this._random = options.random
    this._affinityCount = options.affinityCount ?? 2
  }

  choose (question: RouteQuestion, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const usual = candidates.filter(candidate => candidate.slowness <= MAX_SLOWNESS)
    const usable = usual.length > 0 ? usual : candidates
    if (question.sharedPrefix === '') return this._chooseByLoad(question, usable)
    return this._chooseByPrefix(question, usable)
  }

  private _chooseByPrefix (question: RouteQuestion, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    const byId = new Map(candidates.map(candidate => [candidate.id, candidate]))
    const ranked = rankByRendezvous(question.sharedPrefix, [...byId.keys()]).slice(0, this._affinityCount)
    const costs = ranked.map((id, rank) => ({ id, cost: this._scorePrefix(question, byId.get(id), rank) }))
    const best = costs.reduce<{ readonly id: string, readonly cost: number } | undefined>((least, item) => least === undefined || item.cost < least.cost ? item : least, undefined)
    return best === undefined ? undefined : { id: best.id, reason: `prefix rank ${ranked.indexOf(best.id)}, cost ${Math.round(best.cost)} tokens` }
  }

  /** Tokens to be read before the request's first one, this request's shared parts included where they are not kept. */
  private _scorePrefix (question: RouteQuestion, candidate: RelayCandidate | undefined, rank: number): number {
    if (candidate === undefined) return Infinity
    // The others' share is not known, and is taken to be like this node's, but never more than one request beyond it.
    const ahead = candidate.pendingTokens + TOKENS_PER_REQUEST * Math.max(0, candidate.inFlight * question.nodeCount - candidate.slots)
    return (ahead + (rank === 0 ? 0 : question.sharedTokens)) * candidate.slowness
  }

  private _chooseByLoad (question: RouteQuestion, candidates: readonly RelayCandidate[]): RouteChoice | undefined {
    let best: { readonly id: string, readonly load: number } | undefined
    for (const candidate of candidates) {
      const open = Math.max(candidate.inFlight, candidate.reportedLoad) + this._random.next() * 0.01
      const load = (open + 1) / Math.max(1, candidate.slots) * candidate.slowness - (candidate.hall === question.hall ? HALL_BONUS : 0)
      if (best === undefined || load < best.load) best = { id: candidate.id, load }
    }
    return best === undefined ? undefined : { id: best.id, reason: `load ${best.load.toFixed(2)}` }
  }
}
