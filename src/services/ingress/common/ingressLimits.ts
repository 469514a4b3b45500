/**
 * How much of its host's memory and descriptors a process lets its clients use. What they do not use is left for its own state and
 * its own connections.
 */

export interface HostResources {
  /** Memory that the process may use, in MB. */
  readonly memoryMb: number
}

export interface IngressLimits {
  /** What all requests may hold together, see `MemoryBudget`. */
  readonly maxHeldBytes: number
}

/**
 * The rest is the process without requests, garbage that is not collected yet, and bytes in the buffers of connections.
 */
const MEMORY_SHARE = 0.2
const BYTES_PER_MB = 1024 * 1024

export function deriveIngressLimits ({ memoryMb }: HostResources): IngressLimits {
  return { maxHeldBytes: Math.floor(MEMORY_SHARE * memoryMb * BYTES_PER_MB) }
}
