/**
 * The upstreams of each role as this gate may use them: which stay, which are healthy, which have room. With many of
 * them, a decision looks at a few and only then, if none of these has room, at all.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter } from '../../limits/common/concurrencyLimiter.ts'
import type { Candidate } from '../../routing/common/candidate.ts'
import { findPreferred } from '../../routing/common/preferredUpstreams.ts'
import type { PrefixBelief } from '../../routing/common/prefixBelief.ts'
import type { LatencyBook } from './latencyBook.ts'
import type { StageTicket } from './stageQueue.ts'
import type { IUpstreamDirectory } from './upstreamDirectory.ts'
import { getCapacity, UpstreamState } from './upstreamState.ts'

export interface UpstreamPoolOptions {
  readonly clock: IClock
  readonly random: IRandom
  readonly directory: IUpstreamDirectory
  readonly latencies: LatencyBook
  readonly prefixes: PrefixBelief
  readonly createLimiter: () => ConcurrencyLimiter
  readonly createHealth: () => HealthTracker
}

/** What was found for a ticket: upstreams with room, or why there is none. */
export type FreeUpstreams =
  | { readonly kind: 'free', readonly views: readonly UpstreamView[] }
  /** Some could run the stage and none has room. */
  | { readonly kind: 'full' }
  /** None can run the stage. */
  | { readonly kind: 'none' }

interface CountedSlots {
  readonly slots: number
  readonly at: number
}

/** Roles with more upstreams are sampled. */
const MAX_FULL_LOOK = 16
const PREFERRED_COUNT = 2
const RANDOM_COUNT = 6
/** How long the count of a role's slots is good enough for admission. */
const SLOT_COUNT_PERIOD_MS = 50

export class UpstreamPool {
  private readonly _options: UpstreamPoolOptions
  private readonly _states = new Map<string, UpstreamState>()
  /** The lowest priority that asked for a role so far. */
  private readonly _lowestPriority = new Map<string, number>()
  private readonly _slots = new Map<string, CountedSlots>()

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
    const upstreams = this._options.directory.listRole(ticket.role)
    if (upstreams.length > MAX_FULL_LOOK) {
      const sampled = this._sample(ticket, upstreams)
      if (sampled.length > 0) return { kind: 'free', views: sampled }
    }
    const usable = this._listUsable(upstreams).filter(view => holdsModel(view, ticket.model))
    if (usable.length === 0) return { kind: 'none' }
    const untried = usable.filter(view => !ticket.tried.has(view.upstream.name))
    const candidates = untried.length > 0 ? untried : usable
    const free = candidates.filter(view => this._hasRoom(view, this._isPreferred(ticket)))
    if (free.length > 0) return { kind: 'free', views: free }
    return this._isBelowEqualPart(usable) ? { kind: 'free', views: candidates } : { kind: 'full' }
  }

  /** Calls that this gate may have open at a role's usable upstreams. */
  countSlots (role: string): number {
    const now = this._options.clock.now()
    const known = this._slots.get(role)
    if (known !== undefined && now - known.at < SLOT_COUNT_PERIOD_MS) return known.slots
    const slots = this._listUsable(this._options.directory.listRole(role)).reduce((sum, view) => sum + this._computePart(view), 0)
    this._slots.set(role, { slots, at: now })
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
      prefixBelief: this._getPrefixBelief(view, ticket.prefixKey, now)
    }
  }

  /** The state of each upstream that was called or looked at, for the dump. */
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

  /** A few upstreams with room: those that the prefix prefers, and some at random. */
  private _sample (ticket: StageTicket, upstreams: readonly Upstream[]): readonly UpstreamView[] {
    const drawn = new Set(findPreferred(ticket.prefixKey, upstreams, PREFERRED_COUNT))
    for (let draw = 0; draw < RANDOM_COUNT; draw++) {
      const upstream = upstreams[Math.floor(this._options.random.next() * upstreams.length)]
      if (upstream !== undefined) drawn.add(upstream)
    }
    const views: UpstreamView[] = []
    for (const upstream of drawn) {
      if (ticket.tried.has(upstream.name)) continue
      const view = this._options.directory.getView(upstream)
      if (!view.isLeaving && !this._isEjected(view) && holdsModel(view, ticket.model) && this._hasRoom(view, this._isPreferred(ticket))) views.push(view)
    }
    return views
  }

  /** Neither leaving nor ejected; when more than half are ejected, those that come back soonest are used all the same. */
  private _listUsable (upstreams: readonly Upstream[]): readonly UpstreamView[] {
    const staying = upstreams.map(upstream => this._options.directory.getView(upstream)).filter(view => !view.isLeaving)
    const ejected = staying.filter(view => this._isEjected(view))
    if (ejected.length === 0) return staying
    const mayEject = Math.floor(staying.length / 2)
    const kept = [...ejected]
      .sort((a, b) => this._getEjectedUntil(a) - this._getEjectedUntil(b))
      .slice(0, Math.max(0, ejected.length - mayEject))
    return staying.filter(view => !ejected.includes(view) || kept.includes(view))
  }

  private _isEjected (view: UpstreamView): boolean {
    return this.getState(view.upstream.name).health.getState(this._options.clock.now()) === 'ejected'
  }

  private _getEjectedUntil (view: UpstreamView): number {
    return this.getState(view.upstream.name).health.ejectedUntil
  }

  /** However full the upstreams seem, a gate may have its equal part of the role's capacity open. */
  private _isBelowEqualPart (usable: readonly UpstreamView[]): boolean {
    let inFlight = 0
    let part = 0
    for (const view of usable) {
      const state = this.getState(view.upstream.name)
      if (state.health.getState(this._options.clock.now()) === 'probing') continue
      inFlight += state.inFlight
      part += state.limiter.equalShare
    }
    return inFlight + 1 <= Math.max(1, part)
  }

  private _computePart (view: UpstreamView): number {
    return this.getState(view.upstream.name).computePart(view, this._options.directory.countLiveGates())
  }

  private _hasRoom (view: UpstreamView, isPreferred: boolean): boolean {
    const { clock, directory } = this._options
    const state = this.getState(view.upstream.name)
    return state.inFlight < state.computeRoom(view, directory.countLiveGates(), clock.now(), isPreferred)
  }

  /** Whether work of lower priority shares the role's upstreams. */
  private _isPreferred (ticket: StageTicket): boolean {
    const lowest = Math.min(ticket.priority, this._lowestPriority.get(ticket.role) ?? Infinity)
    this._lowestPriority.set(ticket.role, lowest)
    return ticket.priority > lowest
  }

  private _getPrefixBelief (view: UpstreamView, prefixKey: string, now: number): number {
    const { prefixes } = this._options
    if (view.load?.prefixes.includes(prefixKey)) prefixes.record(view.upstream.name, prefixKey, view.reportedAt)
    return prefixes.get(view.upstream.name, prefixKey, now)
  }
}

/** An upstream that has not said what it holds is taken to hold it; it refuses if it does not. */
function holdsModel (view: UpstreamView, model: string): boolean {
  if (model === '' || view.load === undefined) return true
  return view.load.models.some(held => held === model || held.startsWith(`${model}@`))
}
