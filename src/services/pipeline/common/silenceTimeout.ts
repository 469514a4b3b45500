/**
 * Computes how long an attempt may go without receiving data before it is aborted.
 */

export interface SilenceTimeoutInputs {
  readonly timeLeftMs: number
  /** Upper bound on the latency of nearly all calls of the same stage. */
  readonly highLatencyMs: number
  readonly isUnrepeatable: boolean
}

const MIN_SILENCE_TIMEOUT_MS = 300
const LATENCY_MULTIPLIER = 3
/** The rest of the time left stays available for a retry of a repeatable stage. */
const MAX_TIMEOUT_SHARE_OF_TIME_LEFT = 0.6

/**
 * Returns the time without received data after which an attempt is aborted. An unrepeatable attempt may wait until the
 * deadline of the request, because it cannot be retried and aborting it early gains nothing.
 */
export function computeSilenceTimeoutMs (inputs: SilenceTimeoutInputs): number {
  if (inputs.isUnrepeatable) return inputs.timeLeftMs
  const latencyBasedMs = Math.max(MIN_SILENCE_TIMEOUT_MS, inputs.highLatencyMs * LATENCY_MULTIPLIER)
  return Math.min(latencyBasedMs, Math.max(MIN_SILENCE_TIMEOUT_MS, inputs.timeLeftMs * MAX_TIMEOUT_SHARE_OF_TIME_LEFT))
}
