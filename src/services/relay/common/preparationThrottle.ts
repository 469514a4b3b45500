/**
 * Client-side throttling: while the upstreams of a role refuse most requests, inputs are prepared only for as many as are
 * likely to be accepted, the most urgent first. The results of the others would be discarded.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { clamp } from '../../../base/common/numbers.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { drawBetween } from '../../../base/common/random.ts'
import { SlicedWindowSum } from '../../../base/common/slicedWindowSum.ts'

export interface PreparationThrottleOptions {
  readonly clock: IClock
  readonly random: IRandom
  /** Called when throttling of a role begins or ends. */
  readonly onDidChange?: (change: ThrottleChange) => void
}

export interface ThrottleChange {
  readonly role: string
  readonly isThrottled: boolean
  /** Requests among the last `sendCount` that upstreams of the role accepted. */
  readonly acceptedCount: number
  readonly sendCount: number
  /** How long the role has been throttled. */
  readonly forMs: number
}

export interface ThrottleRefusal {
  readonly acceptedCount: number
  readonly sendCount: number
  readonly retryAfterMs: number
}

interface SendResult {
  readonly at: number
  readonly isAccepted: boolean
}

/** Recent results of one role. */
class RoleSends {
  results: readonly SendResult[] = []
  /** Undefined while the role is not throttled. */
  throttledSince: number | undefined
  readonly priorities = new Set<number>()
  readonly arrivals = new SlicedWindowSum(WINDOW_MS)
}

const WINDOW_MS = 5000
const MAX_RESULTS = 20
/** Fewer results say too little about a role. */
const MIN_RESULTS = 10
/** A role that accepts a larger share of the requests is not throttled. */
const MIN_ACCEPTED_SHARE = 0.5
/** More is admitted than was accepted, since a request that is refused may be accepted by another upstream. */
const ADMISSION_FACTOR = 3
/** Admitted at least, so that a recovery is noticed. */
const MIN_ADMITTED_SHARE = 0.3
/** So many accepted requests in a row end the throttling. */
const RECOVERY_RESULTS = 2
/** Bounds of the time for which a role is expected to go on refusing; in between it is as long as it has refused so far. */
const MIN_EXPECTED_MS = 500
const MAX_EXPECTED_MS = 1500
const MIN_SPREAD = 0.5
const MAX_SPREAD = 1.5

export class PreparationThrottle {
  private readonly _options: PreparationThrottleOptions
  private readonly _sendsByRole = new Map<string, RoleSends>()
  private _refusedCount = 0

  constructor (options: PreparationThrottleOptions) {
    this._options = options
  }

  /** Requests refused since the process start. */
  get refusedCount (): number {
    return this._refusedCount
  }

  /** Records whether an upstream accepted a request or refused it. */
  recordSend (role: string, isAccepted: boolean): void {
    const now = this._options.clock.now()
    const sends = this._getSends(role)
    sends.results = [...listRecent(sends, now), { at: now, isAccepted }].slice(-MAX_RESULTS)
    const acceptedShare = countAccepted(sends.results) / sends.results.length
    if (sends.throttledSince === undefined && sends.results.length >= MIN_RESULTS && acceptedShare < MIN_ACCEPTED_SHARE) {
      sends.throttledSince = now
      this._reportChange(role, sends, true, 0)
    } else if (sends.results.length >= RECOVERY_RESULTS && sends.results.slice(-RECOVERY_RESULTS).every(result => result.isAccepted)) {
      this._endThrottling(role, sends, now)
    }
  }

  /** To be called before the inputs of a request are prepared. Returns undefined if they may be. Lower priorities are more urgent. */
  findRefusal (role: string, priority: number): ThrottleRefusal | undefined {
    const now = this._options.clock.now()
    const sends = this._getSends(role)
    sends.priorities.add(priority)
    sends.arrivals.add(String(priority), 1, now)
    if (sends.throttledSince === undefined) return undefined
    const recent = listRecent(sends, now)
    if (recent.length === 0) {
      this._endThrottling(role, sends, now)
      return undefined
    }
    const acceptedCount = countAccepted(recent)
    const admittedShare = Math.max(MIN_ADMITTED_SHARE, ADMISSION_FACTOR * acceptedCount / recent.length)
    if (this._options.random.next() < computeChance(sends, priority, admittedShare, now)) return undefined
    this._refusedCount++
    const expectedMs = clamp(now - sends.throttledSince, MIN_EXPECTED_MS, MAX_EXPECTED_MS)
    return { acceptedCount, sendCount: recent.length, retryAfterMs: Math.round(expectedMs * drawBetween(this._options.random, MIN_SPREAD, MAX_SPREAD)) }
  }

  private _endThrottling (role: string, sends: RoleSends, now: number): void {
    if (sends.throttledSince === undefined) return
    this._reportChange(role, sends, false, now - sends.throttledSince)
    sends.throttledSince = undefined
    sends.results = []
  }

  private _reportChange (role: string, { results }: RoleSends, isThrottled: boolean, forMs: number): void {
    this._options.onDidChange?.({ role, isThrottled, acceptedCount: countAccepted(results), sendCount: results.length, forMs })
  }

  private _getSends (role: string): RoleSends {
    const sends = this._sendsByRole.get(role) ?? new RoleSends()
    this._sendsByRole.set(role, sends)
    return sends
  }
}

/** Returns the chance of a request if the admitted share of the recent arrivals goes to the most urgent ones. */
function computeChance ({ priorities, arrivals }: RoleSends, priority: number, admittedShare: number, now: number): number {
  const count = (isIncluded: (other: number) => boolean) => [...priorities].filter(isIncluded).reduce((sum, other) => sum + arrivals.sum(String(other), now), 0)
  const admittedCount = admittedShare * count(() => true)
  return (admittedCount - count(other => other < priority)) / count(other => other === priority)
}

function listRecent ({ results }: RoleSends, now: number): readonly SendResult[] {
  return results.filter(({ at }) => now - at < WINDOW_MS)
}

function countAccepted (results: readonly SendResult[]): number {
  return results.filter(({ isAccepted }) => isAccepted).length
}
