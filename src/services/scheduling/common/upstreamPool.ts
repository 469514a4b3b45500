/**
 * Selects the upstreams of a role that this gate can use: not leaving, healthy and with a free slot. In large roles a
 * sample is checked first, and all upstreams only if none in the sample has a free slot.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter } from '../../limits/common/concurrencyLimiter.ts'
import type { Candidate } from '../../routing/common/candidate.ts'
import { findPreferred } from '../../routing/common/preferredUpstreams.ts'
import type { PrefixCacheTracker } from '../../routing/common/prefixCacheTracker.ts'
import type { LatencyTracker } from './latencyTracker.ts'
import type { StageTicket } from './stageQueue.ts'
import type { IUpstreamDirectory } from './upstreamDirectory.ts'
import { getCapacity, UpstreamState } from './upstreamState.ts'

export interface UpstreamPoolOptions {
  readonly clock: IClock
  readonly random: IRandom
  readonly directory: IUpstreamDirectory
  readonly latencies: LatencyTracker
  readonly prefixCaches: PrefixCacheTracker
  readonly createLimiter: () => ConcurrencyLimiter
  readonly createHealth: () => HealthTracker
}

/** Result of the search for a ticket: the upstreams with a free slot, or the reason why there is none. */
export type FreeUpstreams =
  | { readonly kind: 'free', readonly views: readonly UpstreamView[] }
  /** Some upstreams can run the stage, but none has a free slot. */
  | { readonly kind: 'full' }
  /** No upstream can run the stage. */
  | { readonly kind: 'none' }

interface SlotCount {
  readonly slots: number
  readonly countedAt: number
}

/** Roles with more upstreams than this are sampled before they are scanned in full. */
const MAX_FULL_SCAN = 16
const PREFERRED_SAMPLE_COUNT = 2
const RANDOM_SAMPLE_COUNT = 6
/** Admission may use a count of a role's slots that is up to this old. */
const SLOT_COUNT_CACHE_MS = 50

export class UpstreamPool {
  private readonly _options: UpstreamPoolOptions
  private readonly _states = new Map<string, UpstreamState>()
  /** The lowest priority requested so far, by role. */
  private readonly _lowestPriorities = new Map<string, number>()
  private readonly _slotCounts = new Map<string, SlotCount>()

  constructor (options: UpstreamPoolOptions) {
    this._options = options
  }

  getState (upstream: string): UpstreamState {
    let state = this._states.get(upstream)
    if (state === undefined) {
      state = new UpstreamState(this._options.createLimiter(), this._options.createHealth())
      this._states.set(upstream, state)
    }
    return state
  }

  findFree (ticket: StageTicket): FreeUpstreams {
    const upstreams = this._options.directory.listByRole(ticket.role)
    if (upstreams.length > MAX_FULL_SCAN) {
      const sampled = this._sample(ticket, upstreams)
      if (sampled.length > 0) return { kind: 'free', views: sampled }
    }
    const usable = this._listUsable(upstreams).filter(view => hasModel(view, ticket.model))
    if (usable.length === 0) return { kind: 'none' }
    const untried = usable.filter(view => !ticket.triedUpstreams.has(view.upstream.name))
    const candidates = untried.length > 0 ? untried : usable
    const free = candidates.filter(view => this._hasFreeSlot(view, this._hasElevatedPriority(ticket)))
    if (free.length > 0) return { kind: 'free', views: free }
    return this._isBelowEqualShare(usable) ? { kind: 'free', views: candidates } : { kind: 'full' }
  }

  /** Number of calls that this gate may have open at the usable upstreams of a role; may be fractional. */
  countSlots (role: string): number {
    const now = this._options.clock.now()
    const cached = this._slotCounts.get(role)
    if (cached !== undefined && now - cached.countedAt < SLOT_COUNT_CACHE_MS) return cached.slots
    const slots = this._listUsable(this._options.directory.listByRole(role)).reduce((sum, view) => sum + this._computeShare(view), 0)
    this._slotCounts.set(role, { slots, countedAt: now })
    return slots
  }

  createCandidate (view: UpstreamView, ticket: StageTicket): Candidate {
    const now = this._options.clock.now()
    const { name, hall } = view.upstream
    return {
      name,
      hall,
      ...this.getState(name).describeBacklog(view),
      capacity: getCapacity(view),
      reportAgeMs: view.load === undefined ? 0 : now - view.reportedAt,
      slowness: this._options.latencies.getSlowness(name, now),
      prefixProbability: this._getPrefixProbability(view, ticket.prefixKey, now)
    }
  }

  /** State of each upstream that was called or considered, for the process dump. */
  describe (): readonly object[] {
    const now = this._options.clock.now()
    return [...this._states].map(([name, state]) => ({
      upstream: name,
      inFlight: state.inFlight,
      limit: state.limiter.limit,
      health: state.health.getState(now),
      slowness: Number(this._options.latencies.getSlowness(name, now).toFixed(2))
    }))
  }

  /** A few untried upstreams with a free slot: those preferred for the prefix, and some drawn at random. */
  private _sample (ticket: StageTicket, upstreams: readonly Upstream[]): readonly UpstreamView[] {
    const selected = new Set(findPreferred(ticket.prefixKey, upstreams, PREFERRED_SAMPLE_COUNT))
    for (let draw = 0; draw < RANDOM_SAMPLE_COUNT; draw++) {
      const upstream = upstreams[Math.floor(this._options.random.next() * upstreams.length)]
      if (upstream !== undefined) selected.add(upstream)
    }
    const views: UpstreamView[] = []
    for (const upstream of selected) {
      if (ticket.triedUpstreams.has(upstream.name)) continue
      const view = this._options.directory.getView(upstream)
      if (!view.isLeaving && !this._isEjected(view) && hasModel(view, ticket.model) && this._hasFreeSlot(view, this._hasElevatedPriority(ticket))) views.push(view)
    }
    return views
  }

  /**
   * Upstreams that are neither leaving nor ejected. If more than half are ejected, those whose ejection ends first are used
   * anyway, so that at most half are excluded.
   */
  private _listUsable (upstreams: readonly Upstream[]): readonly UpstreamView[] {
    const active = upstreams.map(upstream => this._options.directory.getView(upstream)).filter(view => !view.isLeaving)
    const ejected = active.filter(view => this._isEjected(view))
    if (ejected.length === 0) return active
    const maxEjected = Math.floor(active.length / 2)
    const readmitted = [...ejected]
      .sort((a, b) => this._getEjectedUntil(a) - this._getEjectedUntil(b))
      .slice(0, Math.max(0, ejected.length - maxEjected))
    return active.filter(view => !ejected.includes(view) || readmitted.includes(view))
  }

  private _isEjected (view: UpstreamView): boolean {
    return this.getState(view.upstream.name).health.getState(this._options.clock.now()) === 'ejected'
  }

  private _getEjectedUntil (view: UpstreamView): number {
    return this.getState(view.upstream.name).health.ejectedUntil
  }

  /**
   * Whether this gate has fewer calls open than its equal share of the role's capacity. It may use that share however full the
   * upstreams appear.
   */
  private _isBelowEqualShare (usable: readonly UpstreamView[]): boolean {
    let inFlight = 0
    let share = 0
    for (const view of usable) {
      const state = this.getState(view.upstream.name)
      if (state.health.getState(this._options.clock.now()) === 'probing') continue
      inFlight += state.inFlight
      share += state.limiter.equalShare
    }
    return inFlight + 1 <= Math.max(1, share)
  }

  private _computeShare (view: UpstreamView): number {
    return this.getState(view.upstream.name).computeShare(view, this._options.directory.countLiveGates())
  }

  private _hasFreeSlot (view: UpstreamView, isPreferred: boolean): boolean {
    const { clock, directory } = this._options
    const state = this.getState(view.upstream.name)
    return state.inFlight < state.computeCallLimit(view, directory.countLiveGates(), clock.now(), isPreferred)
  }

  /** Records the priority of the ticket, and returns whether a lower one has been requested for its role so far. */
  private _hasElevatedPriority (ticket: StageTicket): boolean {
    const lowest = Math.min(ticket.priority, this._lowestPriorities.get(ticket.role) ?? Infinity)
    this._lowestPriorities.set(ticket.role, lowest)
    return ticket.priority > lowest
  }

  private _getPrefixProbability (view: UpstreamView, prefixKey: string, now: number): number {
    const { prefixCaches } = this._options
    if (view.load?.prefixes.includes(prefixKey)) prefixCaches.record(view.upstream.name, prefixKey, view.reportedAt)
    return prefixCaches.getProbability(view.upstream.name, prefixKey, now)
  }
}

/** An upstream that has not reported its models is assumed to hold the model; it refuses the call if it does not. */
function hasModel (view: UpstreamView, model: string): boolean {
  if (model === '' || view.load === undefined) return true
  return view.load.models.some(loaded => loaded === model || loaded.startsWith(`${model}@`))
}
