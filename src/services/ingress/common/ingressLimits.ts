/**
 * How much of its host's memory and descriptors a process lets its clients use. What they do not use is left for its own state and
 * its own connections.
 */
import { PIECE_BYTES } from '../../preparation/common/preparationFeasibility.ts'

export interface HostResources {
  /** Memory that the process may use, in MB. */
  readonly memoryMb: number
  /** Files and connections that the process may have open. */
  readonly maxDescriptors: number
}

export interface IngressLimits {
  /** What all requests may hold together, see `MemoryBudget`. */
  readonly maxHeldBytes: number
  /** Connections of callers. */
  readonly maxCallerConnections: number
  /** Connections at each port whose server answers from the state of the process. */
  readonly maxQueryConnections: number
  /** Each takes a connection to an upstream. */
  readonly maxRunningRequests: number
  /** Pieces of all jobs that a node plans, its own and those of other nodes. */
  readonly maxPlannedPieces: number
}

/** The rest of the memory is for the process without requests, garbage, and the buffers of connections. */
const MEMORY_SHARE = 0.2
const PLAN_MEMORY_SHARE = 0.05
/** The rest of the descriptors is for the connections to other nodes and to the source. */
const CALLER_CONNECTION_SHARE = 0.45
const QUERY_CONNECTION_SHARE = 0.03
const RUNNING_REQUEST_SHARE = 0.35
const BYTES_PER_MB = 1024 * 1024

export function deriveIngressLimits ({ memoryMb, maxDescriptors }: HostResources): IngressLimits {
  return {
    maxHeldBytes: Math.floor(MEMORY_SHARE * memoryMb * BYTES_PER_MB),
    maxCallerConnections: Math.floor(CALLER_CONNECTION_SHARE * maxDescriptors),
    maxQueryConnections: Math.ceil(QUERY_CONNECTION_SHARE * maxDescriptors),
    maxRunningRequests: Math.floor(RUNNING_REQUEST_SHARE * maxDescriptors),
    maxPlannedPieces: Math.floor(PLAN_MEMORY_SHARE * memoryMb * BYTES_PER_MB / PIECE_BYTES)
  }
}
