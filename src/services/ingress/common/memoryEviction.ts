/**
 * Chooses whose memory is taken back when a process has no memory left for requests.
 */

export interface MemoryHolder {
  readonly heldBytes: number
  /** When the request last came nearer to its completion. */
  readonly progressAt: number
  /** Undefined if the request needs no customer. */
  readonly customer: string | undefined
}

/** A request without progress for this time is stalled. */
const STALL_MS = 1000

/**
 * Returns the stalled request that holds the most; if none is stalled, the one that holds the most among those of the customer whose
 * requests hold the most together.
 */
export function chooseHolderToEvict<T extends MemoryHolder> (holders: readonly T[], now: number): T | undefined {
  const stalled = holders.filter(({ progressAt }) => now - progressAt >= STALL_MS)
  return findLargest(stalled.length > 0 ? stalled : listHoldersOfLargestCustomer(holders))
}

function listHoldersOfLargestCustomer<T extends MemoryHolder> (holders: readonly T[]): readonly T[] {
  const sums = new Map<string | undefined, number>()
  for (const { customer, heldBytes } of holders) sums.set(customer, (sums.get(customer) ?? 0) + heldBytes)
  const largest = [...sums].reduce<readonly [string | undefined, number]>((first, second) => second[1] > first[1] ? second : first, [undefined, -1])
  return holders.filter(({ customer }) => customer === largest[0])
}

function findLargest<T extends MemoryHolder> (holders: readonly T[]): T | undefined {
  return holders.reduce<T | undefined>((first, second) => first === undefined || second.heldBytes > first.heldBytes ? second : first, undefined)
}
