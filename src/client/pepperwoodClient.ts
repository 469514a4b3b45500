/**
 * The client library: finds a gate, opens a session, submits a request and returns a complete answer or a typed error.
 *
 * After a broken connection the client resubmits the request to its home gate under the same number, which attaches it
 * to the existing run and never starts a second one. Once the home gate is lost, a request that may have run is
 * resubmitted as a new request, with its latest checkpoint, only if it is repeatable.
 */
import { Code, ConnectError } from '@connectrpc/connect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { IClock } from '../base/common/clock.ts'
import { waitFor } from '../base/node/interval.ts'
import { SystemClock } from '../base/node/systemClock.ts'
import type { Session } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { AnswerReader, readRefusal } from './answerReader.ts'
import type { ReaderState, WholeAnswer } from './answerReader.ts'
import type { ClientError } from './clientError.ts'
import { createClientError } from './clientError.ts'
import { GateDirectory } from './gateDirectory.ts'
import { canResubmit } from './resubmission.ts'

export interface PepperwoodClientOptions {
  /** Addresses of gates to ask first. */
  readonly entries: readonly string[]
  readonly customer: string
  readonly key: string
  readonly clock?: IClock
  /** Source IP address of outgoing connections. */
  readonly localAddress?: string
  /** How long a stream may be silent before the home gate is probed, in milliseconds. */
  readonly maxSilenceMs?: number
  /** How many times a request may be resubmitted as a new request. */
  readonly maxResubmissions?: number
}

export interface SubmitOptions {
  readonly pipeline: string
  readonly input: string
  readonly deadlineMs: number
  readonly unrepeatable?: boolean
  /** Called with text as it arrives. The text is invalid unless `submit` returns the complete answer. */
  readonly onText?: (text: string) => void
  /** Called when the request is resubmitted: text received so far must be discarded. */
  readonly onRestart?: () => void
  /** Checkpoint of an earlier submission from which to resume. */
  readonly checkpoint?: Uint8Array
  readonly signal?: AbortSignal
}

class CachedSession {
  nextNumber = 1

  constructor (readonly session: Session, readonly expiresAt: number) {}
}

/** A submission of a request under one session and number. */
interface Submission {
  readonly cachedSession: CachedSession
  readonly number: number
  readonly reader: AnswerReader
  /** When the first text was received, on the client's clock; 0 before that. */
  readonly firstChunk: { readonly at: number }
}

type WholeState = Extract<ReaderState, { readonly kind: 'whole' }>
type RefusedState = Extract<ReaderState, { readonly kind: 'refused' }>
type FinalState = Extract<ReaderState, { readonly kind: 'whole' | 'refused' }>

/** How a connection for a submission ended. */
type ConnectionOutcome =
  | Exclude<ReaderState, { readonly kind: 'open' }>
  /** The gate refused the connection or did not answer probes. */
  | { readonly kind: 'unreachable' }

const SESSION_EXPIRY_MARGIN_MS = 5000
const REATTACH_DELAY_MS = 50
/** Extra time for an answer that the gate sent at the deadline to arrive. */
const DEADLINE_GRACE_MS = 100
const MAX_CONNECT_FAILURES = 3
/** Requests rotate over this many of the best gates. */
const ROTATED_GATE_COUNT = 3

export class PepperwoodClient {
  private readonly _options: PepperwoodClientOptions
  private readonly _clock: IClock
  private readonly _gateDirectory: GateDirectory
  private readonly _sessions = new Map<string, CachedSession>()
  private _rotation = 0
  private readonly _pendingSessions = new Map<string, Promise<Either<ClientError, CachedSession>>>()

  constructor (options: PepperwoodClientOptions) {
    this._options = options
    this._clock = options.clock ?? new SystemClock()
    this._gateDirectory = new GateDirectory({ ...options, clock: this._clock })
  }

  async submit (options: SubmitOptions): Promise<Either<ClientError, WholeAnswer>> {
    const startedAt = this._clock.now()
    const deadlineAt = startedAt + options.deadlineMs
    let checkpoint = options.checkpoint
    let lastError = createClientError('deadlinePassed', 'no gate accepted the request before the deadline', 'notRun')
    let resubmissions = 0
    let mayHaveRun = false
    for (let failures = 0; failures < MAX_CONNECT_FAILURES && this._clock.now() < deadlineAt && options.signal?.aborted !== true;) {
      const opened = await this._openSession(deadlineAt)
      if (opened.isLeft()) {
        lastError = opened.extract()
        if (lastError.resultName !== 'upstreamUnreachable') break
        failures++
        continue
      }
      const cachedSession = opened.unsafeCoerce()
      if (resubmissions > 0) options.onRestart?.()
      const submission = this._createSubmission(cachedSession, options)
      const finalState = await this._followSubmission(submission, options, checkpoint, deadlineAt)
      if (finalState.kind === 'whole') return Right(this._createAnswer(submission, finalState, startedAt))
      lastError = finalState.error
      checkpoint = submission.reader.checkpoint ?? checkpoint
      if (lastError.execution !== 'notRun') mayHaveRun = true
      if (!canResubmit({ error: lastError, isUnrepeatable: isUnrepeatable(options, cachedSession), mayHaveRun }) || resubmissions++ >= (this._options.maxResubmissions ?? 2)) break
      if (lastError.resultName === 'checkpointInvalid') checkpoint = undefined
      const waitMs = Math.min(lastError.retryAfterMs, REATTACH_DELAY_MS)
      if (waitMs > 0) await waitFor(waitMs)
    }
    return Left(mayHaveRun && lastError.execution === 'notRun' ? createClientError('outcomeUnknown', lastError.message, 'mayHaveRun') : lastError)
  }

  private _createSubmission (cachedSession: CachedSession, options: SubmitOptions): Submission {
    const number = cachedSession.nextNumber++
    const firstChunk = { at: 0 }
    const reader = new AnswerReader(`${cachedSession.session.id}/${number}`, text => {
      if (firstChunk.at === 0) firstChunk.at = this._clock.now()
      options.onText?.(text)
    })
    return { cachedSession, number, reader, firstChunk }
  }

  private _createAnswer (submission: Submission, wholeState: WholeState, startedAt: number): WholeAnswer {
    const { cachedSession, number, reader, firstChunk } = submission
    return {
      requestId: `${cachedSession.session.id}/${number}`,
      text: wholeState.text,
      costs: wholeState.costs,
      firstChunkMs: firstChunk.at - startedAt,
      elapsedMs: this._clock.now() - startedAt,
      chunkCount: reader.chunkCount
    }
  }

  /** Closes connections; requests that are running continue. */
  dispose (): void {
    this._gateDirectory.dispose()
  }

  /** Follows a submission until it is answered or refused, its home gate cannot be reached, or the deadline passes. */
  private async _followSubmission (submission: Submission, options: SubmitOptions, checkpoint: Uint8Array | undefined, deadlineAt: number): Promise<FinalState> {
    const home = submission.cachedSession.session.home
    let wasSent = false
    while (this._clock.now() < deadlineAt + DEADLINE_GRACE_MS && options.signal?.aborted !== true) {
      const connectionOutcome = await this._submitOnce(submission, options, checkpoint, deadlineAt, () => { wasSent = true })
      if (connectionOutcome.kind === 'whole') return connectionOutcome
      if (connectionOutcome.kind === 'refused') return this._processRefusal(submission, connectionOutcome, wasSent)
      if (connectionOutcome.kind === 'unreachable') {
        this._abandonGate(home)
        // A request that was never sent can be submitted to another gate; one sent to a lost home gate may have run.
        return createRefusedState(createClientError(wasSent ? 'outcomeUnknown' : 'upstreamUnreachable', `${home} cannot be reached`, wasSent ? 'mayHaveRun' : 'notRun'))
      }
      await waitFor(REATTACH_DELAY_MS)
    }
    const isAborted = options.signal?.aborted === true
    if (isAborted && wasSent) await this._cancelSubmission(submission)
    return createRefusedState(createClientError(isAborted ? 'cancelled' : 'deadlinePassed', isAborted ? 'cancelled by the caller' : 'the deadline has passed', wasSent ? 'mayHaveRun' : 'notRun'))
  }

  private _processRefusal (submission: Submission, refusedState: RefusedState, wasSent: boolean): RefusedState {
    const { session } = submission.cachedSession
    this._gateDirectory.updateGates(refusedState.gates.map(gate => gate.address))
    if (refusedState.error.resultName === 'gateDraining' || refusedState.error.resultName === 'sessionUnknown' || refusedState.error.resultName === 'sessionOutdated') this._sessions.delete(session.home)
    // A gate without the session cannot have run this submission if it is the first under its number; one sent before may have run.
    if (refusedState.error.resultName === 'sessionUnknown' && !wasSent) return createRefusedState(createClientError('sessionUnknown', refusedState.error.message, 'notRun'))
    return refusedState
  }

  /** Submits the request over one connection. The gate attaches it to the existing run if it was sent before. */
  private async _submitOnce (submission: Submission, options: SubmitOptions, checkpoint: Uint8Array | undefined, deadlineAt: number, onSent: () => void): Promise<ConnectionOutcome> {
    const { cachedSession, number, reader } = submission
    const { id: session, home, incarnation } = cachedSession.session
    const abort = new AbortController()
    const onAbort = () => abort.abort()
    options.signal?.addEventListener('abort', onAbort, { once: true })
    const timeLeftMs = Math.max(1, Math.round(deadlineAt - this._clock.now()))
    const deadlineTimer = setTimeout(onAbort, timeLeftMs + DEADLINE_GRACE_MS)
    const livenessWatch = this._watchLiveness(home, !isUnrepeatable(options, cachedSession), () => abort.abort())
    try {
      const stream = this._gateDirectory.getClient(home).submit({
        session,
        home,
        incarnation,
        number,
        pipeline: options.pipeline,
        input: options.input,
        timeLeftMs,
        unrepeatable: options.unrepeatable ?? false,
        checkpoint,
        seenConfiguration: this._gateDirectory.seenConfiguration
      }, { signal: abort.signal })
      let connectionOutcome: ConnectionOutcome = { kind: 'broken', reason: 'the stream ended early' }
      for await (const event of stream) {
        livenessWatch.reset()
        if (event.event.case === 'accepted') this._gateDirectory.recordConfiguration(event.event.value.configuration)
        const state = reader.accept(event)
        if (state.kind !== 'refused') onSent()
        if (state.kind === 'broken') return state
        // Reads the stream to its end even after the final event, so that the connection can be reused.
        if (state.kind !== 'open') connectionOutcome = state
      }
      return connectionOutcome
    } catch (thrown) {
      if (isConnectFailure(thrown)) return { kind: 'unreachable' }
      onSent()
      if (livenessWatch.isUnresponsive()) return { kind: 'unreachable' }
      return { kind: 'broken', reason: String(thrown) }
    } finally {
      clearTimeout(deadlineTimer)
      livenessWatch.stop()
      options.signal?.removeEventListener('abort', onAbort)
    }
  }

  /** Probes the home gate of a repeatable request while its stream is silent, and reports a gate that does not answer. */
  private _watchLiveness (home: string, isRepeatable: boolean, onUnresponsive: () => void) {
    const maxSilenceMs = this._options.maxSilenceMs ?? 1000
    let isUnresponsive = false
    let isStopped = false
    let lastReceivedAt = this._clock.now()
    const check = async () => {
      if (this._clock.now() - lastReceivedAt < maxSilenceMs || isStopped) return
      try {
        await this._gateDirectory.getClient(home).locate({ customer: this._options.customer }, { timeoutMs: maxSilenceMs })
        lastReceivedAt = this._clock.now()
      } catch {
        if (isStopped || this._clock.now() - lastReceivedAt < maxSilenceMs) return
        isUnresponsive = true
        onUnresponsive()
      }
    }
    const timer = isRepeatable ? setInterval(() => { void check() }, maxSilenceMs) : undefined
    return {
      reset: () => { lastReceivedAt = this._clock.now() },
      isUnresponsive: () => isUnresponsive,
      stop: () => {
        isStopped = true
        clearInterval(timer)
      }
    }
  }

  private _abandonGate (home: string): void {
    this._sessions.delete(home)
    this._gateDirectory.markUnreachable(home)
  }

  private async _cancelSubmission (submission: Submission): Promise<void> {
    const { id: session, home, incarnation } = submission.cachedSession.session
    try {
      await this._gateDirectory.getClient(home).cancel({ session, home, incarnation, number: submission.number }, { timeoutMs: 500 })
    } catch {
      // The home gate cannot be reached; the request ends there at its deadline.
    }
  }

  /** Returns a cached session or opens one, at the first gate that has or grants one. */
  private async _openSession (deadlineAt: number): Promise<Either<ClientError, CachedSession>> {
    let error = createClientError('upstreamUnreachable', 'no gate can be reached', 'notRun')
    for (const address of rotateFirst(await this._gateDirectory.list(), ROTATED_GATE_COUNT, this._rotation++)) {
      if (this._clock.now() >= deadlineAt) break
      const cachedSession = this._sessions.get(address)
      if (cachedSession !== undefined && cachedSession.expiresAt > this._clock.now()) return Right(cachedSession)
      const pendingSession = this._pendingSessions.get(address) ?? this._openSessionAt(address).finally(() => this._pendingSessions.delete(address))
      this._pendingSessions.set(address, pendingSession)
      const opened = await pendingSession
      if (opened.isRight()) return opened
      error = opened.swap().unsafeCoerce()
      if (error.code >= 201 && error.code <= 212) break
    }
    return Left(error)
  }

  private async _openSessionAt (address: string): Promise<Either<ClientError, CachedSession>> {
    const { customer, key } = this._options
    try {
      const answer = await this._gateDirectory.getClient(address).openSession({ customer, key, seenConfiguration: this._gateDirectory.seenConfiguration }, { timeoutMs: 1000 })
      if (answer.outcome.case === 'refusal') return Left(readRefusal(answer.outcome.value))
      if (answer.outcome.case !== 'session') return Left(createClientError('internal', 'the answer has no outcome', 'notRun'))
      const session = answer.outcome.value
      this._gateDirectory.recordConfiguration(session.configuration)
      const cachedSession = new CachedSession(session, this._clock.now() + session.expiresInMs - SESSION_EXPIRY_MARGIN_MS)
      this._sessions.set(address, cachedSession)
      return Right(cachedSession)
    } catch {
      this._abandonGate(address)
      return Left(createClientError('upstreamUnreachable', `${address} cannot be reached`, 'notRun'))
    }
  }
}

/** Rotates the first `count` items by `turn` positions; the others follow in their order. */
export function rotateFirst<T> (items: readonly T[], count: number, turn: number): readonly T[] {
  const first = items.slice(0, count)
  const from = first.length === 0 ? 0 : turn % first.length
  return [...first.slice(from), ...first.slice(0, from), ...items.slice(count)]
}

/**
 * Whether resubmitting the request could run a stage twice. A pipeline that the session does not list as repeatable
 * must not be repeated.
 */
function isUnrepeatable (options: SubmitOptions, cachedSession: CachedSession): boolean {
  return options.unrepeatable === true || !cachedSession.session.repeatablePipelines.includes(options.pipeline)
}

function createRefusedState (error: ClientError): RefusedState {
  return { kind: 'refused', error, gates: [] }
}

const CONNECT_FAILURE_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Whether the connection was never opened, which is the only proof that the request was not sent. */
function isConnectFailure (thrown: unknown): boolean {
  const error = ConnectError.from(thrown)
  if (error.code !== Code.Unavailable && error.code !== Code.Unknown && error.code !== Code.Internal) return false
  return CONNECT_FAILURE_CODES.has((error.cause as { readonly code?: unknown } | undefined)?.code)
}
