/**
 * How long a node sends nothing to a brittle upstream, which fails if it has to refuse too many requests of all nodes. Pure
 * function.
 */
import type { IRandom } from '../../../base/common/random.ts'
import { drawBetween } from '../../../base/common/random.ts'

export interface RefusalPauseInputs {
  /** Refusals in one second that the upstream tolerates, those of all nodes together. */
  readonly maxPerS: number
  readonly nodeCount: number
  readonly random: IRandom
}

const MS_PER_S = 1000
/** The tolerated refusals of a second are kept for requests that were in flight when the first was refused. */
const MIN_PAUSE_MS = MS_PER_S
/** Share of the tolerated refusals that trial requests after the pauses may use. */
const TRIAL_SHARE = 0.5
/** A longer spread is not needed: the first trial that is refused makes all nodes pause again. */
const MAX_SPREAD_MS = 5000

/** Nodes return one after the other, so that an upstream that is still full refuses few of them. */
export function drawRefusalPauseMs ({ maxPerS, nodeCount, random }: RefusalPauseInputs): number {
  const spreadMs = Math.min(MAX_SPREAD_MS, nodeCount / (maxPerS * TRIAL_SHARE) * MS_PER_S)
  return drawBetween(random, MIN_PAUSE_MS, MIN_PAUSE_MS + spreadMs)
}
