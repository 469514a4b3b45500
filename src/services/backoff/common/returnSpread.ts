/**
 * When callers may return while all upstreams of a role pause: one at the end of the first pause, and all others spread
 * over the time after its trial, when that upstream takes any number again.
 */
import { TRIAL_MS } from './backoffBook.ts'

interface SpreadState {
  /** When the first pause ends, on the process's clock. */
  readonly endAt: number
  /** Callers that were told to return then or later. */
  readonly count: number
}

const STEP_MS = 50
const SPREAD_MS = 1000
const MIN_RETURN_MS = 50

export class ReturnSpread {
  private readonly _byRole = new Map<string, SpreadState>()

  /** Milliseconds from now, given those until the end of the first pause. */
  schedule (role: string, soonestMs: number, now: number): number {
    const endAt = now + soonestMs
    const held = this._byRole.get(role)
    const count = held !== undefined && endAt <= held.endAt ? held.count : 0
    this._byRole.set(role, { endAt: Math.max(endAt, held?.endAt ?? 0), count: count + 1 })
    const afterMs = count === 0 ? 0 : TRIAL_MS + (count - 1) * STEP_MS % SPREAD_MS
    return Math.max(MIN_RETURN_MS, soonestMs + afterMs)
  }
}
