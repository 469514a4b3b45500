/**
 * What this gate knows of one upstream from its own calls.
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
  /** When each open call was started, by call. */
  private readonly _open = new Map<object, number>()
  private _ended: readonly EndedCall[] = []

  constructor (readonly limiter: ConcurrencyLimiter, readonly health: HealthTracker) {}

  get inFlight (): number {
    return this._open.size
  }

  start (call: object, now: number): void {
    this._open.set(call, now)
  }

  /** Ends a call; undefined when it had ended already, otherwise when it was started. */
  end (call: object, now: number): number | undefined {
    const startedAt = this._open.get(call)
    if (startedAt === undefined) return undefined
    this._open.delete(call)
    this._ended = [...this._ended.slice(1 - MAX_ENDED_CALLS), { startedAt, endedAt: now }]
    return startedAt
  }

  countSentSince (at: number): number {
    let count = 0
    for (const startedAt of this._open.values()) if (startedAt > at) count++
    return count
  }

  /** Calls that were open at the moment and have ended since. */
  countDoneSince (at: number): number {
    return this._ended.filter(call => call.startedAt <= at && call.endedAt > at).length
  }

  /** How many calls this gate may have open now. */
  computeRoom (view: UpstreamView, liveGates: number, now: number, isPreferred: boolean): number {
    this.limiter.updateCapacity(getCapacity(view), liveGates)
    if (this.health.getState(now) === 'probing') return 1
    return this.limiter.computeAllowedCalls({ ...this._createInputs(view, liveGates), isPreferred })
  }

  /** This gate's part of the upstream, in calls. */
  computePart (view: UpstreamView, liveGates: number): number {
    this.limiter.updateCapacity(getCapacity(view), liveGates)
    return this.limiter.computeShare(this._createInputs(view, liveGates))
  }

  private _createInputs (view: UpstreamView, liveGates: number): LimiterInputs {
    return { inFlight: this.inFlight, backlog: estimateBacklog(this.describeBacklog(view), liveGates) }
  }

  describeBacklog (view: UpstreamView): BacklogInputs {
    return {
      reportedBacklog: (view.load?.running ?? 0) + (view.load?.queued ?? 0),
      ownInFlight: this.inFlight,
      ownSentSinceReport: this.countSentSince(view.reportedAt),
      ownDoneSinceReport: this.countDoneSince(view.reportedAt)
    }
  }
}

const DEFAULT_CONCURRENCY = 8

/** Calls that an upstream takes at once: its own word, or the configuration's. */
export function getCapacity (view: UpstreamView): number {
  const configured = view.upstream.concurrency
  return view.load?.capacity || (configured === 0 ? DEFAULT_CONCURRENCY : configured)
}
