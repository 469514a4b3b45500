/**
 * The client library: finds a gate, opens a session, submits, and hands over a whole answer or a typed error.
 *
 * A request that was sent is asked for again at its home, under its number, where it can only be attached to. Only when
 * its home is gone, and only if it is repeatable, it goes elsewhere as a new request with the newest checkpoint.
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
import { maySubmitAnew } from './resubmission.ts'

export interface PepperwoodClientOptions {
  /** Addresses of gates to ask first. */
  readonly entries: readonly string[]
  readonly customer: string
  readonly key: string
  readonly clock?: IClock
  /** The address that connections leave from. */
  readonly localAddress?: string
  /** Silence after which the home is asked whether it still lives. */
  readonly maxSilenceMs?: number
  /** How often a repeatable request is submitted anew. */
  readonly maxResubmissions?: number
}

export interface SubmitOptions {
  readonly pipeline: string
  readonly input: string
  readonly deadlineMs: number
  readonly unrepeatable?: boolean
  /** Text as it arrives. It is void unless the whole answer follows. */
  readonly onText?: (text: string) => void
  /** The request is submitted anew: what came of its text before is void. */
  readonly onRestart?: () => void
  readonly checkpoint?: Uint8Array
  readonly signal?: AbortSignal
}

class HeldSession {
  nextNumber = 1

  constructor (readonly session: Session, readonly expiresAt: number) {}
}

/** One submission of a request under one session and number. */
interface Submission {
  readonly held: HeldSession
  readonly number: number
  readonly reader: AnswerReader
  /** When the first text came, on the client's clock; 0 before. */
  readonly firstChunk: { readonly at: number }
}

type WholeState = Extract<ReaderState, { readonly kind: 'whole' }>
type RefusedState = Extract<ReaderState, { readonly kind: 'refused' }>
type FinalState = Extract<ReaderState, { readonly kind: 'whole' | 'refused' }>

/** How one try to get the answer ended. */
type TryEnd =
  | Exclude<ReaderState, { readonly kind: 'open' }>
  /** The gate cannot be reached at all. */
  | { readonly kind: 'unreachable' }

const EXPIRY_MARGIN_MS = 5000
const REATTACH_WAIT_MS = 50
/** An answer that the gate gave at the deadline is still on its way for so long. */
const DEADLINE_GRACE_MS = 100
const MAX_CONNECT_FAILURES = 3
/** Requests take turns over so many of the gates named best. */
const SPREAD_COUNT = 3

export class PepperwoodClient {
  private readonly _options: PepperwoodClientOptions
  private readonly _clock: IClock
  private readonly _gates: GateDirectory
  private readonly _sessions = new Map<string, HeldSession>()
  private _nextGate = 0
  private readonly _opening = new Map<string, Promise<Either<ClientError, HeldSession>>>()

  constructor (options: PepperwoodClientOptions) {
    this._options = options
    this._clock = options.clock ?? new SystemClock()
    this._gates = new GateDirectory({ ...options, clock: this._clock })
  }

  async submit (options: SubmitOptions): Promise<Either<ClientError, WholeAnswer>> {
    const startedAt = this._clock.now()
    const deadlineAt = startedAt + options.deadlineMs
    let checkpoint = options.checkpoint
    let lastError = createClientError('deadlinePassed', 'no gate took the request in time', 'notRun')
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
      const held = opened.unsafeCoerce()
      if (resubmissions > 0) options.onRestart?.()
      const submission = this._createSubmission(held, options)
      const end = await this._follow(submission, options, checkpoint, deadlineAt)
      if (end.kind === 'whole') return Right(this._createWhole(submission, end, startedAt))
      lastError = end.error
      checkpoint = submission.reader.checkpoint ?? checkpoint
      if (lastError.execution !== 'notRun') mayHaveRun = true
      if (!maySubmitAnew({ error: lastError, isUnrepeatable: isUnrepeatable(options, held), mayHaveRun }) || resubmissions++ >= (this._options.maxResubmissions ?? 2)) break
      if (lastError.resultName === 'checkpointInvalid') checkpoint = undefined
      const waitMs = Math.min(lastError.retryAfterMs, REATTACH_WAIT_MS)
      if (waitMs > 0) await waitFor(waitMs)
    }
    return Left(mayHaveRun && lastError.execution === 'notRun' ? createClientError('outcomeUnknown', lastError.message, 'mayHaveRun') : lastError)
  }

  private _createSubmission (held: HeldSession, options: SubmitOptions): Submission {
    const number = held.nextNumber++
    const firstChunk = { at: 0 }
    const reader = new AnswerReader(`${held.session.id}/${number}`, text => {
      if (firstChunk.at === 0) firstChunk.at = this._clock.now()
      options.onText?.(text)
    })
    return { held, number, reader, firstChunk }
  }

  private _createWhole (submission: Submission, end: WholeState, startedAt: number): WholeAnswer {
    const { held, number, reader, firstChunk } = submission
    return {
      requestId: `${held.session.id}/${number}`,
      text: end.text,
      costs: end.costs,
      firstChunkMs: firstChunk.at - startedAt,
      elapsedMs: this._clock.now() - startedAt,
      chunkCount: reader.chunkCount
    }
  }

  /** Stops nothing that runs; only connections are given up. */
  dispose (): void {
    this._gates.dispose()
  }

  /** Follows one submission until the answer is whole, refused, or its home is gone. */
  private async _follow (submission: Submission, options: SubmitOptions, checkpoint: Uint8Array | undefined, deadlineAt: number): Promise<FinalState> {
    const home = submission.held.session.home
    let wasSent = false
    while (this._clock.now() < deadlineAt + DEADLINE_GRACE_MS && options.signal?.aborted !== true) {
      const end = await this._try(submission, options, checkpoint, deadlineAt, () => { wasSent = true })
      if (end.kind === 'whole') return end
      if (end.kind === 'refused') return this._takeRefusal(submission, end, wasSent)
      if (end.kind === 'unreachable') {
        this._leave(home)
        // What was never sent is free to go elsewhere; what was sent to a home that is gone may have run.
        return refuse(createClientError(wasSent ? 'outcomeUnknown' : 'upstreamUnreachable', `${home} cannot be reached`, wasSent ? 'mayHaveRun' : 'notRun'))
      }
      await waitFor(REATTACH_WAIT_MS)
    }
    const isAborted = options.signal?.aborted === true
    if (isAborted && wasSent) await this._cancel(submission)
    return refuse(createClientError(isAborted ? 'cancelled' : 'deadlinePassed', isAborted ? 'given up by the caller' : 'the deadline has passed', wasSent ? 'mayHaveRun' : 'notRun'))
  }

  private _takeRefusal (submission: Submission, end: RefusedState, wasSent: boolean): RefusedState {
    const { session } = submission.held
    this._gates.suggest(end.gates.map(gate => gate.address))
    if (end.error.resultName === 'gateDraining' || end.error.resultName === 'sessionUnknown' || end.error.resultName === 'sessionOutdated') this._sessions.delete(session.home)
    // A gate that does not know the session cannot have run this first submission of the number; one sent before may have run.
    if (end.error.resultName === 'sessionUnknown' && !wasSent) return refuse(createClientError('sessionUnknown', end.error.message, 'notRun'))
    return end
  }

  /** One connection: submits, or attaches where the request was sent before. */
  private async _try (submission: Submission, options: SubmitOptions, checkpoint: Uint8Array | undefined, deadlineAt: number, onSent: () => void): Promise<TryEnd> {
    const { held, number, reader } = submission
    const { id: session, home, incarnation } = held.session
    const abort = new AbortController()
    const onAbort = () => abort.abort()
    options.signal?.addEventListener('abort', onAbort, { once: true })
    const timeLeftMs = Math.max(1, Math.round(deadlineAt - this._clock.now()))
    const deadline = setTimeout(onAbort, timeLeftMs + DEADLINE_GRACE_MS)
    const watch = this._watchSilence(home, !isUnrepeatable(options, held), () => abort.abort())
    try {
      const stream = this._gates.getClient(home).submit({
        session,
        home,
        incarnation,
        number,
        pipeline: options.pipeline,
        input: options.input,
        timeLeftMs,
        unrepeatable: options.unrepeatable ?? false,
        checkpoint,
        seenConfiguration: this._gates.seenConfiguration
      }, { signal: abort.signal })
      let end: TryEnd = { kind: 'broken', reason: 'the stream ended early' }
      for await (const event of stream) {
        watch.reset()
        if (event.event.case === 'accepted') this._gates.noteConfiguration(event.event.value.configuration)
        const state = reader.take(event)
        if (state.kind !== 'refused') onSent()
        if (state.kind === 'broken') return state
        // The stream is read to its end even so, which leaves the connection fit for the next request.
        if (state.kind !== 'open') end = state
      }
      return end
    } catch (thrown) {
      if (isNeverSent(thrown)) return { kind: 'unreachable' }
      onSent()
      if (watch.isGone()) return { kind: 'unreachable' }
      return { kind: 'broken', reason: String(thrown) }
    } finally {
      clearTimeout(deadline)
      watch.stop()
      options.signal?.removeEventListener('abort', onAbort)
    }
  }

  /** Asks a home that stays silent whether it lives; a repeatable request does not wait for one that does not answer. */
  private _watchSilence (home: string, isRepeatable: boolean, onGone: () => void) {
    const maxSilenceMs = this._options.maxSilenceMs ?? 1000
    let isGone = false
    let isStopped = false
    let heardAt = this._clock.now()
    const check = async () => {
      if (this._clock.now() - heardAt < maxSilenceMs || isStopped) return
      try {
        await this._gates.getClient(home).locate({ customer: this._options.customer }, { timeoutMs: maxSilenceMs })
        heardAt = this._clock.now()
      } catch {
        if (isStopped || this._clock.now() - heardAt < maxSilenceMs) return
        isGone = true
        onGone()
      }
    }
    const timer = isRepeatable ? setInterval(() => { void check() }, maxSilenceMs) : undefined
    return {
      reset: () => { heardAt = this._clock.now() },
      isGone: () => isGone,
      stop: () => {
        isStopped = true
        clearInterval(timer)
      }
    }
  }

  private _leave (home: string): void {
    this._sessions.delete(home)
    this._gates.avoid(home)
  }

  private async _cancel (submission: Submission): Promise<void> {
    const { id: session, home, incarnation } = submission.held.session
    try {
      await this._gates.getClient(home).cancel({ session, home, incarnation, number: submission.number }, { timeoutMs: 500 })
    } catch {
      // The home cannot be reached; its own deadline ends the request.
    }
  }

  /** A session at the first gate that opens one. */
  private async _openSession (deadlineAt: number): Promise<Either<ClientError, HeldSession>> {
    let error = createClientError('upstreamUnreachable', 'no gate can be reached', 'notRun')
    for (const address of rotateFirst(await this._gates.list(), SPREAD_COUNT, this._nextGate++)) {
      if (this._clock.now() >= deadlineAt) break
      const held = this._sessions.get(address)
      if (held !== undefined && held.expiresAt > this._clock.now()) return Right(held)
      const opening = this._opening.get(address) ?? this._openSessionAt(address).finally(() => this._opening.delete(address))
      this._opening.set(address, opening)
      const opened = await opening
      if (opened.isRight()) return opened
      error = opened.swap().unsafeCoerce()
      if (error.code >= 201 && error.code <= 212) break
    }
    return Left(error)
  }

  private async _openSessionAt (address: string): Promise<Either<ClientError, HeldSession>> {
    const { customer, key } = this._options
    try {
      const answer = await this._gates.getClient(address).openSession({ customer, key, seenConfiguration: this._gates.seenConfiguration }, { timeoutMs: 1000 })
      if (answer.outcome.case === 'refusal') return Left(readRefusal(answer.outcome.value))
      if (answer.outcome.case !== 'session') return Left(createClientError('internal', 'an answer without outcome', 'notRun'))
      const session = answer.outcome.value
      this._gates.noteConfiguration(session.configuration)
      const held = new HeldSession(session, this._clock.now() + session.expiresInMs - EXPIRY_MARGIN_MS)
      this._sessions.set(address, held)
      return Right(held)
    } catch {
      this._leave(address)
      return Left(createClientError('upstreamUnreachable', `${address} cannot be reached`, 'notRun'))
    }
  }
}

/** The first items in turn, the rest behind them. */
export function rotateFirst<T> (items: readonly T[], count: number, turn: number): readonly T[] {
  const first = items.slice(0, count)
  const from = first.length === 0 ? 0 : turn % first.length
  return [...first.slice(from), ...first.slice(0, from), ...items.slice(count)]
}

/** Whether submitting the request anew could run something twice; what the session does not promise may not be repeated. */
function isUnrepeatable (options: SubmitOptions, held: HeldSession): boolean {
  return options.unrepeatable === true || !held.session.repeatablePipelines.includes(options.pipeline)
}

function refuse (error: ClientError): RefusedState {
  return { kind: 'refused', error, gates: [] }
}

const NEVER_SENT_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Only a connection that never opened says that the request was not sent. */
function isNeverSent (thrown: unknown): boolean {
  const error = ConnectError.from(thrown)
  if (error.code !== Code.Unavailable && error.code !== Code.Unknown && error.code !== Code.Internal) return false
  return NEVER_SENT_CODES.has((error.cause as { readonly code?: unknown } | undefined)?.code)
}
