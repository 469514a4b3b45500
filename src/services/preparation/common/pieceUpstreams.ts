/**
 * All upstreams that make pieces for one plan, and what can be asked of them together.
 */
import type { RoleCapacity } from './jobForecast.ts'
import { RoleRate } from './roleRate.ts'
import { computeCallMs, computePieceCost } from './pieceUpstream.ts'
import type { PieceUpstream } from './pieceUpstream.ts'

/** An upstream this much slower than the configuration says is used only when no other can be. */
const MAX_SLOWNESS = 2.5

export class PieceUpstreams {
  private readonly _rates = new Map<string, RoleRate>()

  constructor (private readonly _byId: ReadonlyMap<string, PieceUpstream>) {}

  /** What is observed of a role. */
  getRate (role: string): RoleRate {
    let rate = this._rates.get(role)
    if (rate === undefined) {
      rate = new RoleRate()
      this._rates.set(role, rate)
    }
    return rate
  }

  /** Whether the upstream lies in a hall, or no usable upstream of its role does; an empty hall stands for any. */
  isNear (upstream: PieceUpstream, hall: string, now: number): boolean {
    if (hall === '' || hall === upstream.hall) return true
    for (const other of this._byId.values()) {
      if (other.role === upstream.role && other.hall === hall && other.isUsable(now) && other.getSlowness(now) <= MAX_SLOWNESS) return false
    }
    return true
  }

  /** Upstreams that can take a call now, by role, the fastest first. */
  groupIdle (now: number): ReadonlyMap<string, readonly PieceUpstream[]> {
    const groups = new Map<string, PieceUpstream[]>()
    for (const upstream of this._byId.values()) {
      if (upstream.canStart(now)) groups.set(upstream.role, [...groups.get(upstream.role) ?? [], upstream])
    }
    for (const group of groups.values()) group.sort((a, b) => a.getSlowness(now) - b.getSlowness(now) || b.getFreeBytes(now) - a.getFreeBytes(now))
    return groups
  }

  /** A slow upstream is worth its while only when the others would need longer for what waits. */
  isWorthwhile (upstream: PieceUpstream, waiting: number, now: number): boolean {
    const slowness = upstream.getSlowness(now)
    if (slowness <= MAX_SLOWNESS) return true
    const { work } = upstream
    let usualCalls = 0
    for (const other of this._byId.values()) {
      if (other.role === upstream.role && other.isUsable(now) && other.getSlowness(now) <= MAX_SLOWNESS) usualCalls += other.work.concurrentCalls
    }
    if (usualCalls === 0) return true
    const waitMs = waiting * computePieceCost(work) / usualCalls
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
      const held = sums.get(upstream.role) ?? { calls: 0, backoffMs: Infinity }
      const calls = upstream.isUsable(now) ? upstream.work.concurrentCalls / Math.max(1, upstream.getSlowness(now)) : 0
      const backoffMs = upstream.takesWork ? upstream.getBackoffMs(now) : Infinity
      sums.set(upstream.role, { work: upstream.work, calls: held.calls + calls, backoffMs: Math.min(held.backoffMs, backoffMs) })
    }
    return new Map([...sums].map(([role, { work, calls, backoffMs }]) => {
      const rate = this.getRate(role)
      return [role, { work, calls, backoffMs, piecesPerMs: rate.computePiecesPerMs(work, calls, now), arrivalsPerMs: rate.computeArrivalsPerMs(now) }]
    }))
  }
}
