/**
 * What an operator may ask of any process of the system.
 */
import type { StageCost } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { DecisionRecord } from './decisionLog.ts'

/** How far a planned stop is. */
export interface DrainProgress {
  readonly requestsInProgress: number
  readonly sessions: number
}

/** What is known of one request. */
export interface RequestExplanation {
  readonly decisions: readonly DecisionRecord[]
  readonly costs: readonly StageCost[]
}

export interface IProcessInspector {
  /** The whole state of the process, as plain data for JSON. */
  dump (): object
  explain (requestId: string): RequestExplanation
  /** Starts a planned stop if none is under way. */
  drain (): DrainProgress
}
