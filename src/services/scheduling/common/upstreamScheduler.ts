/**
 * Assigns upstreams to stages. Keeps a queue per role and the latencies of this gate's own calls, and has the router
 * choose among the upstreams with a free slot.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter, LimitSignal } from '../../limits/common/concurrencyLimiter.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { PrefixCacheTracker } from '../../routing/common/prefixCacheTracker.ts'
import type { Router } from '../../routing/common/router.ts'
import { LatencyTracker } from './latencyTracker.ts'
import type { StageQueue, StageTicket } from './stageQueue.ts'
import type { IUpstreamDirectory } from './upstreamDirectory.ts'
import { UpstreamPool } from './upstreamPool.ts'

/** An upstream assigned to a stage until the slot is released. */
export interface StageSlot {
  readonly ticket: StageTicket
  readonly view: UpstreamView
  /** Why this upstream was chosen, for the decision log. */
  readonly reason: string
  readonly startedAt: number
}

/** Outcome of the call, for limits, health and latencies. `abandoned` calls do not count for or against the upstream. */
export interface SlotResult {
  readonly kind: 'answered' | 'busy' | 'unreachable' | 'failed' | 'lost' | 'slow' | 'abandoned'
  /** Whether the call left the request's prefix in the upstream's cache. */
  readonly cachesPrefix?: boolean
}

/** Callbacks of a caller that waits for a slot. At most one of them is called, once. */
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
  /** Whether queued stages are refused once they cannot finish before their deadline. */
  readonly dropsInfeasible: boolean
}

interface RoleQueue {
  readonly queue: StageQueue
  readonly listeners: Map<StageTicket, SlotListener>
}

/** Minimum cost of a served ticket, so that calls too short to measure are still distributed fairly. */
const MIN_SERVED_COST_MS = 1

const LIMIT_SIGNALS: Readonly<Record<SlotResult['kind'], LimitSignal | undefined>> = {
  answered: 'ok',
  busy: 'busy',
  unreachable: 'failed',
  failed: 'failed',
  lost: 'failed',
  slow: 'slow',
  abandoned: undefined
}

export class UpstreamScheduler {
  readonly latencies = new LatencyTracker()
  readonly prefixCaches = new PrefixCacheTracker()
  private readonly _pool: UpstreamPool
  private readonly _roleQueues = new Map<string, RoleQueue>()

  constructor (private readonly _options: UpstreamSchedulerOptions) {
    this._pool = new UpstreamPool({ ..._options, latencies: this.latencies, prefixCaches: this.prefixCaches })
  }

  /** Requests an upstream. The listener is called exactly once, possibly synchronously, unless the ticket is withdrawn first. */
  acquire (ticket: StageTicket, listener: SlotListener): void {
    const roleQueue = this._getRoleQueue(ticket.role)
    roleQueue.queue.add(ticket)
    roleQueue.listeners.set(ticket, listener)
    this._dispatch(ticket.role)
  }

  /** Removes a queued ticket; its listener is not called. */
  withdraw (ticket: StageTicket): void {
    const roleQueue = this._getRoleQueue(ticket.role)
    roleQueue.queue.remove(ticket)
    roleQueue.listeners.delete(ticket)
  }

  /** Frees the slot and records the outcome of its call; a second release of the same slot has no effect. */
  release (slot: StageSlot, result: SlotResult): void {
    const now = this._options.clock.now()
    const name = slot.view.upstream.name
    const state = this._pool.getState(name)
    const inFlight = state.inFlight
    if (state.endCall(slot, now) === undefined) return
    const signal = LIMIT_SIGNALS[result.kind]
    if (signal !== undefined) state.limiter.record(signal, inFlight)
    if (result.kind === 'answered') this._recordAnswer(slot, result, now)
    else if (result.kind === 'slow') this.latencies.record(slot.ticket.stageKey, name, now - slot.startedAt, now)
    if (result.kind !== 'abandoned' && result.kind !== 'busy') state.health.record(result.kind === 'answered', now)
    this._dispatch(slot.ticket.role)
  }

  /** Assigns free slots to queued tickets and, if configured, refuses those that can no longer meet their deadline. */
  sweep (): void {
    for (const [role, { queue }] of this._roleQueues) if (queue.size > 0) this._dispatch(role)
  }

  /** Number of calls that this gate may have open at the usable upstreams of a role; may be fractional. */
  countSlots (role: string): number {
    return this._pool.countSlots(role)
  }

  countWaiting (role: string): number {
    return this._roleQueues.get(role)?.queue.size ?? 0
  }

  /** State of each upstream that was called or considered, for the process dump. */
  describe (): readonly object[] {
    return this._pool.describe()
  }

  private _recordAnswer (slot: StageSlot, result: SlotResult, now: number): void {
    const name = slot.view.upstream.name
    this.latencies.record(slot.ticket.stageKey, name, now - slot.startedAt, now)
    if (result.cachesPrefix === true) this.prefixCaches.record(name, slot.ticket.prefixKey, now)
  }

  private _dispatch (roleName: string): void {
    const roleQueue = this._getRoleQueue(roleName)
    if (this._options.dropsInfeasible) this._dropInfeasible(roleQueue)
    const blockedModels = new Set<string>()
    for (const ticket of roleQueue.queue.list()) {
      if (blockedModels.has(ticket.model) && ticket.triedUpstreams.size === 0) continue
      const outcome = this._tryAssign(ticket)
      if (outcome === 'wait') blockedModels.add(ticket.model)
      else this._resolveTicket(roleQueue, ticket, outcome)
    }
  }

  private _resolveTicket (roleQueue: RoleQueue, ticket: StageTicket, outcome: StageSlot | PepperwoodError): void {
    const listener = roleQueue.listeners.get(ticket)
    roleQueue.queue.remove(ticket)
    roleQueue.listeners.delete(ticket)
    if (outcome instanceof PepperwoodError) return listener?.onRefused(outcome)
    roleQueue.queue.recordServed(ticket, Math.max(MIN_SERVED_COST_MS, this.latencies.getMeanMs(ticket.stageKey)))
    this._pool.getState(outcome.view.upstream.name).startCall(outcome, outcome.startedAt)
    listener?.onGranted(outcome)
  }

  private _tryAssign (ticket: StageTicket): StageSlot | PepperwoodError | 'wait' {
    const { clock, directory, hall, router } = this._options
    const found = this._pool.findFree(ticket)
    if (found.kind === 'none') {
      return new PepperwoodError({ name: 'upstreamNoneLeft', message: 'no upstream can run the stage', place: ticket.stageKey, value: ticket.role })
    }
    if (found.kind === 'full') return 'wait'
    const request = { prefixKey: ticket.prefixKey, hall, expectedMs: this.latencies.getMeanMs(ticket.stageKey), liveGateCount: directory.countLiveGates() }
    const choice = router.choose(request, found.views.map(view => this._pool.createCandidate(view, ticket)))
    const view = found.views.find(item => item.upstream.name === choice?.candidate.name)
    if (view === undefined || choice === undefined) return 'wait'
    return { ticket, view, reason: `${choice.reason}, report ${Math.round(choice.candidate.reportAgeMs)} ms old`, startedAt: clock.now() }
  }

  private _dropInfeasible (roleQueue: RoleQueue): void {
    const now = this._options.clock.now()
    for (const ticket of roleQueue.listeners.keys()) {
      if (ticket.deadlineAt - now > this.latencies.getLowMs(ticket.stageKey)) continue
      this._resolveTicket(roleQueue, ticket, new PepperwoodError({ name: 'deadlinePassed', message: 'the stage cannot finish before the deadline', place: ticket.stageKey }))
    }
  }

  private _getRoleQueue (role: string): RoleQueue {
    let found = this._roleQueues.get(role)
    if (found === undefined) {
      found = { queue: this._options.createQueue(), listeners: new Map() }
      this._roleQueues.set(role, found)
    }
    return found
  }
}
