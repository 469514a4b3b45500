/**
 * Chooses the upstream that runs a stage. All candidates are live, have a free slot and can run the stage.
 */
import type { IRandom } from '../../../base/common/random.ts'
import { findPreferred } from './preferredUpstreams.ts'
import { estimateBacklog } from './candidate.ts'
import type { Candidate, RoutingChoice, RoutingRequest } from './candidate.ts'

export abstract class Router {
  /** Returns undefined if there is no candidate. */
  abstract choose (request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined
}

/** Baseline: chooses the candidates in turn. */
export class RoundRobinRouter extends Router {
  private _nextIndex = 0

  choose (_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined {
    const candidate = candidates[this._nextIndex++ % Math.max(1, candidates.length)]
    return candidate && { candidate, reason: 'next in turn' }
  }
}

/** Baseline: chooses the lowest reported backlog relative to capacity, and ignores calls sent since the report. */
export class LeastReportedRouter extends Router {
  choose (_request: RoutingRequest, candidates: readonly Candidate[]): RoutingChoice | undefined {
    const candidate = findLeast(candidates, item => item.reportedBacklog / item.capacity)
    return candidate && { candidate, reason: `reported backlog ${candidate.reportedBacklog}` }
  }
}

export interface EstimatedFinishOptions {
  readonly random: IRandom
  /** Number of candidates drawn at random in addition to those preferred for the prefix. */
  readonly randomCount?: number
  readonly preferredCount?: number
  /** Fraction of a call's duration that a cached prefix saves. */
  readonly prefixGain?: number
  /** Added cost of a candidate in another hall, in milliseconds. */
  readonly hallPenaltyMs?: number
  /** Slowdown of a call in a full batch, as a fraction of its expected duration; proportionally less in a partly filled batch. */
  readonly batchSlowdown?: number
}

/**
 * Chooses the earliest estimated finish among the upstreams preferred for the prefix and a few drawn at random. The random
 * ones keep gates that have the same outdated report from all choosing the same upstream.
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
    const sampled = this._sample(request, candidates)
    const candidate = findLeast(sampled, item => this.estimateMs(request, item))
    if (candidate === undefined) return undefined
    const estimate = Math.round(this.estimateMs(request, candidate))
    return { candidate, reason: `estimated ${estimate} ms, best of ${sampled.length}` }
  }

  /** Estimated duration of the call at the candidate, including the wait, in milliseconds. */
  estimateMs (request: RoutingRequest, candidate: Candidate): number {
    const callMs = request.expectedMs * candidate.slowness
    const backlog = estimateBacklog(candidate, request.liveGateCount)
    const waiting = Math.max(0, backlog + 1 - candidate.capacity)
    const waitMs = waiting / candidate.capacity * callMs
    const batchMs = callMs * this._batchSlowdown * Math.min(1, backlog / candidate.capacity)
    const savedMs = callMs * this._prefixGain * candidate.prefixProbability
    return callMs + waitMs + batchMs - savedMs + (candidate.hall === request.hall ? 0 : this._hallPenaltyMs)
  }

  private _sample (request: RoutingRequest, candidates: readonly Candidate[]): readonly Candidate[] {
    if (candidates.length <= this._preferredCount + this._randomCount) return candidates
    const sampled = new Set(findPreferred(request.prefixKey, candidates, this._preferredCount))
    for (let draw = 0; draw < this._randomCount; draw++) {
      const drawn = candidates[Math.floor(this._random.next() * candidates.length)]
      if (drawn !== undefined) sampled.add(drawn)
    }
    return [...sampled]
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
