/**
 * The attempts of a request, and what a refusal of the request may report about its execution.
 */

/**
 * `prepared`: not written to the connection yet. `sent`: written, outcome unknown. `notRun`: known not to have run.
 * `ran`: the upstream ran it and reported a failure. `answered`: the whole result was received.
 */
export type AttemptState = 'prepared' | 'sent' | 'notRun' | 'ran' | 'answered'

export interface Attempt {
  readonly attemptId: string
  readonly stageIndex: number
  readonly stage: string
  readonly upstream: string
  /** The request or the stage must not run more than once. */
  readonly isUnrepeatable: boolean
  readonly state: AttemptState
  readonly busyMs: number
  readonly startedAt: number
  readonly endedAt: number
}

/** What a refusal reports about the execution of a request without a whole answer. */
export type ExecutionState = 'notRun' | 'mayHaveRun' | 'incomplete'

/** Returns whether the attempt may have had an effect at its upstream. */
export function mayHaveRun (attempt: Attempt): boolean {
  return attempt.state !== 'prepared' && attempt.state !== 'notRun'
}

/** The only place that derives `notRun` from attempts. */
export function deriveExecutionState (attempts: readonly Attempt[]): ExecutionState {
  const possiblyRunAttempts = attempts.filter(mayHaveRun)
  if (possiblyRunAttempts.length === 0) return 'notRun'
  const hasUnknownOutcome = possiblyRunAttempts.some(attempt => attempt.isUnrepeatable && attempt.state === 'sent')
  if (hasUnknownOutcome) return 'mayHaveRun'
  return possiblyRunAttempts.some(attempt => attempt.state === 'answered') ? 'incomplete' : 'mayHaveRun'
}

/** Returns whether another attempt of the stage may be sent. */
export function canSendAgain (attempts: readonly Attempt[], stageIndex: number): boolean {
  return !attempts.some(attempt => attempt.stageIndex === stageIndex && attempt.isUnrepeatable && mayHaveRun(attempt))
}

/** The attempts of one request, in the order of their creation. */
export class AttemptLog {
  private readonly _attempts: Attempt[] = []

  get attempts (): readonly Attempt[] {
    return this._attempts
  }

  prepare (attempt: Pick<Attempt, 'attemptId' | 'stageIndex' | 'stage' | 'upstream' | 'isUnrepeatable'>, now: number): void {
    this._attempts.push({ ...attempt, state: 'prepared', busyMs: 0, startedAt: now, endedAt: now })
  }

  /** Updates the state of an attempt. A final state (`notRun`, `ran`, `answered`) never changes again. */
  update (attemptId: string, state: AttemptState, now: number, busyMs = 0): void {
    const index = this._attempts.findIndex(attempt => attempt.attemptId === attemptId)
    const attempt = this._attempts[index]
    if (attempt === undefined || (attempt.state !== 'prepared' && attempt.state !== 'sent')) return
    this._attempts[index] = { ...attempt, state, busyMs, endedAt: now }
  }
}
