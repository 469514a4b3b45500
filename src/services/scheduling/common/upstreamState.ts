/**
 * The state of an upstream that one gate tracks from its own calls.
 */
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { ConcurrencyLimiter, LimiterInputs } from '../../limits/common/concurrencyLimiter.ts'
import { estimateBacklog } from '../../routing/common/candidate.ts'
import type { BacklogInputs } from '../../routing/common/candidate.ts'
import type { UpstreamView } from '../../facts/common/upstreamView.ts'

interface EndedCall {
  readonly startedAt: number
  readonly endedAt: number
}

const MAX_ENDED_CALLS = 128

export class UpstreamState {
  /** Start time of each open call. */
  private readonly _openCalls = new Map<object, number>()
  private _endedCalls: readonly EndedCall[] = []

  constructor (readonly limiter: ConcurrencyLimiter, readonly health: HealthTracker) {}

  get inFlight (): number {
    return this._openCalls.size
  }

  startCall (call: object, now: number): void {
    this._openCalls.set(call, now)
  }

  /** Returns when the call was started, or undefined if it had already ended. */
  endCall (call: object, now: number): number | undefined {
    const startedAt = this._openCalls.get(call)
    if (startedAt === undefined) return undefined
    this._openCalls.delete(call)
    this._endedCalls = [...this._endedCalls.slice(1 - MAX_ENDED_CALLS), { startedAt, endedAt: now }]
    return startedAt
  }

  countSentSince (at: number): number {
    let count = 0
    for (const startedAt of this._openCalls.values()) if (startedAt > at) count++
    return count
  }

  /** Counts the calls that were open at the given time and have ended since; at most the last 128 ended calls are tracked. */
  countEndedSince (at: number): number {
    return this._endedCalls.filter(call => call.startedAt <= at && call.endedAt > at).length
  }

  /** The number of calls that this gate may have open now; 1 while the upstream is being probed. */
  computeCallLimit (view: UpstreamView, liveGateCount: number, now: number, isPreferred: boolean): number {
    this.limiter.updateCapacity(getCapacity(view), liveGateCount)
    if (this.health.getState(now) === 'probing') return 1
    return this.limiter.computeAllowedCalls({ ...this._createLimiterInputs(view, liveGateCount), isPreferred })
  }

  /** This gate's share of the upstream, in calls; may be fractional. */
  computeShare (view: UpstreamView, liveGateCount: number): number {
    this.limiter.updateCapacity(getCapacity(view), liveGateCount)
    return this.limiter.computeShare(this._createLimiterInputs(view, liveGateCount))
  }

  private _createLimiterInputs (view: UpstreamView, liveGateCount: number): LimiterInputs {
    return { inFlight: this.inFlight, backlog: estimateBacklog(this.describeBacklog(view), liveGateCount) }
  }

  describeBacklog (view: UpstreamView): BacklogInputs {
    return {
      reportedBacklog: (view.load?.running ?? 0) + (view.load?.queued ?? 0),
      ownInFlight: this.inFlight,
      ownSentSinceReport: this.countSentSince(view.reportedAt),
      ownDoneSinceReport: this.countEndedSince(view.reportedAt)
    }
  }
}

const DEFAULT_CONCURRENCY = 8

/** Number of calls that an upstream runs concurrently, as it reported or else as configured. */
export function getCapacity (view: UpstreamView): number {
  const configured = view.upstream.concurrency
  return view.load?.capacity || (configured === 0 ? DEFAULT_CONCURRENCY : configured)
}
