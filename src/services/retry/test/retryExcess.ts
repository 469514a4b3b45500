/**
 * Counts retries as the users' budget does: where they arrive, in every window, against the requests that callers sent. Pure
 * functions.
 */

export interface ArrivalRecord {
  /** When requests arrived at upstreams beyond the first arrival of each, sorted. */
  readonly retriedAt: readonly number[]
  /** When callers sent requests, sorted. */
  readonly sentAt: readonly number[]
}

export interface WindowedBudget {
  readonly windowMs: number
  /** Retries as a ratio of the requests, plus a number that needs none. */
  readonly ratio: number
  readonly base: number
}

/** The window with the most retries beyond the budget, or with the fewest that it had left. */
export interface WorstWindow {
  readonly from: number
  readonly retryCount: number
  readonly requestCount: number
  /** Negative if the budget was kept. */
  readonly excess: number
}

/**
 * Requests are counted in the window, the one before it or the one half a window before it, whichever has most, since retries
 * follow later. Undefined if there are no retries.
 */
export function findWorstWindow ({ retriedAt, sentAt }: ArrivalRecord, { windowMs, ratio, base }: WindowedBudget): WorstWindow | undefined {
  const count = (times: readonly number[], from: number) => findIndex(times, from + windowMs) - findIndex(times, from)
  let worst: WorstWindow | undefined
  for (const from of new Set(retriedAt)) {
    const retryCount = count(retriedAt, from)
    const requestCount = Math.max(count(sentAt, from), count(sentAt, from - windowMs / 2), count(sentAt, from - windowMs))
    const excess = retryCount - ratio * requestCount - base
    if (worst === undefined || excess > worst.excess) worst = { from, retryCount, requestCount, excess }
  }
  return worst
}

/** Returns when each arrival that is not the first of its id came, sorted. */
export function listRetryTimes (arrivals: readonly { readonly id: string, readonly at: number }[]): readonly number[] {
  const seen = new Set<string>()
  return [...arrivals].sort((a, b) => a.at - b.at).filter(({ id }) => {
    const isRetry = seen.has(id)
    seen.add(id)
    return isRetry
  }).map(({ at }) => at)
}

/** Returns the index of the first time that is not before `at`. */
function findIndex (times: readonly number[], at: number): number {
  let [low, high] = [0, times.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] ?? Infinity) < at) low = middle + 1
    else high = middle
  }
  return low
}
