/**
 * The sessions that this incarnation of the gate opened. A session gives each of its requests exactly one owner: only
 * the gate process that opened the session may run its requests, so they cannot run after that process has ended.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { IClock } from '../../../base/common/clock.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { RequestRun } from './requestRun.ts'
import { SeenNumbers } from './seenNumbers.ts'

export interface Session {
  readonly id: string
  readonly customer: string
  /** On this process's clock, in milliseconds. */
  readonly expiresAt: number
  /** Pipelines whose requests the caller may submit again in another session, as announced when the session was opened. */
  readonly repeatablePipelines: ReadonlySet<string>
  readonly seenRequestNumbers: SeenNumbers
  /** Runs in progress, and finished runs whose answers are retained, by request number. */
  readonly runs: Map<number, RequestRun>
}

/** Whether a submission starts a new run or attaches to an existing one. */
export type SubmissionDecision =
  | { readonly kind: 'run', readonly run: RequestRun }
  | { readonly kind: 'attach', readonly run: RequestRun }

export interface Submission {
  readonly sessionId: string
  readonly number: number
  readonly contentDigest: string
  readonly isUnrepeatable: boolean
}

export interface SessionServiceOptions {
  readonly clock: IClock
  readonly createId: () => string
  readonly lifetimeMs?: number
  readonly maxSessions?: number
  readonly maxSessionsPerCustomer?: number
  /** Limit for the retained answers of finished runs over all sessions, in UTF-16 code units. */
  readonly maxRetainedSize?: number
}

export interface ISessionService {
  open (customer: string, repeatablePipelines?: readonly string[]): Either<PepperwoodError, Session>
  find (sessionId: string): Either<PepperwoodError, Session>
  submit (submission: Submission): Either<PepperwoodError, SubmissionDecision>
  findRun (sessionId: string, number: number): Either<PepperwoodError, RequestRun>
  /** Retains the answer of a finished run, and evicts the oldest retained answers above the size limit. */
  retain (run: RequestRun): void
  readonly runningCount: number
  readonly sessions: readonly Session[]
}

const MAX_NUMBER = 2 ** 32 - 1

export class SessionService implements ISessionService {
  private readonly _clock: IClock
  private readonly _createId: () => string
  private readonly _lifetimeMs: number
  private readonly _maxSessions: number
  private readonly _maxSessionsPerCustomer: number
  private readonly _maxRetainedSize: number
  private readonly _sessions = new Map<string, Session>()
  private readonly _sessionCountByCustomer = new Map<string, number>()
  private readonly _retainedRuns = new Set<RequestRun>()
  private _retainedSize = 0
  private _runningCount = 0

  constructor (options: SessionServiceOptions) {
    this._clock = options.clock
    this._createId = options.createId
    this._lifetimeMs = options.lifetimeMs ?? 600_000
    this._maxSessions = options.maxSessions ?? 20_000
    this._maxSessionsPerCustomer = options.maxSessionsPerCustomer ?? 5_000
    this._maxRetainedSize = options.maxRetainedSize ?? 32 * 1024 * 1024
  }

  get runningCount (): number {
    return this._runningCount
  }

  get sessions (): readonly Session[] {
    return [...this._sessions.values()]
  }

  open (customer: string, repeatablePipelines: readonly string[] = []): Either<PepperwoodError, Session> {
    this._removeExpiredSessions()
    const count = this._sessionCountByCustomer.get(customer) ?? 0
    if (this._sessions.size >= this._maxSessions || count >= this._maxSessionsPerCustomer) {
      return Left(new PepperwoodError({ name: 'sessionLimit', message: 'too many sessions are open', place: 'customer', value: customer }))
    }
    const session: Session = {
      id: this._createId(),
      customer,
      expiresAt: this._clock.now() + this._lifetimeMs,
      repeatablePipelines: new Set(repeatablePipelines),
      seenRequestNumbers: new SeenNumbers(),
      runs: new Map()
    }
    this._sessions.set(session.id, session)
    this._sessionCountByCustomer.set(customer, count + 1)
    return Right(session)
  }

  find (sessionId: string): Either<PepperwoodError, Session> {
    const session = this._sessions.get(sessionId)
    if (session === undefined || session.expiresAt <= this._clock.now()) {
      return Left(new PepperwoodError({ name: 'sessionUnknown', message: 'the session does not exist on this gate or has expired', place: 'session' }))
    }
    return Right(session)
  }

  submit (submission: Submission): Either<PepperwoodError, SubmissionDecision> {
    const { number, contentDigest } = submission
    if (!Number.isInteger(number) || number < 1 || number > MAX_NUMBER) {
      return Left(new PepperwoodError({ name: 'requestInvalid', message: 'expected an unsigned 32-bit integer greater than 0', place: 'number', value: String(number) }))
    }
    return this.find(submission.sessionId).chain<PepperwoodError, SubmissionDecision>(session => {
      if (session.seenRequestNumbers.check(number) === 'new') return Right({ kind: 'run', run: this._startRun(session, submission) })
      const run = session.runs.get(number)
      if (run === undefined) return Left(createForgottenError(number))
      if (run.contentDigest !== contentDigest) {
        return Left(new PepperwoodError({ name: 'numberReused', message: 'the number was already used for a request with different content', place: 'number', value: String(number) }))
      }
      return Right({ kind: 'attach', run })
    })
  }

  findRun (sessionId: string, number: number): Either<PepperwoodError, RequestRun> {
    return this.find(sessionId).chain(session => {
      const run = session.runs.get(number)
      if (run !== undefined) return Right(run)
      if (session.seenRequestNumbers.check(number) !== 'new') return Left(createForgottenError(number))
      return Left(new PepperwoodError({ name: 'requestUnknown', message: 'no request of the session has this number', place: 'number', value: String(number) }))
    })
  }

  retain (run: RequestRun): void {
    this._runningCount--
    this._retainedRuns.add(run)
    this._retainedSize += run.size
    for (const oldest of this._retainedRuns) {
      if (this._retainedSize <= this._maxRetainedSize) break
      this._evictRun(oldest)
    }
  }

  private _startRun (session: Session, submission: Submission): RequestRun {
    const run = new RequestRun({
      requestId: `${session.id}/${submission.number}`,
      customer: session.customer,
      contentDigest: submission.contentDigest,
      isUnrepeatable: submission.isUnrepeatable,
      startedAt: this._clock.now()
    })
    // Marked before the run starts, so that the number never runs again even if the run fails.
    session.seenRequestNumbers.add(submission.number)
    session.runs.set(submission.number, run)
    this._runningCount++
    return run
  }

  private _evictRun (run: RequestRun): void {
    if (!this._retainedRuns.delete(run)) return
    this._retainedSize -= run.size
    const [sessionId = '', number] = run.requestId.split('/')
    this._sessions.get(sessionId)?.runs.delete(Number(number))
  }

  /** Removes sessions that have expired and have no run in progress. An expired session accepts no requests, so its numbers cannot run again. */
  private _removeExpiredSessions (): void {
    const now = this._clock.now()
    for (const session of this._sessions.values()) {
      if (session.expiresAt > now) break
      const runs = [...session.runs.values()]
      if (runs.some(run => run.outcome === undefined)) continue
      for (const run of runs) this._evictRun(run)
      this._sessions.delete(session.id)
      this._sessionCountByCustomer.set(session.customer, (this._sessionCountByCustomer.get(session.customer) ?? 1) - 1)
    }
  }
}

function createForgottenError (number: number): PepperwoodError {
  return new PepperwoodError({ name: 'outcomeForgotten', message: 'the request may have run and its answer is no longer retained', place: 'number', value: String(number) })
}
