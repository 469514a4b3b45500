/**
 * How long an attempt may stay silent before it is given up.
 */

export interface SilenceInputs {
  readonly timeLeftMs: number
  /** What nearly all calls of the kind stay under, in milliseconds. */
  readonly highMs: number
  readonly isUnrepeatable: boolean
}

const MIN_SILENCE_MS = 300
const SILENCE_FACTOR = 3
/** A repeatable stage keeps so much of the time left for another attempt. */
const MAX_SHARE_OF_TIME_LEFT = 0.6

/**
 * The silence after which an attempt is given up. An unrepeatable one is waited for as long as the request lives,
 * since giving up gains nothing.
 */
export function computeMaxSilence (inputs: SilenceInputs): number {
  if (inputs.isUnrepeatable) return inputs.timeLeftMs
  const patient = Math.max(MIN_SILENCE_MS, inputs.highMs * SILENCE_FACTOR)
  return Math.min(patient, Math.max(MIN_SILENCE_MS, inputs.timeLeftMs * MAX_SHARE_OF_TIME_LEFT))
}
