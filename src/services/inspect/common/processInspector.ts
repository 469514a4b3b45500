/**
 * The operator interface that every process of the system implements.
 */
import type { StageCost } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { DecisionRecord } from './decisionLog.ts'

/** Work that remains before a planned stop can finish. */
export interface DrainProgress {
  readonly requestsInProgress: number
  readonly sessions: number
}

/** Recorded decisions and stage costs of one request. */
export interface RequestExplanation {
  readonly decisions: readonly DecisionRecord[]
  readonly costs: readonly StageCost[]
}

export interface IProcessInspector {
  /** Returns the whole state of the process as JSON-serializable data. */
  dump (): object
  explain (requestId: string): RequestExplanation
  /** Starts a planned stop unless one is in progress, and returns the remaining work. */
  drain (): DrainProgress
}
