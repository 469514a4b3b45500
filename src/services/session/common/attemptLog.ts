/**
 * What was sent for a request, and the one decision on what a refusal may say about it.
 */

/**
 * `prepared` was never written; `sent` has no known outcome; `notRun` is known not to have run;
 * `ran` ended with a failure that the upstream reported; `answered` brought the whole result.
 */
export type AttemptState = 'prepared' | 'sent' | 'notRun' | 'ran' | 'answered'

export interface Attempt {
  readonly attemptId: string
  readonly stageIndex: number
  readonly stage: string
  readonly upstream: string
  /** The request or the stage must not run twice. */
  readonly isUnrepeatable: boolean
  readonly state: AttemptState
  readonly busyMs: number
  readonly startedAt: number
  readonly endedAt: number
}

/** What may be said of a request that got no whole answer. */
export type ExecutionClaim = 'notRun' | 'mayHaveRun' | 'incomplete'

/** Whether an attempt may have had an effect at its upstream. */
export function mayHaveRun (attempt: Attempt): boolean {
  return attempt.state !== 'prepared' && attempt.state !== 'notRun'
}

/** The only place where `notRun` is decided. */
export function decideExecution (attempts: readonly Attempt[]): ExecutionClaim {
  const effective = attempts.filter(mayHaveRun)
  if (effective.length === 0) return 'notRun'
  const isOutcomeOpen = effective.some(attempt => attempt.isUnrepeatable && attempt.state === 'sent')
  if (isOutcomeOpen) return 'mayHaveRun'
  return effective.some(attempt => attempt.state === 'answered') ? 'incomplete' : 'mayHaveRun'
}

/** Whether a stage may be sent once more. */
export function canSendAgain (attempts: readonly Attempt[], stageIndex: number): boolean {
  return !attempts.some(attempt => attempt.stageIndex === stageIndex && attempt.isUnrepeatable && mayHaveRun(attempt))
}

/** The attempts of one request, in the order in which they were made. */
export class AttemptLog {
  private readonly _attempts: Attempt[] = []

  get attempts (): readonly Attempt[] {
    return this._attempts
  }

  prepare (attempt: Pick<Attempt, 'attemptId' | 'stageIndex' | 'stage' | 'upstream' | 'isUnrepeatable'>, now: number): void {
    this._attempts.push({ ...attempt, state: 'prepared', busyMs: 0, startedAt: now, endedAt: now })
  }

  /** Records a change of state; an attempt never goes back from a known end. */
  update (attemptId: string, state: AttemptState, now: number, busyMs = 0): void {
    const index = this._attempts.findIndex(attempt => attempt.attemptId === attemptId)
    const attempt = this._attempts[index]
    if (attempt === undefined || (attempt.state !== 'prepared' && attempt.state !== 'sent')) return
    this._attempts[index] = { ...attempt, state, busyMs, endedAt: now }
  }
}
