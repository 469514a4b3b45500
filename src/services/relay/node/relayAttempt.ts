/**
 * One attempt of a request at one upstream: sends it, validates the answer and forwards it to the caller.
 */
import type { IncomingMessage } from 'node:http'
import type { IClock } from '../../../base/common/clock.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { isSelfDelimited } from '../../upstream/common/answerFraming.ts'
import type { CallAgent, ConnectionUse } from '../../upstream/node/callAgent.ts'
import { closeIdleConnections, startExchange } from '../../upstream/node/httpExchange.ts'
import type { ExchangeStart, IExchange } from '../../upstream/node/httpExchange.ts'
import { drainBody } from '../../upstream/node/responseBody.ts'
import type { UpstreamStatement } from '../../upstream/common/upstreamStatement.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import { EventSplitter } from '../common/eventSplitter.ts'
import type { AnswerVerdict, RelayCall, UpstreamProtocol } from '../common/relayProtocol.ts'
import type { CallerAnswer, BufferedAnswer } from './callerAnswer.ts'

export interface RelayAttemptOptions {
  readonly agent: CallAgent
  readonly clock: IClock
  readonly protocol: UpstreamProtocol
  readonly call: RelayCall
  readonly body: Buffer
  readonly answer: CallerAnswer
  /** Forward events as they arrive instead of the whole answer. */
  readonly isStream: boolean
  /** After this time without the first event of a stream, or without all of another answer, the attempt has stalled. */
  readonly responseTimeoutMs: number
  /** After a pause of this length a stream has stalled. */
  readonly pauseTimeoutMs: number
  /** Called when the attempt has stalled, and repeatedly while it stays so. The attempt goes on. */
  readonly onDidStall: () => void
  readonly signal: AbortSignal
  /** Called once the connection is open, right before the request is written; false withholds the request. */
  readonly onWillSend: () => boolean
  /** Called when the head of any answer arrived, which shows that the upstream reads. */
  readonly onDidReceiveHead: () => void
  /** Called when the head of an answer arrived, other than a statement that the request does not run. */
  readonly onDidBeginAnswer: () => void
  /** Receives what the upstream states about itself in the head of its answer. */
  readonly onDidReadStatements: (statements: readonly UpstreamStatement[]) => void
  /** Called when the first event of a stream, or the whole answer, has arrived. */
  readonly onDidReceiveFirstOutput: () => void
  /** Called for each event and each part of an answer, before it is passed on. */
  readonly onDidReceiveOutput: () => void
  /** Called before anything is passed on to the caller; false if another attempt answers it. */
  readonly claimAnswer: () => boolean
  /** Called with the id of the last event that was passed on. */
  readonly onDidForwardEvent: (id: string) => void
  /** Checks the upstream after the end of an answer without framing; false if it crashed. */
  readonly confirmRunning: () => Promise<boolean>
  readonly localAddress?: string
}

/** How an attempt ended, with the upstream's own error response if there is one. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome
  readonly failure?: BufferedAnswer
  /** The attempt stalled, and this side closed the connection. */
  readonly hasTimedOut?: boolean
  /** The request was written and this side closed the connection before an answer began, so it may still arrive. */
  readonly mayArrive?: boolean
  /** What the connection had carried before the request; undefined if none was assigned. */
  readonly connectionUse?: ConnectionUse | undefined
  /** Time from when the request was written to the head of the answer, in milliseconds; undefined without an answer. */
  readonly headMs?: number | undefined
}

/** Network latency between hosts is about 1 ms, so a host that needs longer to accept a connection is unreachable. */
const CONNECT_TIMEOUT_MS = 400
/**
 * Answers up to this size are buffered before they are forwarded, so that an incomplete one can be retried. Larger error responses
 * are given up.
 */
const MAX_BUFFERED_BYTES = 256 * 1024
/** Longest delay that setTimeout accepts. */
const MAX_TIMER_MS = 2 ** 31 - 1
/** Period with which a stalled attempt reports that it is still silent. */
const STALL_INTERVAL_MS = 200

export class RelayAttempt {
  private readonly _options: RelayAttemptOptions
  private readonly _controller = new AbortController()
  private _timer: IDisposable | undefined
  private _hasTimedOut = false
  private _isSuperseded = false
  private _connectionUse: ConnectionUse | undefined
  private _writtenAt: number | undefined

  constructor (options: RelayAttemptOptions) {
    this._options = options
  }

  /** Ends an attempt that has stalled, because another upstream takes over. */
  abandon (): void {
    this._hasTimedOut = true
    this._controller.abort()
  }

  /** Ends an attempt that nothing is known against, because another one answers the caller. */
  cancel (): void {
    this._isSuperseded = true
    this._controller.abort()
  }

  async run (): Promise<AttemptResult> {
    const { call, protocol, body, agent, signal } = this._options
    const onAbort = () => this._controller.abort()
    if (signal.aborted) return { outcome: { kind: 'cancelled' } }
    signal.addEventListener('abort', onAbort, { once: true })
    this._startStallTimer(this._options.responseTimeoutMs)
    // A late copy of the answer to an earlier attempt would have the right id.
    agent.closeRepeated(call.upstream.address, [call.request.id])
    try {
      const start = await startExchange({
        address: call.upstream.address,
        method: call.request.method,
        path: call.request.target,
        body: body.length === 0 ? undefined : body,
        rawHeaders: protocol.createHeaders(call).flatMap(({ name, value }) => [name, value]),
        agent,
        localAddress: this._options.localAddress,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        signal: this._controller.signal,
        onDidAssignConnection: connection => { this._connectionUse = agent.recordCall(connection, call.request.id) },
        onWillSend: () => this._prepareSend()
      })
      const { _connectionUse: connectionUse } = this
      if (start.kind !== 'response') return { outcome: this._decideNoAnswer(start), hasTimedOut: this._hasTimedOut, mayArrive: start.kind === 'lost' && this._controller.signal.aborted, connectionUse }
      this._options.onDidReceiveHead()
      const headMs = this._options.clock.now() - (this._writtenAt ?? NaN)
      return { ...await this._readAnswer(start.response, start.exchange), hasTimedOut: this._hasTimedOut, connectionUse, headMs }
    } finally {
      this._timer?.dispose()
      signal.removeEventListener('abort', onAbort)
    }
  }

  private _prepareSend (): boolean {
    this._writtenAt = this._options.clock.now()
    return this._options.onWillSend()
  }

  private _decideNoAnswer (start: Exclude<ExchangeStart, { readonly kind: 'response' }>): AttemptOutcome {
    if (this._isCancelled()) return { kind: 'cancelled' }
    if (start.kind === 'notSent') return start.isWithheld ? { kind: 'notRun', reason: 'withheld' } : { kind: 'notRun', reason: 'unreachable', detail: start.reason }
    return { kind: 'lost', reason: this._hasTimedOut ? 'upstream timed out' : start.reason }
  }

  private async _readAnswer (response: IncomingMessage, exchange: IExchange): Promise<AttemptResult> {
    const { protocol, call } = this._options
    // An error of the response is followed by its close, which is handled below.
    response.on('error', () => {})
    const head = { status: response.statusCode ?? 0, headers: response.headers, rawHeaders: response.rawHeaders }
    const verdict = protocol.readHead(head, call)
    this._options.onDidReadStatements(protocol.readStatements(head, call))
    if (verdict.kind === 'invalid') {
      exchange.cancel()
      return { outcome: { kind: 'lost', reason: verdict.reason } }
    }
    if (verdict.kind === 'notRun') {
      if (verdict.isIdentified && exchange.wasRequestWritten) drainBody(response)
      else exchange.cancel()
      return { outcome: { kind: 'notRun', reason: verdict.reason } }
    }
    this._options.onDidBeginAnswer()
    // The upstream answered before it read the whole request; closing stops sending the rest.
    if (!exchange.wasRequestWritten) response.once('end', () => { void exchange.confirmComplete().then(() => exchange.cancel()) })
    if (verdict.isSuccess && this._options.isStream) return { outcome: await this._forwardStream(response, exchange, verdict) }
    return await this._forwardAnswer(response, exchange, verdict)
  }

  private async _forwardAnswer (response: IncomingMessage, exchange: IExchange, verdict: AnswerVerdict & { readonly kind: 'answer' }): Promise<AttemptResult> {
    const { answer, onDidReceiveFirstOutput, onDidReceiveOutput, claimAnswer } = this._options
    const status = response.statusCode ?? 0
    const bodyBytes = exchange.framing === 'length' ? Number(response.headers['content-length']) : undefined
    const parts: Buffer[] = []
    let size = 0
    try {
      for await (const part of response as AsyncIterable<Buffer>) {
        onDidReceiveOutput()
        parts.push(part)
        size += part.length
        if (size <= MAX_BUFFERED_BYTES) continue
        if (!verdict.isSuccess) return { outcome: this._decideIncomplete('error response too large') }
        if (!claimAnswer()) break
        answer.begin(status, verdict.headers, bodyBytes)
        for (const buffered of parts.splice(0)) if (!answer.write(buffered)) await answer.waitForDrain()
      }
    } catch {
      return { outcome: this._decideIncomplete() }
    }
    // An upstream that stops right after the head may appear to have sent an empty body.
    const isCut = verdict.isSuccess && size === 0 && !isSelfDelimited(exchange.framing)
    if (this._isCancelled() || isCut) return { outcome: this._decideIncomplete() }
    const defect = await this._findDefect(exchange)
    if (defect !== undefined) return { outcome: this._decideIncomplete(defect) }
    if (verdict.isSuccess && !claimAnswer()) return { outcome: this._decideIncomplete() }
    onDidReceiveFirstOutput()
    const bufferedAnswer = { status, headers: verdict.headers, body: Buffer.concat(parts) }
    if (!verdict.isSuccess) return { outcome: { kind: 'failed', status }, failure: bufferedAnswer }
    if (answer.hasBegun) {
      for (const buffered of parts) answer.write(buffered)
      answer.finish()
    } else {
      answer.send(bufferedAnswer)
    }
    return { outcome: { kind: 'delivered' } }
  }

  private _decideIncomplete (cause = 'answer incomplete'): AttemptOutcome {
    if (this._isCancelled()) return { kind: 'cancelled' }
    const reason = this._hasTimedOut ? 'upstream timed out' : cause
    return this._options.answer.hasBegun ? { kind: 'broken', lastEventId: undefined, reason } : { kind: 'lost', reason }
  }

  private async _forwardStream (response: IncomingMessage, exchange: IExchange, verdict: AnswerVerdict & { readonly kind: 'answer' }): Promise<AttemptOutcome> {
    const { answer, call, pauseTimeoutMs } = this._options
    const splitter = new EventSplitter()
    let lastEventId = call.lastEventId
    let count = 0
    this._startStallTimer(Math.max(pauseTimeoutMs, this._options.responseTimeoutMs))
    try {
      for await (const part of response as AsyncIterable<Buffer>) {
        const events = splitter.add(part)
        if (splitter.isTooLarge) return this._decideBrokenStream(lastEventId)
        if (events === undefined) continue
        // Comments are no output, but an upstream that sends them has not fallen silent.
        this._startStallTimer(pauseTimeoutMs)
        this._options.onDidReceiveOutput()
        if (!this._options.claimAnswer()) return this._decideBrokenStream(lastEventId)
        if (events.hasFields && count++ === 0) this._options.onDidReceiveFirstOutput()
        // A stream that resumes at another upstream keeps the head that the first one sent.
        answer.begin(response.statusCode ?? 0, verdict.headers)
        // In one write, since each costs much more than the smallest event has bytes.
        const hasBufferSpace = answer.write(events.bytes)
        lastEventId = events.lastId ?? lastEventId
        if (lastEventId !== undefined) this._options.onDidForwardEvent(lastEventId)
        if (!hasBufferSpace) await this._waitForDrain()
      }
    } catch {
      return this._decideBrokenStream(lastEventId)
    }
    // A connection that is reset may appear to be closed, so without framing a stream without events is not complete either.
    const isEmpty = count === 0 && !isSelfDelimited(exchange.framing)
    const defect = splitter.pendingBytes > 0 || isEmpty ? 'stream ended early' : await this._findDefect(exchange)
    if (defect !== undefined) {
      exchange.cancel()
      return this._decideBrokenStream(lastEventId, defect)
    }
    if (!this._options.claimAnswer()) return this._decideBrokenStream(lastEventId)
    if (count === 0) this._options.onDidReceiveFirstOutput()
    answer.begin(response.statusCode ?? 0, verdict.headers)
    answer.finish()
    return { kind: 'delivered' }
  }

  /** A caller that reads slowly says nothing about the upstream. */
  private async _waitForDrain (): Promise<void> {
    this._timer?.dispose()
    await this._options.answer.waitForDrain()
    this._startStallTimer(this._options.pauseTimeoutMs)
  }

  private _decideBrokenStream (lastEventId: string | undefined, cause = 'stream ended early'): AttemptOutcome {
    if (this._isCancelled()) return { kind: 'cancelled' }
    const reason = this._hasTimedOut ? 'stream paused too long' : cause
    return this._options.answer.hasBegun ? { kind: 'broken', lastEventId, reason } : { kind: 'lost', reason }
  }

  /**
   * Finds why an answer that has ended is not complete. The system closes the connections of a process that crashed as if the
   * process had, so without framing the answer is complete only if the upstream still runs.
   */
  private async _findDefect (exchange: IExchange): Promise<string | undefined> {
    const isComplete = await exchange.confirmComplete()
    if (isSelfDelimited(exchange.framing)) return isComplete ? undefined : 'answer incomplete'
    if (!isComplete) return 'connection reset'
    const isRunning = await Promise.race([this._options.confirmRunning(), this._waitForAbort()])
    return isRunning ? undefined : 'upstream ended with its answer'
  }

  private _waitForAbort (): Promise<false> {
    const { signal } = this._controller
    return new Promise(resolve => {
      if (signal.aborted) resolve(false)
      else signal.addEventListener('abort', () => resolve(false), { once: true })
    })
  }

  /** Whether nothing is known against the upstream: the run was aborted, or another attempt answers the caller. */
  private _isCancelled (): boolean {
    return this._options.signal.aborted || this._isSuperseded
  }

  private _startStallTimer (delayMs: number): void {
    this._timer?.dispose()
    this._timer = this._options.clock.schedule(Math.min(delayMs, MAX_TIMER_MS), () => {
      closeIdleConnections(this._options.agent, this._options.call.upstream.address)
      this._startStallTimer(STALL_INTERVAL_MS)
      this._options.onDidStall()
    })
  }
}
