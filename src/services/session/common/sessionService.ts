/**
 * Sessions of this incarnation of the gate. A session is the ticket by which a request has one owner:
 * only the gate that gave it may run its requests, and only while that process lives.
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
  /** On this process's clock. */
  readonly expiresAt: number
  /** Pipelines that the caller was told it may submit anew. */
  readonly repeatablePipelines: ReadonlySet<string>
  readonly seen: SeenNumbers
  /** Runs in progress and kept answers, by number. */
  readonly runs: Map<number, RequestRun>
}

/** What becomes of a submission. */
export type SubmissionDecision =
  | { readonly kind: 'run', readonly run: RequestRun }
  | { readonly kind: 'attach', readonly run: RequestRun }

/** A request as it came in. */
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
  /** For answers kept after their end, over all sessions, in UTF-16 units. */
  readonly maxKeptSize?: number
}

export interface ISessionService {
  open (customer: string, repeatablePipelines?: readonly string[]): Either<PepperwoodError, Session>
  find (sessionId: string): Either<PepperwoodError, Session>
  submit (submission: Submission): Either<PepperwoodError, SubmissionDecision>
  findRun (sessionId: string, number: number): Either<PepperwoodError, RequestRun>
  /** Called when a run has ended, so that kept answers stay within their limit. */
  keep (run: RequestRun): void
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
  private readonly _maxKeptSize: number
  private readonly _sessions = new Map<string, Session>()
  private readonly _sessionCounts = new Map<string, number>()
  private readonly _kept = new Set<RequestRun>()
  private _keptSize = 0
  private _runningCount = 0

  constructor (options: SessionServiceOptions) {
    this._clock = options.clock
    this._createId = options.createId
    this._lifetimeMs = options.lifetimeMs ?? 600_000
    this._maxSessions = options.maxSessions ?? 20_000
    this._maxSessionsPerCustomer = options.maxSessionsPerCustomer ?? 5_000
    this._maxKeptSize = options.maxKeptSize ?? 32 * 1024 * 1024
  }

  get runningCount (): number {
    return this._runningCount
  }

  get sessions (): readonly Session[] {
    return [...this._sessions.values()]
  }

  open (customer: string, repeatablePipelines: readonly string[] = []): Either<PepperwoodError, Session> {
    this._dropExpired()
    const count = this._sessionCounts.get(customer) ?? 0
    if (this._sessions.size >= this._maxSessions || count >= this._maxSessionsPerCustomer) {
      return Left(new PepperwoodError({ name: 'sessionLimit', message: 'too many sessions are open', place: 'customer', value: customer }))
    }
    const session: Session = {
      id: this._createId(),
      customer,
      expiresAt: this._clock.now() + this._lifetimeMs,
      repeatablePipelines: new Set(repeatablePipelines),
      seen: new SeenNumbers(),
      runs: new Map()
    }
    this._sessions.set(session.id, session)
    this._sessionCounts.set(customer, count + 1)
    return Right(session)
  }

  find (sessionId: string): Either<PepperwoodError, Session> {
    const session = this._sessions.get(sessionId)
    if (session === undefined || session.expiresAt <= this._clock.now()) {
      return Left(new PepperwoodError({ name: 'sessionUnknown', message: 'no such session here, or it has expired', place: 'session' }))
    }
    return Right(session)
  }

  submit (submission: Submission): Either<PepperwoodError, SubmissionDecision> {
    const { number, contentDigest } = submission
    if (!Number.isInteger(number) || number < 1 || number > MAX_NUMBER) {
      return Left(new PepperwoodError({ name: 'requestInvalid', message: 'expected a number from 1 on', place: 'number', value: String(number) }))
    }
    return this.find(submission.sessionId).chain<PepperwoodError, SubmissionDecision>(session => {
      if (session.seen.check(number) === 'new') return Right({ kind: 'run', run: this._start(session, submission) })
      const run = session.runs.get(number)
      if (run === undefined) return Left(createForgotten(number))
      if (run.contentDigest !== contentDigest) {
        return Left(new PepperwoodError({ name: 'numberReused', message: 'the number was used for another request', place: 'number', value: String(number) }))
      }
      return Right({ kind: 'attach', run })
    })
  }

  findRun (sessionId: string, number: number): Either<PepperwoodError, RequestRun> {
    return this.find(sessionId).chain(session => {
      const run = session.runs.get(number)
      if (run !== undefined) return Right(run)
      if (session.seen.check(number) !== 'new') return Left(createForgotten(number))
      return Left(new PepperwoodError({ name: 'requestUnknown', message: 'no such request in the session', place: 'number', value: String(number) }))
    })
  }

  keep (run: RequestRun): void {
    this._runningCount--
    this._kept.add(run)
    this._keptSize += run.size
    for (const oldest of this._kept) {
      if (this._keptSize <= this._maxKeptSize) break
      this._forget(oldest)
    }
  }

  private _start (session: Session, submission: Submission): RequestRun {
    const run = new RequestRun({
      requestId: `${session.id}/${submission.number}`,
      customer: session.customer,
      contentDigest: submission.contentDigest,
      isUnrepeatable: submission.isUnrepeatable,
      startedAt: this._clock.now()
    })
    // From here on the number never runs again, whatever happens to the run.
    session.seen.add(submission.number)
    session.runs.set(submission.number, run)
    this._runningCount++
    return run
  }

  private _forget (run: RequestRun): void {
    if (!this._kept.delete(run)) return
    this._keptSize -= run.size
    const [sessionId = '', number] = run.requestId.split('/')
    this._sessions.get(sessionId)?.runs.delete(Number(number))
  }

  /** A session goes only after its expiry and when nothing of it runs, so its numbers can never be run anew. */
  private _dropExpired (): void {
    const now = this._clock.now()
    for (const session of this._sessions.values()) {
      if (session.expiresAt > now) break
      const runs = [...session.runs.values()]
      if (runs.some(run => run.end === undefined)) continue
      for (const run of runs) this._forget(run)
      this._sessions.delete(session.id)
      this._sessionCounts.set(session.customer, (this._sessionCounts.get(session.customer) ?? 1) - 1)
    }
  }
}

function createForgotten (number: number): PepperwoodError {
  return new PepperwoodError({ name: 'outcomeForgotten', message: 'the request may have run and its answer is no longer kept', place: 'number', value: String(number) })
}
