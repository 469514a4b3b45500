/**
 * HTTP server for callers: finds the route and the customer of each request, reads its body and runs it.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { CallerLimits } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { LoopDelay } from '../../../base/node/loopDelay.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import type { MemoryBudget, MemoryLease } from '../../ingress/common/memoryBudget.ts'
import { CallerConnections, REQUEST_BYTES } from '../../ingress/node/callerConnections.ts'
import type { OpenRequest } from '../../ingress/node/callerConnections.ts'
import { ConnectionLimiter } from '../../ingress/node/connectionLimiter.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { CallerProtocol, MessageHead, RelayRefusal } from '../common/relayProtocol.ts'
import { getPath } from '../common/relayRequest.ts'
import type { RelayRequest } from '../common/relayRequest.ts'
import type { RelayTable } from '../common/relayTable.ts'
import { CallerAnswer } from './callerAnswer.ts'
import { createDrainingRefusal, createOverloadRefusal, createRefusal, createUploadRefusal } from './callerRefusals.ts'
import { CallerUploads } from './callerUploads.ts'
import { KeyDigests } from './keyDigests.ts'
import { computePieceBytes, PreparationCheck } from './preparationCheck.ts'
import type { RelayContext } from './relayContext.ts'
import { RelayRun } from './relayRun.ts'
import type { RelayOutcome } from './relayRun.ts'
import { RequestArrivals } from './requestArrivals.ts'
import type { BodyResult } from './requestBody.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'

export interface RelayServerOptions {
  readonly context: Omit<RelayContext, 'refuse'>
  readonly callerProtocol: CallerProtocol
  /** What the requests of all callers may hold. */
  readonly memory: MemoryBudget
  /** At this number a new connection replaces one on which no request runs. */
  readonly maxConnections?: number
  /** How late the event loop is; without it requests count as read when they arrive. */
  readonly loopDelay?: Pick<LoopDelay, 'delayMs'>
  /** Further requests are refused once their bodies are complete. */
  readonly maxRunningRequests?: number
  /** Undefined until a configuration is available. */
  readonly getTable: () => RelayTable | undefined
  /** Number and age of the active configuration, for logs. */
  readonly describeConfiguration: () => string
  /** Returns why this node cannot accept requests now; undefined if it can. */
  readonly findReadinessError: () => PepperwoodError | undefined
  /** Estimates how long the node will stay unable to accept requests, in milliseconds. */
  readonly estimateReadinessDelayMs: () => number
}

/** A completed request, for logs and metrics. */
export interface CompletedRequest {
  readonly id: string
  readonly route: string
  readonly customer: string
  readonly elapsedMs: number
  readonly end: RelayOutcome
}

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
/** Limit of Node.js for the request head; the limit in the configuration is lower. */
const MAX_HEADER_BYTES = 64 * 1024
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const BODY_TIMEOUT_MS = 60_000
/** Period with which the HTTP server looks for heads and bodies that take too long. */
const TIMEOUT_CHECK_PERIOD_MS = 1000
/** Approximate memory of a request while it runs, besides its head and its body. */
const RUN_BYTES = 40 * 1024

export class RelayServer extends Disposable {
  private readonly _options: RelayServerOptions
  private readonly _context: RelayContext
  private readonly _server: Server
  private readonly _connections: CallerConnections
  private readonly _limiter: ConnectionLimiter
  private readonly _keyDigests = new KeyDigests()
  private readonly _onDidEnd = this._register(new Emitter<CompletedRequest>())
  readonly onDidEnd = this._onDidEnd.event
  private _activeCount = 0
  private _receivedCount = 0
  private _closedPipelineCount = 0
  private _isDraining = false
  /** When the requests in progress are abandoned, because this node is stopping. */
  private _abandonAt = Infinity
  private _isRefusingNew = false
  private _isRefusingWaiting = false
  private _isClosing = false
  private readonly _uploads: CallerUploads
  private readonly _preparationCheck: PreparationCheck
  private readonly _runs = new Set<RelayRun>()
  private readonly _arrivals: RequestArrivals
  /** Answers that are not written completely: those in progress, and those whose callers read slowly. */
  private readonly _openAnswers = new Map<CallerAnswer, MemoryLease>()

  constructor (options: RelayServerOptions) {
    super()
    this._options = options
    this._context = { ...options.context, refuse: (answer, refusal, requestId) => this._refuse(answer, refusal, requestId) }
    this._server = createServer({ ...STRICT_PARSING, maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: BODY_TIMEOUT_MS, connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS }, (request, response) => this._accept(request, response))
    this._preparationCheck = new PreparationCheck({ ...options.context, getTable: options.getTable })
    this._connections = new CallerConnections({
      server: this._server,
      memory: options.memory,
      isUnderPressure: () => this._isUnderPressure(),
      onDidFillPipeline: address => {
        this._closedPipelineCount++
        this._context.log.warn('pipeline_closed', { port: 'callers', caller: address })
      }
    })
    // A caller whose connection is replaced is answered where that is possible.
    this._limiter = new ConnectionLimiter({
      server: this._server,
      clock: this._context.clock,
      maxConnections: options.maxConnections ?? Infinity,
      refuseUpload: socket => this._uploads.abort(socket),
      onDidReplace: (address, idleMs) => this._context.log.warn('connection_replaced', { port: 'callers', caller: address, idle_ms: Math.round(idleMs) })
    })
    this._uploads = new CallerUploads({
      clock: this._context.clock,
      getMaxBodyBytes: () => this._options.getTable()?.limits?.maxBodyBytes || DEFAULT_MAX_BODY_BYTES,
      getIdleTimeoutMs: () => this._server.keepAliveTimeout,
      onDidProgress: socket => this._limiter.recordProgress(socket)
    })
    this._arrivals = new RequestArrivals({ server: this._server, clock: this._context.clock, loopDelay: options.loopDelay })
    this._server.on('connection', socket => socket.once('close', () => this._deleteFlushedAnswers()))
    this._server.on('clientError', (_error, socket) => { socket.destroy() })
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
    this.applyLimits(undefined)
  }

  /** Number of requests in progress. */
  get activeRequestCount (): number {
    return this._activeCount
  }

  /** Whether no request is in progress and all answers are written completely. */
  get isIdle (): boolean {
    return this._activeCount === 0 && this._openAnswers.size === 0
  }

  /** Number of requests received since the process started, refused ones included. */
  get receivedCount (): number {
    return this._receivedCount
  }

  /** Number of connections that were closed since too many requests arrived ahead of their answers. */
  get closedPipelineCount (): number {
    return this._closedPipelineCount
  }

  /** Number of connections that were closed in favour of others. */
  get replacedConnectionCount (): number {
    return this._limiter.replacedCount
  }

  /** Resolves with the port; port 0 selects a free one. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve((this._server.address() as AddressInfo).port))
    })
  }

  applyLimits (limits: CallerLimits | undefined): void {
    this._server.headersTimeout = limits?.headerTimeoutMs || DEFAULT_HEADER_TIMEOUT_MS
    this._server.keepAliveTimeout = limits?.idleTimeoutMs || DEFAULT_IDLE_TIMEOUT_MS
  }

  /**
   * Closes each connection after its next answer. New requests are still served, unless their answers are not expected before the
   * requests in progress are abandoned.
   */
  drain (abandonInMs = Infinity): void {
    this._isDraining = true
    this._abandonAt = this._context.clock.now() + abandonInMs
  }

  /** Refuses new requests, so that callers retry at another node: they would not complete before this node stops. */
  refuseNew (): void {
    this._isRefusingNew = true
  }

  /**
   * Sends nothing more for requests whose answers have not begun. Those that have not been sent yet are refused, uploads included,
   * so that callers retry at another node.
   */
  refuseWaiting (): void {
    this.refuseNew()
    this._isRefusingWaiting = true
    this._uploads.abortAll()
    for (const run of [...this._runs]) run.stopSending()
  }

  /** Ends the requests in progress before the process ends; the answers state whether the requests may have run. */
  abandonRequests (): void {
    for (const run of [...this._runs]) run.abandon()
  }

  /** Cuts the answers that are not written completely, so that they do not appear complete. */
  cutAnswers (): void {
    for (const answer of this._openAnswers.keys()) answer.cut()
  }

  /** Stops accepting connections and closes idle ones; all others close after the answer that is in progress. */
  close (): void {
    for (const answer of this._openAnswers.keys()) answer.closeAfterAnswer()
    // The HTTP server's own method also destroys connections whose answer is not written completely.
    NetServer.prototype.close.call(this._server)
    this._isClosing = true
    this._closeIdleConnections()
  }

  /** Does nothing while an answer has ended and is not written completely: the HTTP server considers its connection idle and would destroy it. */
  private _closeIdleConnections (): void {
    if (!this._isClosing || [...this._openAnswers.keys()].some(answer => answer.hasEnded && !answer.isFlushed)) return
    this._server.closeIdleConnections()
  }

  private get _maxRunningRequests (): number {
    return this._options.maxRunningRequests ?? Infinity
  }

  private _isUnderPressure (): boolean {
    return this._connections.activeCount >= this._maxRunningRequests / 2 || this._options.memory.isUnderPressure
  }

  private _accept (request: IncomingMessage, response: ServerResponse): void {
    const open = this._connections.accept(request, response)
    this._limiter.recordProgress(request.socket)
    if (open !== undefined) void this._handle(request, response, open)
  }

  private async _handle (request: IncomingMessage, response: ServerResponse, open: OpenRequest): Promise<void> {
    const arrivedAt = this._arrivals.estimateArrival(request.socket)
    const answer = new CallerAnswer(request, response)
    const memory = this._options.memory.open(this._options.callerProtocol.findRequestId(readHead(request)))
    if (this._isDraining) answer.closeAfterAnswer()
    this._openAnswers.set(answer, memory)
    this._activeCount++
    this._receivedCount++
    try {
      if (!memory.reserve(REQUEST_BYTES + countHeadBytes(readHead(request)))) this._refuse(answer, createOverloadRefusal(), memory.request)
      else if (await open.waitForTurn()) await this._process(request, answer, memory, arrivedAt)
    } catch (thrown) {
      this._context.log.error('internal', { reason: String(thrown) })
      this._answerError(request, answer)
    } finally {
      this._activeCount--
      open.end()
      answer.dispose()
      if (answer.isFlushed) this._deleteAnswer(answer)
      else this._retainUnsentAnswer(answer, memory, response)
    }
  }

  /** Answers a request whose handling has thrown; if that is not possible, its connection is closed. */
  private _answerError (incoming: IncomingMessage, answer: CallerAnswer): void {
    try {
      const error = new PepperwoodError({ name: 'internal', message: 'an error in this node' })
      if (!answer.hasBegun) this._refuse(answer, { error, isNotRun: false }, this._options.callerProtocol.findRequestId(readHead(incoming)))
    } catch (thrown) {
      this._context.log.error('internal', { reason: String(thrown) })
    }
    answer.abort()
  }

  /** The bytes that the caller has not read stay in memory; without enough memory the answer is cut. */
  private _retainUnsentAnswer (answer: CallerAnswer, memory: MemoryLease, response: ServerResponse): void {
    response.once('finish', () => this._deleteAnswer(answer))
    memory.release(memory.heldBytes)
    // An answer without a connection waits for an earlier one.
    if (response.socket !== null) memory.setEviction(() => answer.cut())
    if (!memory.reserve(REQUEST_BYTES + response.writableLength)) answer.cut()
  }

  private _deleteAnswer (answer: CallerAnswer): void {
    this._openAnswers.get(answer)?.dispose()
    this._openAnswers.delete(answer)
    this._closeIdleConnections()
  }

  private _deleteFlushedAnswers (): void {
    for (const answer of [...this._openAnswers.keys()]) {
      if (!answer.isFlushed) continue
      answer.disconnect()
      this._deleteAnswer(answer)
    }
    this._closeIdleConnections()
  }

  private async _process (incoming: IncomingMessage, answer: CallerAnswer, memory: MemoryLease, arrivedAt: number): Promise<void> {
    const head = readHead(incoming)
    const admission = this._options.callerProtocol.readRequest(head)
      .mapLeft(error => ({ error, isNotRun: false }))
      .chain(request => this._admit(request))
      .chain(admitted => toEither(this._preparationCheck.findRefusal(admitted, arrivedAt), admitted))
    if (admission.isLeft()) return this._refuse(answer, admission.extract() as RelayRefusal, this._options.callerProtocol.findRequestId(head))
    const admitted = admission.unsafeCoerce()
    memory.customer = admitted.customer
    const deadlineAt = arrivedAt + Math.min(admitted.route.timeoutMs, admitted.request.timeLeftMs ?? Infinity)
    const result = await this._uploads.read(incoming, memory, deadlineAt - this._context.clock.now())
    const refusal = this._refuseAfterUpload(admitted, arrivedAt, result, memory)
    if (result.kind !== 'complete' || refusal !== undefined) {
      if (refusal !== undefined && !answer.hasDisconnected) this._refuse(answer, refusal, admitted.request.id)
      return
    }
    const run = new RelayRun(this._context, { ...admitted, body: result.body, answer, arrivedAt })
    const { socket } = incoming
    this._runs.add(run)
    this._limiter.beginRequest(socket)
    try {
      this._reportEnd(admitted, await run.run(), this._context.clock.now() - arrivedAt)
    } finally {
      this._runs.delete(run)
      this._limiter.endRequest(socket)
    }
  }

  /** Decides whether a request whose upload has ended is refused; nothing of it was sent to an upstream. */
  private _refuseAfterUpload (admitted: AdmittedRequest, arrivedAt: number, { kind }: BodyResult, memory: MemoryLease): RelayRefusal | undefined {
    if (this._isRefusingWaiting || this._isTooLate(admitted, arrivedAt)) return createDrainingRefusal()
    const uploadRefusal = createUploadRefusal(kind)
    if (uploadRefusal !== undefined) return uploadRefusal
    if (this._runs.size >= this._maxRunningRequests) return createOverloadRefusal('as many requests run at this node as may')
    return memory.reserve(RUN_BYTES + computePieceBytes(admitted)) ? undefined : createOverloadRefusal()
  }

  /** Whether the time that is left for requests is shorter than the route's goal and than the time for which the caller waits. */
  private _isTooLate ({ route, request }: Pick<AdmittedRequest, 'route' | 'request'>, arrivedAt: number): boolean {
    const now = this._context.clock.now()
    return this._abandonAt < Math.min(now + route.goalMs, arrivedAt + (request.timeLeftMs ?? Infinity))
  }

  private _reportEnd (admitted: AdmittedRequest, outcome: RelayOutcome, elapsedMs: number): void {
    const { request, route, customer } = admitted
    this._onDidEnd.fire({ id: request.id, route: route.name, customer: customer ?? '', elapsedMs, end: outcome })
  }

  private _admit (request: RelayRequest): Either<RelayRefusal, AdmittedRequest> {
    const readinessError = this._options.findReadinessError()
    const table = this._options.getTable()
    if (this._isRefusingNew) return Left(createDrainingRefusal())
    if (readinessError !== undefined) return Left({ error: readinessError, isNotRun: true, retryAfterMs: this._options.estimateReadinessDelayMs() })
    if (table === undefined) return Left(createRefusal('gateNotReady', 'no configuration is known yet', true))
    const route = table.findRoute(request.host, getPath(request.target))
    if (route === undefined) return Left(createRefusal('routeUnknown', 'no route has this host and path', false, request.host))
    if (this._isTooLate({ route, request }, this._context.clock.now())) return Left(createDrainingRefusal())
    const { regions } = this._context
    if (route.isPublic || !table.requiresKeys) return Right({ request, route, customer: undefined, priority: route.priority, homeHalls: regions?.listHomeHalls(route.homeRegions) })
    const customer = request.key === undefined ? undefined : table.findCustomer(this._keyDigests.digest(request.key))
    if (customer === undefined) return Left(createRefusal('keyWrong', 'no customer has this key', false))
    return Right({ request, route, customer: customer.name, priority: customer.priority * CUSTOMER_PRIORITY_WEIGHT + route.priority, homeHalls: regions?.listHomeHalls(route.homeRegions, customer.homeRegions) })
  }

  private _refuse (answer: CallerAnswer, refusal: RelayRefusal, requestId: string): void {
    const { status, headers, body } = this._options.callerProtocol.createAnswer(refusal)
    const { error, isNotRun, retryAfterMs = 0 } = refusal
    this._context.log.warn('request_refused', {
      request: requestId,
      code: error.code,
      result: error.resultName,
      reason: error.message,
      place: error.place,
      not_run: isNotRun,
      retry_after_ms: Math.round(retryAfterMs),
      configuration: this._options.describeConfiguration()
    })
    answer.send({ status, headers, body: Buffer.from(body) })
  }
}

type AdmittedRequest = Pick<AcceptedRequest, 'request' | 'route' | 'customer' | 'priority' | 'homeHalls'>

/** Weight of a customer's priority, which takes precedence over a route's priority as long as that is lower than this. */
const CUSTOMER_PRIORITY_WEIGHT = 10

function toEither<T> (refusal: RelayRefusal | undefined, admitted: T): Either<RelayRefusal, T> {
  return refusal === undefined ? Right(admitted) : Left(refusal)
}

function readHead ({ method = 'GET', url = '/', headers, rawHeaders }: IncomingMessage): MessageHead {
  return { method, target: url, headers, rawHeaders }
}

/** Parsed and unparsed copies of the head. */
function countHeadBytes ({ target, rawHeaders }: MessageHead): number {
  return 2 * rawHeaders.reduce((sum, { length }) => sum + length, target.length)
}
