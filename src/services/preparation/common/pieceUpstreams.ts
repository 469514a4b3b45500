/**
 * The upstreams that run the pieces of one plan, and aggregates over them.
 */
import type { RoleCapacity } from './jobForecast.ts'
import { RoleRate } from './roleRate.ts'
import { computeCallMs, computeMsPerPiece } from './pieceUpstream.ts'
import type { PieceUpstream } from './pieceUpstream.ts'

/** Slowness above which an upstream is used only if the others would take longer. */
const MAX_SLOWNESS = 2.5

export class PieceUpstreams {
  private readonly _rates = new Map<string, RoleRate>()

  constructor (private readonly _byId: ReadonlyMap<string, PieceUpstream>) {}

  /** Returns the observed rates of a role. */
  getRate (role: string): RoleRate {
    let rate = this._rates.get(role)
    if (rate === undefined) {
      rate = new RoleRate()
      this._rates.set(role, rate)
    }
    return rate
  }

  /** Whether the upstream is in the hall, or no usable upstream of its role is that runs at normal speed; an empty hall means any. */
  isEligibleForHall (upstream: PieceUpstream, hall: string, now: number): boolean {
    if (hall === '' || hall === upstream.hall) return true
    for (const other of this._byId.values()) {
      if (other.role === upstream.role && other.hall === hall && other.isUsable(now) && other.getSlowness(now) <= MAX_SLOWNESS) return false
    }
    return true
  }

  /** Returns the upstreams that can start a call now, by role, the fastest first. */
  groupAvailable (now: number): ReadonlyMap<string, readonly PieceUpstream[]> {
    const groups = new Map<string, PieceUpstream[]>()
    for (const upstream of this._byId.values()) {
      if (upstream.canStartCall(now)) groups.set(upstream.role, [...groups.get(upstream.role) ?? [], upstream])
    }
    for (const group of groups.values()) group.sort((a, b) => a.getSlowness(now) - b.getSlowness(now) || b.getFreeBytes(now) - a.getFreeBytes(now))
    return groups
  }

  /** Whether to use the upstream: a slow one is used only if the others would take longer to work off the waiting pieces. */
  isWorthwhile (upstream: PieceUpstream, waiting: number, now: number): boolean {
    const slowness = upstream.getSlowness(now)
    if (slowness <= MAX_SLOWNESS) return true
    const { work } = upstream
    let normalSpeedCalls = 0
    for (const other of this._byId.values()) {
      if (other.role === upstream.role && other.isUsable(now) && other.getSlowness(now) <= MAX_SLOWNESS) normalSpeedCalls += other.work.concurrentCalls
    }
    if (normalSpeedCalls === 0) return true
    const waitMs = waiting * computeMsPerPiece(work) / normalSpeedCalls
    return waitMs + computeCallMs(work, 1) > slowness * computeCallMs(work, Math.min(waiting, work.maxPiecesPerCall))
  }

  sumFreeBytes (now: number): Map<string, number> {
    const sums = new Map<string, number>()
    for (const upstream of this._byId.values()) {
      if (upstream.isUsable(now)) sums.set(upstream.role, (sums.get(upstream.role) ?? 0) + Math.max(0, upstream.getFreeBytes(now)))
    }
    return sums
  }

  computeCapacities (now: number): ReadonlyMap<string, RoleCapacity> {
    const sums = new Map<string, Pick<RoleCapacity, 'work' | 'calls' | 'backoffMs'>>()
    for (const upstream of this._byId.values()) {
      const total = sums.get(upstream.role) ?? { calls: 0, backoffMs: Infinity }
      const calls = upstream.isUsable(now) ? upstream.work.concurrentCalls / Math.max(1, upstream.getSlowness(now)) : 0
      const backoffMs = upstream.acceptsWork ? upstream.getRequestedBackoffMs(now) : Infinity
      sums.set(upstream.role, { work: upstream.work, calls: total.calls + calls, backoffMs: Math.min(total.backoffMs, backoffMs) })
    }
    return new Map([...sums].map(([role, { work, calls, backoffMs }]) => {
      const rate = this.getRate(role)
      return [role, { work, calls, backoffMs, piecesPerMs: rate.computePiecesPerMs(work, calls, now), arrivalsPerMs: rate.computeArrivalsPerMs(now) }]
    }))
  }
}
