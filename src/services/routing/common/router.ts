/**
 * Which upstream runs a stage. Candidates are free, live and able to run it; the router only orders them.
 */
import type { IRandom } from '../../../base/common/random.ts'
import { findPreferred } from './preferredUpstreams.ts'
import { estimateBacklog } from './candidate.ts'
import type { Candidate, RoutingChoice, RoutingRequest } from './candidate.ts'

export abstract class Router {
  /** Undefined when there is no candidate. */
  abstract choose (request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined
}

/** Baseline: one after the other. */
export class RoundRobinRouter extends Router {
  private _next = 0

  choose (_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined {
    const candidate = candidates[this._next++ % Math.max(1, candidates.length)]
    return candidate && { candidate, reason: 'next in turn' }
  }
}

/** Baseline: the least backlog that was reported last, whatever was sent since. */
export class LeastReportedRouter extends Router {
  choose (_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined {
    const candidate = findLeast(candidates, item => item.reportedBacklog / item.capacity)
    return candidate && { candidate, reason: `reported backlog ${candidate.reportedBacklog}` }
  }
}

export interface EstimatedFinishOptions {
  readonly random: IRandom
  /** Candidates drawn at random beside those that the prefix prefers. */
  readonly randomCount?: number
  readonly preferredCount?: number
  /** The part of a call that a cached prefix saves. */
  readonly prefixGain?: number
  /** What another hall adds, in milliseconds. */
  readonly hallPenaltyMs?: number
  /** How much each call in the batch slows the others, as a part of the usual time at a full batch. */
  readonly batchSlowdown?: number
}

/**
 * The earliest estimated finish among the upstreams that the prefix prefers and a few at random, so that gates
 * with the same old report don't all choose the same one.
 */
export class EstimatedFinishRouter extends Router {
  private readonly _random: IRandom
  private readonly _randomCount: number
  private readonly _preferredCount: number
  private readonly _prefixGain: number
  private readonly _hallPenaltyMs: number
  private readonly _batchSlowdown: number

  constructor (options: EstimatedFinishOptions) {
    super()
    this._random = options.random
    this._randomCount = options.randomCount ?? 4
    this._preferredCount = options.preferredCount ?? 2
    this._prefixGain = options.prefixGain ?? 0.3
    this._hallPenaltyMs = options.hallPenaltyMs ?? 1
    this._batchSlowdown = options.batchSlowdown ?? 0.5
  }

  choose (request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined {
    const looked = this._sample(request, candidates)
    const candidate = findLeast(looked, item => this.estimateMs(request, item))
    if (candidate === undefined) return undefined
    const estimate = Math.round(this.estimateMs(request, candidate))
    return { candidate, reason: `estimated ${estimate} ms, best of ${looked.length}` }
  }

  /** What the call would take at the candidate, in milliseconds. */
  estimateMs (request: RoutingRequest, candidate: Candidate): number {
    const callMs = request.usualMs * candidate.slowness
    const backlog = estimateBacklog(candidate, request.liveGates)
    const waiting = Math.max(0, backlog + 1 - candidate.capacity)
    const waitMs = waiting / candidate.capacity * callMs
    const batchMs = callMs * this._batchSlowdown * Math.min(1, backlog / candidate.capacity)
    const savedMs = callMs * this._prefixGain * candidate.prefixBelief
    return callMs + waitMs + batchMs - savedMs + (candidate.hall === request.hall ? 0 : this._hallPenaltyMs)
  }

  private _sample (request: RoutingRequest, candidates: readonly Candidate[]): readonly Candidate[] {
    if (candidates.length <= this._preferredCount + this._randomCount) return candidates
    const looked = new Set(findPreferred(request.prefixKey, candidates, this._preferredCount))
    for (let draw = 0; draw < this._randomCount; draw++) {
      const drawn = candidates[Math.floor(this._random.next() * candidates.length)]
      if (drawn !== undefined) looked.add(drawn)
    }
    return [...looked]
  }
}

function findLeast<T> (items: readonly T[], measure: (item: T) => number): T | undefined {
  let least: T | undefined
  let leastValue = Infinity
  for (const item of items) {
    const value = measure(item)
    if (value >= leastValue) continue
    least = item
    leastValue = value
  }
  return least
}
