/**
 * Which upstream takes a request once its results are there. One coordinator sees all requests, so it knows what each
 * upstream has to read, which prompts it read before, and where the results lie.
 */
import { hashText } from '../../../base/common/rendezvous.ts'
import { EjectingTracker } from '../../health/common/healthTracker.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import { TokenBucket } from '../../quota/common/tokenBucket.ts'
import type { RateLimit } from '../../quota/common/tokenBucket.ts'
import { PrefixBook } from './prefixBook.ts'
import type { PrefixKeeper, PrefixNote } from './prefixBook.ts'
import type { RequestShape } from './preparationJob.ts'

export interface TargetCandidate {
  readonly id: string
  readonly hall: string
  /** How long it takes to have a token from another upstream; infinite where that cannot be done. */
  readonly msPerMovedToken: number
  /** What it accepts from all nodes together; undefined for any number. */
  readonly limit?: RateLimit
}

export interface TargetQuestion {
  readonly shape: RequestShape
  readonly candidates: readonly TargetCandidate[]
  /** Where the results lie that are already there. */
  readonly bytesByHall: ReadonlyMap<string, number>
  /** How long results that are still to be made would wait in each hall. */
  readonly waitByHall: ReadonlyMap<string, number>
}

export interface TargetChoice {
  readonly id: string
  readonly hall: string
  /** Until the first event, waiting included. */
  readonly costMs: number
  /** What the target has to read itself. */
  readonly readTokens: number
  /** The upstream that it should take the beginning of the prompt from; empty when there is none. */
  readonly prefixSourceId: string
}

/** A request on its way to a target. */
export interface TargetRequest {
  readonly jobId: string
  readonly shape: RequestShape
  readonly targetId: string
  readonly readTokens: number
}

/** How a target would come by a prompt. */
interface ReadingPlan {
  readonly readTokens: number
  readonly movedTokens: number
  readonly prefixSourceId: string
}

/** How a request fared at its target. */
export interface TargetReport {
  readonly outcome: 'produced' | 'failed' | 'unused'
  /** From when it was sent to its first event. */
  readonly producedMs: number
}

/** Before anything was measured. */
const FIRST_MS_PER_TOKEN = 1 / 60
const SMOOTHING = 0.15
const MS_PER_S = 1000
const MIN_MS_PER_TOKEN = 1 / 1000
const MAX_MS_PER_TOKEN = 1
/** A first event takes this long also when nothing has to be read. */
const BASE_MS = 25
/** Reading for this long costs as much as moving a megabyte of results to another hall. */
const MOVE_MS_PER_MB = 5
const BYTES_PER_MB = 1e6
/** A prompt that no one is known to have read is most likely kept by the upstream that every coordinator would choose first. */
const GUESSED_SHARE = 0.5
/** Reading shared parts again takes time and memory from other requests as well. */
const READ_AGAIN_WEIGHT = 3
/**
 * Taking shared parts from another upstream keeps the links and the memory of both busy, but no processor: 6,300 tokens
 * of 164 kB take 32 ms over 260 Gbit/s, and 164 ms to read at 38 tokens a ms.
 */
const MOVED_WEIGHT = 0.3
/** Less is read as quickly as it is asked for elsewhere. */
const MIN_MOVED_TOKENS = 256
/** A request that hears nothing for so many times what was expected, and some more, is overdue. */
const OVERDUE_FACTOR = 3
const OVERDUE_EXTRA_MS = 600
/** So many overdue requests, and none that heard anything since, tell of an upstream that is gone before its entry is. */
const MIN_OVERDUE = 2

class TargetState {
  pendingTokens = 0
  producedAt = -Infinity
  /** Requests that have not heard anything yet. */
  readonly waiting = new Set<Assignment>()
  msPerToken = FIRST_MS_PER_TOKEN
  readonly health: HealthTracker = new EjectingTracker()
}

interface Assignment {
  readonly targetId: string
  readonly tokens: number
  readonly tokensAhead: number
  readonly assignedAt: number
  /** Without a first event by then, something is wrong. */
  readonly overdueAt: number
}

export class TargetPlanner {
  private readonly _targets = new Map<string, TargetState>()
  private readonly _assignments = new Map<string, Assignment>()
  private readonly _prefixes = new PrefixBook()
  private readonly _buckets = new Map<string, TokenBucket>()

  /** The best target; undefined when there is none. */
  choose (question: TargetQuestion, now: number): TargetChoice | undefined {
    const { shape } = question
    const candidates = question.candidates.filter(candidate => this._getWaitMs(candidate, now) === 0)
    const healthy = candidates.filter(candidate => this._isUsable(this._getTarget(candidate.id), now))
    const usable = healthy.length * 2 >= candidates.length ? healthy : candidates
    const favourite = findFavourite(shape.shared.at(-1)?.key ?? '', usable)
    const keeper = this._prefixes.findKeeper(shape.shared, new Set(usable.map(({ id }) => id)), now)
    let best: TargetChoice | undefined
    let bestScore = Infinity
    for (const candidate of usable) {
      const plan = this._planReading(shape, candidate, keeper, now)
      const costMs = this._estimateMs(question, candidate, plan)
      const score = costMs + this._scoreWork(question, candidate, favourite, plan)
      if (score >= bestScore) continue
      bestScore = score
      best = { id: candidate.id, hall: candidate.hall, costMs, readTokens: plan.readTokens, prefixSourceId: plan.prefixSourceId }
    }
    return best
  }

  /** How long until one of the candidates accepts a request behind so many others; 0 while there is one without a limit. */
  estimateWaitMs (candidates: readonly TargetCandidate[], ahead: number, now: number): number {
    let perMs = 0
    let soonestMs = Infinity
    for (const candidate of candidates) {
      if (candidate.limit === undefined) return 0
      perMs += candidate.limit.perS / MS_PER_S
      soonestMs = Math.min(soonestMs, this._getWaitMs(candidate, now))
    }
    return candidates.length === 0 ? 0 : soonestMs + (perMs > 0 ? ahead / perMs : 0)
  }

  private _getWaitMs ({ id, limit }: TargetCandidate, now: number): number {
    if (limit === undefined) {
      this._buckets.delete(id)
      return 0
    }
    const held = this._buckets.get(id)
    const bucket = held ?? new TokenBucket(limit, now)
    if (held === undefined) this._buckets.set(id, bucket)
    else held.setLimit(limit, now)
    return bucket.getWaitMs(now)
  }

  /** Shared parts that another upstream keeps are taken from there: that is several times as fast as reading them again. */
  private _planReading (shape: RequestShape, { id, msPerMovedToken }: TargetCandidate, keeper: PrefixKeeper | undefined, now: number): ReadingPlan {
    const keptTokens = this._prefixes.countKept(shape.shared, id, now)
    const movableTokens = keeper === undefined || keeper.id === id || !Number.isFinite(msPerMovedToken) ? 0 : keeper.tokens - keptTokens
    const movedTokens = movableTokens >= MIN_MOVED_TOKENS ? movableTokens : 0
    return { readTokens: Math.max(0, shape.inputTokens - keptTokens - movedTokens), movedTokens, prefixSourceId: movedTokens > 0 ? keeper?.id ?? '' : '' }
  }

  /** Counts a request as on its way to a target. */
  assign ({ jobId, shape, targetId, readTokens: tokens }: TargetRequest, now: number): void {
    this._withdraw(jobId)
    const target = this._getTarget(targetId)
    const expectedMs = estimateReadingMs(target, tokens)
    const assignment = { targetId, tokens, tokensAhead: target.pendingTokens, assignedAt: now, overdueAt: now + expectedMs * OVERDUE_FACTOR + OVERDUE_EXTRA_MS }
    this._assignments.set(jobId, assignment)
    this._buckets.get(targetId)?.take(now)
    target.pendingTokens += tokens
    target.waiting.add(assignment)
    this._prefixes.add(shape.shared, targetId, now)
  }

  /** The request has shown its first event, or will show none. */
  settle (jobId: string, report: TargetReport, now: number): void {
    const assignment = this._withdraw(jobId)
    if (assignment === undefined || report.outcome === 'unused') return
    const target = this._getTarget(assignment.targetId)
    target.health.record(report.outcome === 'produced', now)
    if (report.outcome !== 'produced') return
    target.producedAt = now
    const tokens = assignment.tokens + assignment.tokensAhead
    if (tokens <= 0) return
    const measured = Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, (report.producedMs - BASE_MS) / tokens))
    target.msPerToken += SMOOTHING * (measured - target.msPerToken)
  }

  drop (targetId: string): void {
    this._targets.delete(targetId)
    this._buckets.delete(targetId)
    this._prefixes.drop(targetId)
  }

  /** Takes in what others know. */
  addPrefixes (notes: readonly PrefixNote[], now: number): void {
    for (const { shared, targetId, ageMs } of notes) this._prefixes.add(shared, targetId, now - ageMs)
  }

  describe (): readonly object[] {
    return [...this._targets].map(([id, { pendingTokens, msPerToken }]) => ({ id, pendingTokens, msPerToken }))
  }

  private _isUsable (target: TargetState, now: number): boolean {
    if (target.health.getState(now) === 'ejected') return false
    let overdueCount = 0
    for (const { assignedAt, overdueAt } of target.waiting) if (now > overdueAt && assignedAt > target.producedAt) overdueCount++
    return overdueCount < MIN_OVERDUE
  }

  /** Until the first event. */
  private _estimateMs ({ waitByHall }: TargetQuestion, candidate: TargetCandidate, { readTokens, movedTokens }: ReadingPlan): number {
    const target = this._getTarget(candidate.id)
    const moveMs = movedTokens > 0 ? movedTokens * candidate.msPerMovedToken : 0
    return estimateReadingMs(target, readTokens) + moveMs + (waitByHall.get(candidate.hall) ?? 0)
  }

  /** What the choice costs the fleet beyond the time of this request. */
  private _scoreWork ({ shape, bytesByHall }: TargetQuestion, candidate: TargetCandidate, favourite: string, { readTokens, movedTokens }: ReadingPlan): number {
    const longest = shape.shared.slice(-1)
    const sharedTokens = longest[0]?.tokens ?? 0
    const isKnown = this._prefixes.isKnown(longest)
    const againTokens = isKnown ? Math.max(0, readTokens - (shape.inputTokens - sharedTokens)) : 0
    const guessedTokens = candidate.id === favourite && !isKnown ? sharedTokens : 0
    const workTokens = againTokens * READ_AGAIN_WEIGHT + movedTokens * MOVED_WEIGHT - guessedTokens * GUESSED_SHARE
    let movedBytes = 0
    for (const [hall, bytes] of bytesByHall) if (hall !== candidate.hall) movedBytes += bytes
    return workTokens * FIRST_MS_PER_TOKEN + movedBytes / BYTES_PER_MB * MOVE_MS_PER_MB
  }

  private _withdraw (jobId: string): Assignment | undefined {
    const assignment = this._assignments.get(jobId)
    if (assignment === undefined) return undefined
    this._assignments.delete(jobId)
    const target = this._targets.get(assignment.targetId)
    if (target !== undefined) {
      target.pendingTokens -= assignment.tokens
      target.waiting.delete(assignment)
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

/** Until the first event of a request with so many tokens to read, behind what is pending. */
function estimateReadingMs ({ pendingTokens, msPerToken }: TargetState, readTokens: number): number {
  return BASE_MS + (pendingTokens + readTokens) * msPerToken
}

/** The same for every coordinator, by rendezvous. */
function findFavourite (prefix: string, candidates: readonly TargetCandidate[]): string {
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
