/**
 * Gives each stage an upstream: it holds the queues by role and the latencies of this gate's own calls, and lets
 * the router choose among the upstreams that have room.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter, LimitSignal } from '../../limits/common/concurrencyLimiter.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { PrefixBelief } from '../../routing/common/prefixBelief.ts'
import type { Router } from '../../routing/common/router.ts'
import { LatencyBook } from './latencyBook.ts'
import type { StageQueue, StageTicket } from './stageQueue.ts'
import type { IUpstreamDirectory } from './upstreamDirectory.ts'
import { UpstreamPool } from './upstreamPool.ts'

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
  /** The upstream has the request's prefix in its cache from now on. */
  readonly cachesPrefix?: boolean
}

/** Who waits for a slot. */
export interface SlotListener {
  onGranted (slot: StageSlot): void
  onRefused (error: PepperwoodError): void
}

export interface UpstreamSchedulerOptions {
  readonly clock: IClock
  readonly random: IRandom
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
  private readonly _pool: UpstreamPool
  private readonly _roles = new Map<string, RoleQueue>()

  constructor (private readonly _options: UpstreamSchedulerOptions) {
    this._pool = new UpstreamPool({ ..._options, latencies: this.latencies, prefixes: this.prefixes })
  }

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
    const state = this._pool.getState(name)
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
    return this._pool.countSlots(role)
  }

  countWaiting (role: string): number {
    return this._roles.get(role)?.queue.size ?? 0
  }

  /** The state of each upstream that was called or looked at, for the dump. */
  describe (): readonly object[] {
    return this._pool.describe()
  }

  private _recordAnswer (slot: StageSlot, result: SlotResult, now: number): void {
    const name = slot.view.upstream.name
    this.latencies.record(slot.ticket.stageKey, name, now - slot.startedAt, now)
    if (result.cachesPrefix === true) this.prefixes.record(name, slot.ticket.prefixKey, now)
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
    this._pool.getState(outcome.view.upstream.name).start(outcome, outcome.startedAt)
    listener?.onGranted(outcome)
  }

  private _place (ticket: StageTicket): StageSlot | PepperwoodError | 'wait' {
    const { clock, directory, hall, router } = this._options
    const found = this._pool.findFree(ticket)
    if (found.kind === 'none') {
      return new PepperwoodError({ name: 'upstreamNoneLeft', message: 'no upstream can run the stage', place: ticket.stageKey, value: ticket.role })
    }
    if (found.kind === 'full') return 'wait'
    const request = { prefixKey: ticket.prefixKey, hall, usualMs: this.latencies.getUsual(ticket.stageKey), liveGates: directory.countLiveGates() }
    const choice = router.choose(request, found.views.map(view => this._pool.createCandidate(view, ticket)))
    const view = found.views.find(item => item.upstream.name === choice?.candidate.name)
    if (view === undefined || choice === undefined) return 'wait'
    return { ticket, view, reason: `${choice.reason}, report ${Math.round(choice.candidate.reportAgeMs)} ms old`, startedAt: clock.now() }
  }

  private _dropHopeless (role: RoleQueue): void {
    const now = this._options.clock.now()
    for (const ticket of role.listeners.keys()) {
      if (ticket.deadlineAt - now > this.latencies.getLow(ticket.stageKey)) continue
      this._settle(role, ticket, new PepperwoodError({ name: 'deadlinePassed', message: 'no time is left for the stage', place: ticket.stageKey }))
    }
  }

  private _getRole (role: string): RoleQueue {
    let found = this._roles.get(role)
    if (found === undefined) {
      found = { queue: this._options.createQueue(), listeners: new Map() }
      this._roles.set(role, found)
    }
    return found
  }
}
