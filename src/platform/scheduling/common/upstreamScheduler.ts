/**
 * Gives each stage an upstream: it holds the queues by role, the limits, the health and the latencies of this gate's
 * own calls, and lets the router choose among the upstreams that have room.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter, LimitSignal } from '../../limits/common/concurrencyLimiter.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { Candidate } from '../../routing/common/candidate.ts'
import { PrefixBelief } from '../../routing/common/prefixBelief.ts'
import type { Router } from '../../routing/common/router.ts'
import { LatencyBook } from './latencyBook.ts'
import type { StageQueue, StageTicket } from './stageQueue.ts'
import type { IUpstreamDirectory } from './upstreamDirectory.ts'
import { getCapacity, UpstreamState } from './upstreamState.ts'

/** An upstream given to a stage, until it is released. */
export interface StageSlot {
  readonly ticket: StageTicket
  readonly view: UpstreamView
  readonly reason: string
  readonly startedAt: number
}

/** How the call went, for limits, health and latencies. `abandoned` calls say nothing of the upstream. */
export interface SlotResult {
  readonly kind: 'answered' | 'busy' | 'unreachable' | 'failed' | 'lost' | 'slow' | 'abandoned'
  /** Tokens of the prompt that were cached; undefined where that is not known. */
  readonly wasPrefixCached?: boolean
}

/** Who waits for a slot. */
export interface SlotListener {
  onGranted (slot: StageSlot): void
  onRefused (error: PepperwoodError): void
}

export interface UpstreamSchedulerOptions {
  readonly clock: IClock
  readonly hall: string
  readonly directory: IUpstreamDirectory
  readonly router: Router
  readonly createQueue: () => StageQueue
  readonly createLimiter: () => ConcurrencyLimiter
  readonly createHealth: () => HealthTracker
  /** Drops waiting work once it cannot finish in time. */
  readonly dropsHopeless: boolean
}

interface RoleQueue {
  readonly queue: StageQueue
  readonly listeners: Map<StageTicket, SlotListener>
}

/** What a turn counts at least, so that calls too short to measure are still shared out fairly. */
const MIN_SERVED_COST = 1

const SIGNALS: Readonly<Record<SlotResult['kind'], LimitSignal | undefined>> = {
  answered: 'ok',
  busy: 'busy',
  unreachable: 'failed',
  failed: 'failed',
  lost: 'failed',
  slow: 'slow',
  abandoned: undefined
}

export class UpstreamScheduler {
  readonly latencies = new LatencyBook()
  readonly prefixes = new PrefixBelief()
  private readonly _states = new Map<string, UpstreamState>()
  private readonly _roles = new Map<string, RoleQueue>()

  constructor (private readonly _options: UpstreamSchedulerOptions) {}

  /** Asks for an upstream; the listener is called at once or later, exactly once, unless the ticket is withdrawn. */
  acquire (ticket: StageTicket, listener: SlotListener): void {
    const role = this._getRole(ticket.role)
    role.queue.add(ticket)
    role.listeners.set(ticket, listener)
    this._dispatch(ticket.role)
  }

  /** Takes a waiting ticket back. */
  withdraw (ticket: StageTicket): void {
    const role = this._getRole(ticket.role)
    role.queue.remove(ticket)
    role.listeners.delete(ticket)
  }

  /** Gives the upstream back; a second release of the same slot changes nothing. */
  release (slot: StageSlot, result: SlotResult): void {
    const now = this._options.clock.now()
    const name = slot.view.upstream.name
    const state = this._getState(name)
    const inFlight = state.inFlight
    if (state.end(slot, now) === undefined) return
    const signal = SIGNALS[result.kind]
    if (signal !== undefined) state.limiter.record(signal, inFlight)
    if (result.kind === 'answered') this._recordAnswer(slot, result, now)
    else if (result.kind === 'slow') this.latencies.record(slot.ticket.stageKey, name, now - slot.startedAt, now)
    if (result.kind !== 'abandoned' && result.kind !== 'busy') state.health.record(result.kind === 'answered', now)
    this._dispatch(slot.ticket.role)
  }

  /** Gives what has become free to what waits, and drops what has become hopeless. */
  sweep (): void {
    for (const [role, { queue }] of this._roles) if (queue.size > 0) this._dispatch(role)
  }

  /** Calls that this gate may have open at a role's usable upstreams. */
  countSlots (role: string): number {
    const now = this._options.clock.now()
    const liveGates = this._options.directory.countLiveGates()
    return this._listUsable(role, now).reduce((sum, view) => sum + this._getState(view.upstream.name).computeRoom(view, liveGates, now), 0)
  }

  countWaiting (role: string): number {
    return this._roles.get(role)?.queue.size ?? 0
  }

  /** The state of each upstream that was called or looked at, for the dump. */
  describe (): readonly object[] {
    const now = this._options.clock.now()
    return [...this._states].map(([name, state]) => ({
      upstream: name,
      inFlight: state.inFlight,
      limit: state.limiter.limit,
      health: state.health.getState(now),
      slowness: Number(this.latencies.getSlowness(name, now).toFixed(2))
    }))
  }

  private _recordAnswer (slot: StageSlot, result: SlotResult, now: number): void {
    const name = slot.view.upstream.name
    this.latencies.record(slot.ticket.stageKey, name, now - slot.startedAt, now)
    if (result.wasPrefixCached !== undefined) this.prefixes.record(name, slot.ticket.prefixKey, now)
  }

  private _dispatch (roleName: string): void {
    const role = this._getRole(roleName)
    if (this._options.dropsHopeless) this._dropHopeless(role)
    const blocked = new Set<string>()
    for (const ticket of role.queue.list()) {
      if (blocked.has(ticket.model) && ticket.tried.size === 0) continue
      const outcome = this._place(ticket)
      if (outcome === 'wait') blocked.add(ticket.model)
      else this._settle(role, ticket, outcome)
    }
  }

  private _settle (role: RoleQueue, ticket: StageTicket, outcome: StageSlot | PepperwoodError): void {
    const listener = role.listeners.get(ticket)
    role.queue.remove(ticket)
    role.listeners.delete(ticket)
    if (outcome instanceof PepperwoodError) return listener?.onRefused(outcome)
    role.queue.recordServed(ticket, Math.max(MIN_SERVED_COST, this.latencies.getUsual(ticket.stageKey)))
    this._getState(outcome.view.upstream.name).start(outcome, outcome.startedAt)
    listener?.onGranted(outcome)
  }

  private _place (ticket: StageTicket): StageSlot | PepperwoodError | 'wait' {
    const { clock, directory, hall, router } = this._options
    const now = clock.now()
    const liveGates = directory.countLiveGates()
    const usable = this._listUsable(ticket.role, now).filter(view => holdsModel(view, ticket.model))
    if (usable.length === 0) {
      return new PepperwoodError({ name: 'upstreamNoneLeft', message: 'no upstream can run the stage', place: ticket.stageKey, value: ticket.role })
    }
    const untried = usable.filter(view => !ticket.tried.has(view.upstream.name))
    const free = (untried.length > 0 ? untried : usable).filter(view => this._hasRoom(view, liveGates, now))
    if (free.length === 0) return 'wait'
    const request = { prefixKey: ticket.prefixKey, hall, usualMs: this.latencies.getUsual(ticket.stageKey), liveGates }
    const choice = router.choose(request, free.map(view => this._createCandidate(view, ticket, now)))
    const view = free.find(item => item.upstream.name === choice?.candidate.name)
    if (view === undefined || choice === undefined) return 'wait'
    return { ticket, view, reason: `${choice.reason}, report ${Math.round(choice.candidate.reportAgeMs)} ms old`, startedAt: now }
  }

  private _hasRoom (view: UpstreamView, liveGates: number, now: number): boolean {
    const state = this._getState(view.upstream.name)
    return state.inFlight < state.computeRoom(view, liveGates, now)
  }

  /** Neither leaving nor ejected; when more than half are ejected, those that come back soonest are used all the same. */
  private _listUsable (role: string, now: number): readonly UpstreamView[] {
    const staying = this._options.directory.listRole(role).filter(view => !view.isLeaving)
    const isEjected = (view: UpstreamView) => this._getState(view.upstream.name).health.getState(now) === 'ejected'
    const ejected = staying.filter(isEjected)
    if (ejected.length === 0) return staying
    const mayEject = Math.floor(staying.length / 2)
    const kept = [...ejected]
      .sort((a, b) => this._getState(a.upstream.name).health.ejectedUntil - this._getState(b.upstream.name).health.ejectedUntil)
      .slice(0, Math.max(0, ejected.length - mayEject))
    return staying.filter(view => !isEjected(view) || kept.includes(view))
  }

  private _dropHopeless (role: RoleQueue): void {
    const now = this._options.clock.now()
    for (const ticket of role.listeners.keys()) {
      if (ticket.deadlineAt > now) continue
      this._settle(role, ticket, new PepperwoodError({ name: 'deadlinePassed', message: 'no time is left for the stage', place: ticket.stageKey }))
    }
  }

  private _createCandidate (view: UpstreamView, ticket: StageTicket, now: number): Candidate {
    const { name, hall } = view.upstream
    const state = this._getState(name)
    return {
      name,
      hall,
      ...state.describeBacklog(view),
      capacity: getCapacity(view),
      reportAgeMs: view.load === undefined ? 0 : now - view.reportedAt,
      slowness: this.latencies.getSlowness(name, now),
      prefixBelief: this._getPrefixBelief(view, ticket.prefixKey, now)
    }
  }

  private _getPrefixBelief (view: UpstreamView, prefixKey: string, now: number): number {
    if (view.load?.prefixes.includes(prefixKey)) this.prefixes.record(view.upstream.name, prefixKey, view.reportedAt)
    return this.prefixes.get(view.upstream.name, prefixKey, now)
  }

  private _getRole (role: string): RoleQueue {
    let found = this._roles.get(role)
    if (found === undefined) {
      found = { queue: this._options.createQueue(), listeners: new Map() }
      this._roles.set(role, found)
    }
    return found
  }

  private _getState (upstream: string): UpstreamState {
    let state = this._states.get(upstream)
    if (state === undefined) {
      state = new UpstreamState(this._options.createLimiter(), this._options.createHealth())
      this._states.set(upstream, state)
    }
    return state
  }
}

/** An upstream that has not said what it holds is taken to hold it; it refuses if it does not. */
function holdsModel (view: UpstreamView, model: string): boolean {
  if (model === '' || view.load === undefined) return true
  return view.load.models.some(held => held === model || held.startsWith(`${model}@`))
}
