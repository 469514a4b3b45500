/**
 * One attempt of a request at one upstream: sends it, checks the answer and hands it on.
 */
import type { Agent, IncomingMessage } from 'node:http'
import type { IClock } from '../../../base/common/clock.ts'
import { dropIdleConnections, startExchange } from '../../upstream/node/httpExchange.ts'
import type { ExchangeStart, IExchange } from '../../upstream/node/httpExchange.ts'
import type { UpstreamStatement } from '../../upstream/common/upstreamStatement.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import { EventSplitter } from '../common/eventSplitter.ts'
import type { AnswerVerdict, RelayCall, UpstreamLoad, UpstreamProtocol } from '../common/relayProtocol.ts'
import type { CallerAnswer, WholeAnswer } from './callerAnswer.ts'

export interface RelayAttemptOptions {
  readonly agent: Agent
  readonly clock: IClock
  readonly protocol: UpstreamProtocol
  readonly call: RelayCall
  readonly body: Buffer
  readonly answer: CallerAnswer
  /** Hand events on as they come. */
  readonly isStream: boolean
  /** How long the upstream may take to begin its answer. */
  readonly headTimeoutMs: number
  /** How long a stream may pause before it is taken for broken. */
  readonly pauseTimeoutMs: number
  readonly signal: AbortSignal
  /** The connection is open, and the request is written now; false withholds it. */
  readonly onWillSend: () => boolean
  readonly onDidReadLoad: (load: UpstreamLoad) => void
  /** What the upstream says of itself with its answer. */
  readonly onDidState: (statements: readonly UpstreamStatement[]) => void
  /** The first event of a stream, or the whole answer, has arrived. */
  readonly onDidProduce: () => void
  readonly localAddress?: string
}

/** How an attempt ended, with the upstream's failure where it answered with one. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome
  readonly failure?: WholeAnswer
  /** The upstream kept silent for too long, and this side closed the connection. */
  readonly hasTimedOut?: boolean
}

/** Hosts are a millisecond apart; one that does not accept a connection within this is not there. */
const CONNECT_TIMEOUT_MS = 400
/** Answers up to this size are read whole before they are handed on, so that a torn one can be replaced. */
const MAX_BUFFERED_BYTES = 256 * 1024
/** The longest that a timer can be set for. */
const NO_TIMEOUT = 2 ** 31 - 1

export class RelayAttempt {
  private readonly _options: RelayAttemptOptions
  private _timer: { dispose (): void } | undefined
  private _timedOut = false

  constructor (options: RelayAttemptOptions) {
    this._options = options
  }

  async run (): Promise<AttemptResult> {
    const { call, protocol, body, agent, signal } = this._options
    const controller = new AbortController()
    const onAbort = () => controller.abort()
    if (signal.aborted) return { outcome: { kind: 'cancelled' } }
    signal.addEventListener('abort', onAbort, { once: true })
    this._watch(this._options.headTimeoutMs, onAbort)
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
        signal: controller.signal,
        onWillSend: this._options.onWillSend
      })
      if (start.kind !== 'response') return { outcome: this._decideNoAnswer(start), hasTimedOut: this._timedOut }
      return { ...await this._readAnswer(start.response, start.exchange), hasTimedOut: this._timedOut }
    } finally {
      this._timer?.dispose()
      signal.removeEventListener('abort', onAbort)
    }
  }

  private _decideNoAnswer (start: Exclude<ExchangeStart, { readonly kind: 'response' }>): AttemptOutcome {
    if (this._options.signal.aborted) return { kind: 'cancelled' }
    if (start.kind === 'notSent') return { kind: 'notRun', reason: start.isWithheld ? 'withheld' : 'unreachable' }
    return { kind: 'lost', reason: this._timedOut ? 'no answer in time' : start.reason }
  }

  private async _readAnswer (response: IncomingMessage, exchange: IExchange): Promise<AttemptResult> {
    const { protocol, call, onDidReadLoad } = this._options
    // Errors of the response are told by its close.
    response.on('error', () => {})
    const head = { status: response.statusCode ?? 0, headers: response.headers, rawHeaders: response.rawHeaders }
    const verdict = protocol.readHead(head, call)
    this._options.onDidState(protocol.readStatements(head, call))
    const load = protocol.readLoad(head)
    if (load !== undefined) onDidReadLoad(load)
    if (verdict.kind === 'invalid') {
      exchange.cancel()
      return { outcome: { kind: 'lost', reason: verdict.reason } }
    }
    if (verdict.kind === 'notRun') {
      this._drain(response, exchange)
      return { outcome: { kind: 'notRun', reason: verdict.reason } }
    }
    // The rest of the request would be sent to an upstream that no longer wants it.
    if (!exchange.wasWritten) response.once('end', () => exchange.cancel())
    if (verdict.isSuccess && this._options.isStream) return { outcome: await this._forwardStream(response, exchange, verdict) }
    return await this._forwardWhole(response, exchange, verdict)
  }

  /** Reads the rest of a short answer, so that its connection can be used again. */
  private _drain (response: IncomingMessage, exchange: IExchange): void {
    const timer = this._options.clock.schedule(1000, () => exchange.cancel())
    response.once('close', () => timer.dispose())
    if (exchange.wasWritten) response.resume()
    else exchange.cancel()
  }

  private async _forwardWhole (response: IncomingMessage, exchange: IExchange, verdict: AnswerVerdict & { readonly kind: 'answer' }): Promise<AttemptResult> {
    const { answer, onDidProduce } = this._options
    const status = response.statusCode ?? 0
    const parts: Buffer[] = []
    let size = 0
    try {
      for await (const part of response as AsyncIterable<Buffer>) {
        parts.push(part)
        size += part.length
        if (size <= MAX_BUFFERED_BYTES || !verdict.isSuccess) continue
        answer.begin(status, verdict.headers, isFramed(response))
        for (const held of parts.splice(0)) if (!answer.write(held)) await answer.waitForRoom()
      }
    } catch {
      return { outcome: this._decideTorn() }
    }
    if (!isWhole(response, exchange)) return { outcome: this._decideTorn() }
    onDidProduce()
    const whole = { status, headers: verdict.headers, body: Buffer.concat(parts), isFramed: isFramed(response) }
    if (!verdict.isSuccess) return { outcome: { kind: 'failed', status }, failure: whole }
    if (answer.isBegun) {
      for (const held of parts) answer.write(held)
      answer.finish()
    } else {
      answer.send(whole)
    }
    return { outcome: { kind: 'delivered' } }
  }

  private _decideTorn (): AttemptOutcome {
    if (this._options.signal.aborted) return { kind: 'cancelled' }
    const reason = this._timedOut ? 'no answer in time' : 'answer torn'
    return this._options.answer.isBegun ? { kind: 'broken', lastEventId: undefined, reason } : { kind: 'lost', reason }
  }

  private async _forwardStream (response: IncomingMessage, exchange: IExchange, verdict: AnswerVerdict & { readonly kind: 'answer' }): Promise<AttemptOutcome> {
    const { answer, call, onDidProduce, pauseTimeoutMs } = this._options
    const splitter = new EventSplitter()
    let lastEventId = call.lastEventId
    let count = 0
    const onPause = () => exchange.cancel()
    this._watch(Math.max(pauseTimeoutMs, this._options.headTimeoutMs), onPause)
    try {
      for await (const part of response as AsyncIterable<Buffer>) {
        const events = splitter.add(part)
        if (splitter.isTooLarge) break
        if (events.length === 0) continue
        this._watch(pauseTimeoutMs, onPause)
        if (count === 0) onDidProduce()
        count += events.length
        // A stream that goes on elsewhere keeps the head of the upstream that began it.
        answer.begin(response.statusCode ?? 0, verdict.headers, isFramed(response))
        let hasRoom = true
        for (const event of events) {
          hasRoom = answer.write(event.bytes)
          lastEventId = event.id ?? lastEventId
        }
        if (!hasRoom) await answer.waitForRoom()
      }
    } catch {
      return this._decideBrokenStream(lastEventId)
    }
    if (!isWhole(response, exchange) || splitter.pendingBytes > 0) {
      exchange.cancel()
      return this._decideBrokenStream(lastEventId)
    }
    if (count === 0) onDidProduce()
    answer.begin(response.statusCode ?? 0, verdict.headers, isFramed(response))
    answer.finish()
    return { kind: 'delivered' }
  }

  private _decideBrokenStream (lastEventId: string | undefined): AttemptOutcome {
    if (this._options.signal.aborted) return { kind: 'cancelled' }
    const reason = this._timedOut ? 'stream paused too long' : 'stream broke off'
    return this._options.answer.isBegun ? { kind: 'broken', lastEventId, reason } : { kind: 'lost', reason }
  }

  private _watch (timeoutMs: number, run: () => void): void {
    this._timer?.dispose()
    this._timer = this._options.clock.schedule(Math.min(timeoutMs, NO_TIMEOUT), () => {
      this._timedOut = true
      dropIdleConnections(this._options.agent, this._options.call.upstream.address)
      run()
    })
  }
}

function isFramed (response: IncomingMessage): boolean {
  return response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
}

/** A body that ends with its connection is whole only when that was closed, not reset. */
function isWhole (response: IncomingMessage, exchange: IExchange): boolean {
  return response.complete && (isFramed(response) || !exchange.hasFailed)
}
