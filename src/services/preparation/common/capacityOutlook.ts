/**
 * Projects the queues of the roles of a refused job, to find when its caller should return.
 */
import { MAX_RETURN_MS } from './returnWindow.ts'

/** The load of one role, in pieces and milliseconds. */
export interface RoleOutlook {
  readonly queuedPieces: number
  /** Throughput while there is a backlog. */
  readonly piecesPerMs: number
  readonly arrivalsPerMs: number
  /** Arrival rate over a longer time, which the present one is assumed to return to. */
  readonly usualArrivalsPerMs: number
}

/** Work that is expected at a known time. */
export interface ExpectedWork {
  readonly at: number
  /** Number of pieces by role. */
  readonly pieces: ReadonlyMap<string, number>
}

export interface ReturnQuery {
  /** The roles of the job. */
  readonly roles: ReadonlyMap<string, RoleOutlook>
  readonly expectedWork: readonly ExpectedWork[]
  /** The longest queue with which the job would meet its goal; a negative value if it cannot be met at all. */
  readonly maxQueueMs: number
  readonly maxReturnMs: number
}

const STEP_MS = 100
/** Bursts last for seconds. */
const ARRIVALS_HALF_LIFE_MS = 1500
const DECAY_PER_STEP = 0.5 ** (STEP_MS / ARRIVALS_HALF_LIFE_MS)

/** Returns the first time from now, in steps, at which the queues of all roles are short enough for the job; undefined if there is none. */
export function findReturnMs ({ roles, expectedWork, maxQueueMs, maxReturnMs }: ReturnQuery, now: number): number | undefined {
  const stepCount = Math.floor(Math.min(maxReturnMs, MAX_RETURN_MS) / STEP_MS)
  if (maxQueueMs < 0 || stepCount < 1) return undefined
  const fits = new Uint8Array(stepCount + 1).fill(1)
  for (const [role, outlook] of roles) {
    const expected = sumByStep(expectedWork, role, stepCount, now)
    markFullSteps(outlook, expected, maxQueueMs, fits)
  }
  const step = fits.indexOf(1, 1)
  return step === -1 ? undefined : step * STEP_MS
}

function sumByStep (expectedWork: readonly ExpectedWork[], role: string, stepCount: number, now: number): Float64Array {
  const sums = new Float64Array(stepCount + 1)
  for (const { at, pieces } of expectedWork) {
    const step = Math.max(0, Math.ceil((at - now) / STEP_MS))
    if (step <= stepCount) sums[step] = (sums[step] ?? 0) + (pieces.get(role) ?? 0)
  }
  return sums
}

/** Clears the steps at which the queue of the role is longer than `maxQueueMs`. */
function markFullSteps ({ queuedPieces, piecesPerMs, arrivalsPerMs, usualArrivalsPerMs }: RoleOutlook, expected: Float64Array, maxQueueMs: number, fits: Uint8Array): void {
  let queue = queuedPieces + (expected[0] ?? 0)
  let excessPerMs = arrivalsPerMs - usualArrivalsPerMs
  for (let step = 1; step < fits.length; step++) {
    queue = Math.max(0, queue + (usualArrivalsPerMs + excessPerMs - piecesPerMs) * STEP_MS) + (expected[step] ?? 0)
    excessPerMs *= DECAY_PER_STEP
    if (queue > maxQueueMs * piecesPerMs) fits[step] = 0
  }
}
