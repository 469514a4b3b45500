/**
 * Chooses the upstream that runs a request once its inputs are prepared. One coordinator handles all requests, so it tracks
 * the pending prefill work of each upstream, the prefixes in its cache, and the halls that hold the inputs.
 */
import { hashText } from '../../../base/common/rendezvous.ts'
import { EjectingTracker } from '../../health/common/healthTracker.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import { TokenBucket } from '../../quota/common/tokenBucket.ts'
import type { RateLimit } from '../../quota/common/tokenBucket.ts'
import { PrefixIndex } from './prefixIndex.ts'
import type { PrefixHolder, PrefixEntry } from './prefixIndex.ts'
import type { RequestShape } from './preparationJob.ts'

export interface TargetCandidate {
  readonly id: string
  readonly hall: string
  /** Time to transfer one token of a prefix cache from another upstream; Infinity if that is not supported. */
  readonly msPerMovedToken: number
  /** Rate limit over the requests of all nodes; undefined if there is none. */
  readonly limit?: RateLimit
  /** How slow the upstream states to be now; 1 if it states nothing. */
  readonly statedSlowness?: number
}

export interface TargetQuery {
  readonly shape: RequestShape
  readonly candidates: readonly TargetCandidate[]
  /** Bytes of the results that are already computed, by the hall that holds them. */
  readonly bytesByHall: ReadonlyMap<string, number>
  /** Expected queueing time, in milliseconds, of results that are still to be computed. */
  readonly waitByHall: ReadonlyMap<string, number>
}

export interface TargetChoice {
  readonly id: string
  readonly hall: string
  /** Expected time until the first event, queueing included. */
  readonly costMs: number
  /** Tokens that the target has to process itself. */
  readonly prefillTokens: number
  /** The upstream that it should fetch the cached prefix from; empty if there is none. */
  readonly prefixSourceId: string
  /** The target's stated slowness that `costMs` includes. */
  readonly statedSlowness: number
}

/** A request that is being sent to its target. */
export interface TargetRequest {
  readonly jobId: string
  readonly shape: RequestShape
  readonly targetId: string
  readonly prefillTokens: number
  readonly statedSlowness?: number
}

/** How many tokens of a prompt a target would process itself, and how many it would fetch from the cache of another upstream. */
interface PrefillPlan {
  readonly prefillTokens: number
  readonly transferTokens: number
  readonly prefixSourceId: string
}

/** Outcome of a request at its target. */
export interface TargetReport {
  readonly outcome: 'produced' | 'failed' | 'unused'
  /** From sending the request to its first event. */
  readonly producedMs: number
}

/** Prefill cost that is assumed until one was measured. */
const INITIAL_MS_PER_TOKEN = 1 / 60
const SMOOTHING_FACTOR = 0.15
const MS_PER_S = 1000
const MIN_MS_PER_TOKEN = 1 / 1000
const MAX_MS_PER_TOKEN = 1
/** Time to the first event of a request without any tokens to process. */
const FIRST_EVENT_BASE_MS = 25
/** Prefill time that is regarded as equal in cost to moving a megabyte of results to another hall. */
const TRANSFER_COST_MS_PER_MB = 5
const BYTES_PER_MB = 1e6
/**
 * Share of the shared tokens that is deducted for the preferred upstream when no upstream is known to have the prefix: all
 * coordinators prefer the same one, so it most likely has the prefix cached.
 */
const PREFERRED_TARGET_DISCOUNT = 0.5
/** Processing a prefix again that another upstream has cached also takes time and memory from other requests. */
const RECOMPUTE_WEIGHT = 3
/**
 * Fetching a cached prefix uses the links and the memory of both upstreams, but no compute: 6,300 tokens of 164 kB each
 * take 32 ms to transfer at 260 Gbit/s, and 164 ms to process at 38 tokens per ms.
 */
const TRANSFER_WEIGHT = 0.3
/** Processing fewer tokens than this is as fast as fetching them from another upstream. */
const MIN_TRANSFER_TOKENS = 256
/** A request is overdue without a first event after its expected time times the factor, plus the extra. */
const OVERDUE_FACTOR = 3
const OVERDUE_EXTRA_MS = 600
/**
 * With this many overdue requests that were sent after its last first event, an upstream is regarded as lost, even if it is
 * still listed.
 */
const MIN_OVERDUE_REQUESTS = 2

class TargetState {
  pendingTokens = 0
  lastProducedAt = -Infinity
  /** Requests without a first event. */
  readonly awaitingFirstEvent = new Set<Assignment>()
  msPerToken = INITIAL_MS_PER_TOKEN
  readonly health: HealthTracker = new EjectingTracker()
}

interface Assignment {
  readonly targetId: string
  readonly tokens: number
  readonly tokensAhead: number
  readonly assignedAt: number
  readonly statedSlowness: number
  readonly overdueAt: number
}

export class TargetPlanner {
  private readonly _targets = new Map<string, TargetState>()
  private readonly _assignments = new Map<string, Assignment>()
  private readonly _prefixes = new PrefixIndex()
  private readonly _buckets = new Map<string, TokenBucket>()

  /** Returns the candidate with the lowest cost; undefined if none accepts a request now. */
  choose (query: TargetQuery, now: number): TargetChoice | undefined {
    const { shape } = query
    const candidates = query.candidates.filter(candidate => this._getWaitMs(candidate, now) === 0)
    const responsive = candidates.filter(candidate => this._isUsable(this._getTarget(candidate.id), now))
    const usable = responsive.length * 2 >= candidates.length ? responsive : candidates
    const preferredId = findPreferredTarget(shape.shared.at(-1)?.key ?? '', usable)
    const holder = this._prefixes.findHolder(shape.shared, new Set(usable.map(({ id }) => id)), now)
    let best: TargetChoice | undefined
    let bestScore = Infinity
    for (const candidate of usable) {
      const plan = this._planPrefill(shape, candidate, holder, now)
      const costMs = this._estimateFirstEventMs(query, candidate, plan)
      const score = costMs + this._scoreWork(query, candidate, preferredId, plan)
      if (score >= bestScore) continue
      bestScore = score
      best = { id: candidate.id, hall: candidate.hall, costMs, prefillTokens: plan.prefillTokens, prefixSourceId: plan.prefixSourceId, statedSlowness: candidate.statedSlowness ?? 1 }
    }
    return best
  }

  /** Estimates the time until a candidate accepts a request that has `ahead` others queued before it; 0 if one has no rate limit. */
  estimateWaitMs (candidates: readonly TargetCandidate[], ahead: number, now: number): number {
    let requestsPerMs = 0
    let shortestWaitMs = Infinity
    for (const candidate of candidates) {
      if (candidate.limit === undefined) return 0
      requestsPerMs += candidate.limit.perS / MS_PER_S
      shortestWaitMs = Math.min(shortestWaitMs, this._getWaitMs(candidate, now))
    }
    return candidates.length === 0 ? 0 : shortestWaitMs + (requestsPerMs > 0 ? ahead / requestsPerMs : 0)
  }

  private _getWaitMs ({ id, limit }: TargetCandidate, now: number): number {
    if (limit === undefined) {
      this._buckets.delete(id)
      return 0
    }
    const existing = this._buckets.get(id)
    const bucket = existing ?? new TokenBucket(limit, now)
    if (existing === undefined) this._buckets.set(id, bucket)
    else existing.setLimit(limit, now)
    return bucket.getWaitMs(now)
  }

  /** A prefix that another upstream has cached is fetched from there: that is several times as fast as processing it again. */
  private _planPrefill (shape: RequestShape, { id, msPerMovedToken }: TargetCandidate, prefixHolder: PrefixHolder | undefined, now: number): PrefillPlan {
    const cachedTokens = this._prefixes.countCachedTokens(shape.shared, id, now)
    const transferableTokens = prefixHolder === undefined || prefixHolder.id === id || !Number.isFinite(msPerMovedToken) ? 0 : prefixHolder.tokens - cachedTokens
    const transferTokens = transferableTokens >= MIN_TRANSFER_TOKENS ? transferableTokens : 0
    return { prefillTokens: Math.max(0, shape.inputTokens - cachedTokens - transferTokens), transferTokens, prefixSourceId: transferTokens > 0 ? prefixHolder?.id ?? '' : '' }
  }

  /** Counts a request as pending at its target. */
  assign ({ jobId, shape, targetId, prefillTokens: tokens, statedSlowness = 1 }: TargetRequest, now: number): void {
    this._removeAssignment(jobId)
    const target = this._getTarget(targetId)
    const expectedMs = estimatePrefillMs(target, tokens) * Math.max(1, statedSlowness)
    const assignment = { targetId, tokens, tokensAhead: target.pendingTokens, assignedAt: now, statedSlowness, overdueAt: now + expectedMs * OVERDUE_FACTOR + OVERDUE_EXTRA_MS }
    this._assignments.set(jobId, assignment)
    this._buckets.get(targetId)?.tryAcquire(now)
    target.pendingTokens += tokens
    target.awaitingFirstEvent.add(assignment)
    this._prefixes.add(shape.shared, targetId, now)
  }

  /** Ends the pending time of a request: its first event arrived, or none will. */
  recordReport (jobId: string, report: TargetReport, now: number): void {
    const assignment = this._removeAssignment(jobId)
    if (assignment === undefined || report.outcome === 'unused') return
    const target = this._getTarget(assignment.targetId)
    target.health.record(report.outcome === 'produced', now)
    if (report.outcome !== 'produced') return
    target.lastProducedAt = now
    const tokens = assignment.tokens + assignment.tokensAhead
    if (tokens <= 0) return
    const measuredMsPerToken = Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, (report.producedMs / assignment.statedSlowness - FIRST_EVENT_BASE_MS) / tokens))
    target.msPerToken += SMOOTHING_FACTOR * (measuredMsPerToken - target.msPerToken)
  }

  removeTarget (targetId: string): void {
    this._targets.delete(targetId)
    this._buckets.delete(targetId)
    this._prefixes.removeTarget(targetId)
  }

  /** Merges prefix cache entries that others have recorded. */
  addPrefixes (prefixEntries: readonly PrefixEntry[], now: number): void {
    for (const { shared, targetId, ageMs } of prefixEntries) this._prefixes.add(shared, targetId, now - ageMs)
  }

  describe (): readonly object[] {
    return [...this._targets].map(([id, { pendingTokens, msPerToken }]) => ({ id, pendingTokens, msPerToken }))
  }

  private _isUsable (target: TargetState, now: number): boolean {
    if (target.health.getState(now) === 'ejected') return false
    let overdueCount = 0
    for (const { assignedAt, overdueAt } of target.awaitingFirstEvent) if (now > overdueAt && assignedAt > target.lastProducedAt) overdueCount++
    return overdueCount < MIN_OVERDUE_REQUESTS
  }

  private _estimateFirstEventMs ({ waitByHall }: TargetQuery, candidate: TargetCandidate, { prefillTokens, transferTokens }: PrefillPlan): number {
    const target = this._getTarget(candidate.id)
    const transferMs = transferTokens > 0 ? transferTokens * candidate.msPerMovedToken : 0
    return estimatePrefillMs(target, prefillTokens) * (candidate.statedSlowness ?? 1) + transferMs + (waitByHall.get(candidate.hall) ?? 0)
  }

  /** Scores the work that the choice causes for the fleet, beyond the time of this request; in milliseconds. */
  private _scoreWork ({ shape, bytesByHall }: TargetQuery, candidate: TargetCandidate, preferredTarget: string, { prefillTokens, transferTokens }: PrefillPlan): number {
    const longest = shape.shared.slice(-1)
    const sharedTokens = longest[0]?.tokens ?? 0
    const isKnown = this._prefixes.isKnown(longest)
    const recomputedTokens = isKnown ? Math.max(0, prefillTokens - (shape.inputTokens - sharedTokens)) : 0
    const discountedTokens = candidate.id === preferredTarget && !isKnown ? sharedTokens : 0
    const workTokens = recomputedTokens * RECOMPUTE_WEIGHT + transferTokens * TRANSFER_WEIGHT - discountedTokens * PREFERRED_TARGET_DISCOUNT
    let transferBytes = 0
    for (const [hall, bytes] of bytesByHall) if (hall !== candidate.hall) transferBytes += bytes
    return workTokens * INITIAL_MS_PER_TOKEN + transferBytes / BYTES_PER_MB * TRANSFER_COST_MS_PER_MB
  }

  private _removeAssignment (jobId: string): Assignment | undefined {
    const assignment = this._assignments.get(jobId)
    if (assignment === undefined) return undefined
    this._assignments.delete(jobId)
    const target = this._targets.get(assignment.targetId)
    if (target !== undefined) {
      target.pendingTokens -= assignment.tokens
      target.awaitingFirstEvent.delete(assignment)
    }
    return assignment
  }

  private _getTarget (id: string): TargetState {
    let target = this._targets.get(id)
    if (target === undefined) {
      target = new TargetState()
      this._targets.set(id, target)
    }
    return target
  }
}

/** Estimates the time to the first event of a request with so many tokens, queued behind the pending ones. */
function estimatePrefillMs ({ pendingTokens, msPerToken }: TargetState, prefillTokens: number): number {
  return FIRST_EVENT_BASE_MS + (pendingTokens + prefillTokens) * msPerToken
}

/** Chooses by rendezvous hashing, so that all coordinators prefer the same target for a prefix. */
function findPreferredTarget (prefix: string, candidates: readonly TargetCandidate[]): string {
  let best = ''
  let bestScore = -1
  for (const { id } of candidates) {
    const score = hashText(`${prefix}\u0000${id}`)
    if (score > bestScore) {
      best = id
      bestScore = score
    }
  }
  return best
}
