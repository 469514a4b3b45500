/**
 * Takes callers' HTTP requests: finds the route and the customer, reads the body, and hands each to a run.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { CallerLimits } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { hashSha256 } from '../../../base/node/digest.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { ELSEWHERE_RETRY_MS } from '../common/relayProtocol.ts'
import type { CallerProtocol, RelayRefusal } from '../common/relayProtocol.ts'
import { getPath } from '../common/relayRequest.ts'
import type { RelayRequest } from '../common/relayRequest.ts'
import type { RelayTable } from '../common/relayTable.ts'
import { CallerAnswer } from './callerAnswer.ts'
import type { RelayContext } from './relayContext.ts'
import { RelayRun } from './relayRun.ts'
import type { RelayEnd } from './relayRun.ts'
import type { TakenRequest } from './takenRequest.ts'

export interface RelayServerOptions {
  readonly context: Omit<RelayContext, 'refuse'>
  readonly callerProtocol: CallerProtocol
  /** Undefined until a configuration is known. */
  readonly getTable: () => RelayTable | undefined
  /** Number and age of the configuration in force, for logs. */
  readonly describeConfiguration: () => string
  /** Why no request may be taken now. */
  readonly findObstacle: () => PepperwoodError | undefined
  /** How long it may take until that is over, in milliseconds. */
  readonly estimateObstacleMs: () => number
}

/** A request that ended, for logs and metrics. */
export interface EndedRequest {
  readonly id: string
  readonly route: string
  readonly customer: string
  readonly elapsedMs: number
  readonly end: RelayEnd
}

/** Callers whose keys do not fit are told so once the configuration is known; a start ends within this, as a rule. */
const NOT_READY_RETRY_MS = 250
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
/** The most that Node.js reads of a head; the configuration's limit lies below. */
const MAX_HEADER_BYTES = 64 * 1024
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const DEFAULT_IDLE_TIMEOUT_MS = 15_000
const BODY_TIMEOUT_MS = 60_000
const DIGESTS_KEPT = 1000

export class RelayServer extends Disposable {
  private readonly _options: RelayServerOptions
  private readonly _context: RelayContext
  private readonly _server: Server
  private readonly _digests = new Map<string, string>()
  private readonly _onDidEnd = this._register(new Emitter<EndedRequest>())
  readonly onDidEnd = this._onDidEnd.event
  private _openCount = 0
  private _takenCount = 0
  private _isDraining = false
  private _isRefusing = false
  private readonly _runs = new Set<RelayRun>()

  constructor (options: RelayServerOptions) {
    super()
    this._options = options
    this._context = { ...options.context, refuse: (answer, refusal, requestId) => this._refuse(answer, refusal, requestId) }
    this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: BODY_TIMEOUT_MS }, (request, response) => { void this._handle(request, response) })
    this._server.on('clientError', (_error, socket) => { socket.destroy() })
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
    this.applyLimits(undefined)
  }

  /** Requests in progress. */
  get openCount (): number {
    return this._openCount
  }

  /** Requests taken since the start. */
  get takenCount (): number {
    return this._takenCount
  }

  /** Resolves with the port, which is a free one where 0 was asked for. */
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

  /** Connections end with the answer that they carry; requests that still come are served. */
  drain (): void {
    this._isDraining = true
  }

  /** Requests that still come are told to go elsewhere: they would not end before this node does. */
  refuseNew (): void {
    this._isRefusing = true
  }

  /** Requests that were not sent yet are told to go elsewhere. */
  giveUpWaiting (): void {
    for (const run of [...this._runs]) run.giveUpWaiting()
  }

  /** No connection is accepted any more, and idle ones are closed. */
  close (): void {
    this._server.close()
    this._server.closeIdleConnections()
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = new CallerAnswer(request, response)
    if (this._isDraining) answer.closeAfterwards()
    this._openCount++
    this._takenCount++
    try {
      await this._take(request, answer)
    } catch (thrown) {
      this._context.log.error('internal', { reason: String(thrown) })
      answer.cut()
    } finally {
      this._openCount--
      answer.dispose()
    }
  }

  private async _take (incoming: IncomingMessage, answer: CallerAnswer): Promise<void> {
    const arrivedAt = this._context.clock.now()
    const head = { method: incoming.method ?? 'GET', target: incoming.url ?? '/', headers: incoming.headers, rawHeaders: incoming.rawHeaders }
    const taken = this._options.callerProtocol.readRequest(head)
      .mapLeft(error => ({ error, isNotRun: false }))
      .chain(request => this._admit(request))
    if (taken.isLeft()) return this._refuse(answer, taken.extract() as RelayRefusal, this._options.callerProtocol.findRequestId(head))
    const admitted = taken.unsafeCoerce()
    const body = await this._readBody(incoming)
    if (body === undefined) {
      if (!answer.hasLeft) this._refuse(answer, createRefusal('requestTooLarge', 'the body is too large or was cut off', false), admitted.request.id)
      return
    }
    const run = new RelayRun(this._context, { ...admitted, body, answer, arrivedAt })
    this._runs.add(run)
    try {
      this._report(admitted, await run.run(), this._context.clock.now() - arrivedAt)
    } finally {
      this._runs.delete(run)
    }
  }

  private _report (admitted: AdmittedRequest, end: RelayEnd, elapsedMs: number): void {
    const { request, route, customer } = admitted
    this._onDidEnd.fire({ id: request.id, route: route.name, customer: customer ?? '', elapsedMs, end })
  }

  private _admit (request: RelayRequest): Either<RelayRefusal, AdmittedRequest> {
    const obstacle = this._options.findObstacle()
    const table = this._options.getTable()
    if (this._isRefusing) return Left({ error: new PepperwoodError({ name: 'gateDraining', message: 'this node is stopping' }), isNotRun: true, retryAfterMs: ELSEWHERE_RETRY_MS })
    if (obstacle !== undefined) return Left({ error: obstacle, isNotRun: true, retryAfterMs: this._options.estimateObstacleMs() })
    if (table === undefined) return Left(createRefusal('gateNotReady', 'no configuration is known yet', true))
    const route = table.findRoute(request.host, getPath(request.target))
    if (route === undefined) return Left(createRefusal('routeUnknown', 'no route has this host and path', false, request.host))
    const { regions } = this._context
    if (route.isPublic || !table.needsKeys) return Right({ request, route, customer: undefined, priority: route.priority, homeHalls: regions?.listHomeHalls(route.homeRegions) })
    const customer = request.key === undefined ? undefined : table.findCustomer(this._digestKey(request.key))
    if (customer === undefined) return Left(createRefusal('keyWrong', 'no customer has this key', false))
    return Right({ request, route, customer: customer.name, priority: customer.priority * PRIORITY_STEP + route.priority, homeHalls: regions?.listHomeHalls(route.homeRegions, customer.homeRegions) })
  }

  /** Keys come back with every request, so their digests are kept for a while. */
  private _digestKey (key: string): string {
    const known = this._digests.get(key)
    if (known !== undefined) return known
    if (this._digests.size >= DIGESTS_KEPT) this._digests.clear()
    const digest = hashSha256(key)
    this._digests.set(key, digest)
    return digest
  }

  private async _readBody (incoming: IncomingMessage): Promise<Buffer | undefined> {
    const maxBytes = this._options.getTable()?.limits?.maxBodyBytes || DEFAULT_MAX_BODY_BYTES
    if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) return undefined
    const parts: Buffer[] = []
    let size = 0
    try {
      for await (const part of incoming as AsyncIterable<Buffer>) {
        size += part.length
        if (size > maxBytes) return undefined
        parts.push(part)
      }
    } catch {
      return undefined
    }
    return incoming.complete ? Buffer.concat(parts) : undefined
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
    answer.send({ status, headers, body: Buffer.from(body), isFramed: true })
  }
}

type AdmittedRequest = Pick<TakenRequest, 'request' | 'route' | 'customer' | 'priority' | 'homeHalls'>

/** A customer's priority goes before that of any route. */
const PRIORITY_STEP = 10

function createRefusal (name: 'gateNotReady' | 'routeUnknown' | 'keyWrong' | 'requestTooLarge', message: string, isNotRun: boolean, value = ''): RelayRefusal {
  return { error: new PepperwoodError({ name, message, value }), isNotRun, retryAfterMs: isNotRun ? NOT_READY_RETRY_MS : undefined }
}
