/**
 * Test harness: a relay with upstreams that answer with given bytes and callers that record every byte they receive.
 */
import { connect, createServer } from 'node:net'
import type { IQuotaService } from '../../quota/common/quota.ts'
import type { ProbeResult } from '../../quarantine/node/upstreamProbe.ts'
import type { AddressInfo, Socket } from 'node:net'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { Disposable, DisposableStore, toDisposable } from '../../../base/common/disposable.ts'
import type { Event } from '../../../base/common/event.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { NodeStatements } from '../../../entryNode/nodeStatements.ts'
import { RelaySchema, RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { RouteSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { AlwaysHealthyTracker } from '../../health/common/healthTracker.ts'
import { HallRegions } from '../../locate/common/hallRegions.ts'
import { LogService } from '../../log/node/logger.ts'
import { MemoryBudget } from '../../ingress/common/memoryBudget.ts'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import { ReleaseDelay } from '../../preparation/common/releaseDelay.ts'
import { CoordinatorLinks } from '../../preparation/node/coordinatorLinks.ts'
import { StatedLimits } from '../../quota/common/rateLimitSource.ts'
import { QuotaOwner } from '../../quota/common/quotaOwner.ts'
import { QuotaService } from '../../quota/node/quotaService.ts'
import { RateLimitService } from '../../quota/node/rateLimitService.ts'
import { QuarantineService } from '../../quarantine/node/quarantineService.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { AbandonedArrivals } from '../../retry/common/abandonedArrivals.ts'
import { RetryBudget } from '../../retry/common/retryPolicy.ts'
import type { RetryPolicy } from '../../retry/common/retryPolicy.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamStatement } from '../../upstream/common/upstreamStatement.ts'
import { CallAgent } from '../../upstream/node/callAgent.ts'
import { CallerProtocol, UpstreamProtocol } from '../common/relayProtocol.ts'
import type { AnswerHead, AnswerVerdict, MessageHead, RefusalAnswer, RelayCall, RelayRefusal } from '../common/relayProtocol.ts'
import { PreparationThrottle } from '../common/preparationThrottle.ts'
import { RelayPool } from '../common/relayPool.ts'
import type { HeaderField, RelayRequest } from '../common/relayRequest.ts'
import { RoundRobinRouter } from '../common/relayRouter.ts'
import { RelayTable } from '../common/relayTable.ts'
import { RelayServer } from '../node/relayServer.ts'
import type { CompletedRequest } from '../node/relayServer.ts'

/** Requests have the headers id and, optionally, key, time, pieces and parts of the prompt; the rest is plain HTTP. */
export class FakeCallerProtocol extends CallerProtocol {
  readRequest ({ method, target, headers }: MessageHead): Either<PepperwoodError, RelayRequest> {
    const id = headers.id
    if (typeof id !== 'string') return Left(new PepperwoodError({ name: 'requestInvalid', message: 'expected an id' }))
    return Right({
      id,
      method,
      target,
      host: 'h',
      key: typeof headers.key === 'string' ? headers.key : undefined,
      timeLeftMs: typeof headers.time === 'string' ? Number(headers.time) : undefined,
      prompt: typeof headers.parts === 'string' ? { model: 'm', inputTokens: 10, maxOutputTokens: 10, parts: headers.parts.split(',').map(part => ({ id: part, tokens: 5 })) } : undefined,
      preparation: typeof headers.pieces === 'string' ? { pieceCounts: headers.pieces.split(',').map(Number), key: 'k' } : undefined,
      lastEventId: undefined,
      headers: []
    })
  }

  findRequestId ({ headers }: MessageHead): string {
    return typeof headers.id === 'string' ? headers.id : ''
  }

  createAnswer ({ error, isNotRun }: RelayRefusal): RefusalAnswer {
    return { status: isNotRun ? 503 : 502, headers: [], body: error.resultName }
  }
}

/** An answer must repeat the id; the header `unrun` states that the request was not run. */
export class FakeUpstreamProtocol extends UpstreamProtocol {
  createHeaders ({ request, upstream, inputs, lastEventId, bodyBytes }: RelayCall): readonly HeaderField[] {
    return [
      { name: 'Host', value: upstream.address },
      { name: 'Id', value: request.id },
      { name: 'Inputs', value: inputs.join(',') },
      ...request.prompt === undefined ? [] : [{ name: 'Parts', value: request.prompt.parts.map(part => part.id).join() }],
      ...lastEventId === undefined ? [] : [{ name: 'Last-Event-Id', value: lastEventId }],
      { name: 'Content-Length', value: String(bodyBytes) }
    ]
  }

  readHead ({ status, headers }: AnswerHead, { request }: RelayCall): AnswerVerdict {
    if (headers.unrun !== undefined) return { kind: 'notRun', reason: headers.unrun === 'input' ? 'inputMissing' : headers.unrun === 'invalid' ? 'refused' : 'full', isIdentified: headers.id === request.id }
    if (headers.id !== request.id) return { kind: 'invalid', reason: 'answer to another request' }
    return { kind: 'answer', isSuccess: status === 200, headers: [{ name: 'Id', value: request.id }] }
  }

  readStatements ({ headers: { limit, unrun } }: AnswerHead): readonly UpstreamStatement[] {
    if (typeof limit !== 'string') return unrun === undefined ? [{ kind: 'rate', perS: undefined }] : []
    return [Number.isFinite(Number(limit)) ? { kind: 'rate', perS: Number(limit) } : { kind: 'invalid', name: 'limit', value: limit }]
  }
}

/** Handles a request whose head an upstream has read. */
export type UpstreamScript = (socket: Socket, head: string) => void

/**
 * Creates a script that sends bytes and then keeps, closes or resets the connection. After `resetAtOnce` the bytes and the reset are
 * seen in one poll of the event loop.
 */
export function answerWith (text: string, end: 'keep' | 'close' | 'reset' | 'resetAtOnce' = 'keep'): UpstreamScript {
  return socket => {
    socket.write(text, () => {
      if (end === 'close') socket.end()
      // Lets the bytes arrive before the reset.
      if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), 30)
      if (end === 'resetAtOnce') setImmediate(() => socket.resetAndDestroy())
    })
  }
}

export class FakeUpstream extends Disposable {
  readonly requestHeads: string[] = []
  closedCount = 0
  address = ''
  private readonly _running = this._register(new DisposableStore())

  constructor (private readonly _script: UpstreamScript) {
    super()
  }

  /** Simulates the end of the process: closes its connections and refuses new ones. */
  stop (): void {
    this._running.dispose()
  }

  listen (): Promise<string> {
    const server = createServer(socket => {
      let text = ''
      socket.on('error', () => {})
      socket.on('close', () => { this.closedCount++ })
      socket.on('data', data => {
        text += data.toString('latin1')
        if (!text.includes('\r\n\r\n')) return
        this.requestHeads.push(text)
        this._script(socket, text)
        text = ''
      })
      this._running.add(toDisposable(() => socket.destroy()))
    })
    this._running.add(toDisposable(() => { server.close() }))
    return new Promise(resolve => {
      server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
        resolve(this.address)
      })
    })
  }
}

/** Whether a caller considers the answer complete. */
export function isComplete ({ text, end }: ReceivedAnswer): boolean {
  return /^Transfer-Encoding: chunked\r$/im.test(text) ? text.endsWith('\r\n0\r\n\r\n') : end === 'closed'
}

/** All received bytes, and how the connection ended. */
export interface ReceivedAnswer {
  readonly text: string
  readonly end: 'closed' | 'reset'
}

export interface RelayHarnessOptions {
  readonly route?: MessageInitShape<typeof RouteSchema>
  readonly upstreams: readonly FakeUpstream[]
  readonly preparation?: IPreparationService
  readonly handlesContention?: boolean
  readonly retries?: number
  /** Replaces the budget of `retries`. */
  readonly retry?: RetryPolicy
  /** Fires when the node has the facts of its peers; by default it has none to wait for. */
  readonly onDidJoin?: Event<void>
  /** Probes an upstream after a lost connection; by default by a connection of its own. */
  readonly probe?: (address: string) => Promise<ProbeResult>
  /** Grants the sends to upstreams; by default a service without limits does. */
  readonly quota?: IQuotaService
  /** The facts that it shares with other nodes. */
  readonly facts?: FactStore
  readonly customers?: readonly { readonly name: string, readonly keySha256: string[], readonly homeRegions?: string[] }[]
  /** The hall of each upstream, in order; by default all are in one hall. */
  readonly halls?: readonly string[]
  readonly hallRegions?: Readonly<Record<string, string>>
  /** Opens the connections to upstreams; by default directly. */
  readonly agent?: CallAgent
  /** What the requests may hold together; by default there is no limit. */
  readonly maxHeldBytes?: number
  readonly maxRunningRequests?: number
  /** Protocols of callers and upstreams; by default the fake ones of this file. */
  readonly protocols?: { readonly caller: CallerProtocol, readonly upstream: UpstreamProtocol }
}

const FAILING_PREPARATION: IPreparationService = {
  prepare: () => Promise.resolve(Left({ reason: 'noUpstream', retryAfterMs: 0 }))
}

export class RelayHarness extends Disposable {
  readonly completedRequests: CompletedRequest[] = []
  /** Log lines, in order. */
  readonly logLines: string[] = []
  readonly registry = this._register(new UpstreamRegistry())
  readonly server: RelayServer
  private _port = 0
  private _upstreamCount = 0

  constructor (private readonly _options: RelayHarnessOptions) {
    super()
    const clock = new SystemClock()
    const agent = _options.agent ?? new CallAgent({ keepAlive: true })
    this._register(toDisposable(() => agent.destroy()))
    const log = new LogService({ program: 'test', silent: true })
    const facts = this._register(_options.facts ?? new FactStore(clock))
    log.onDidLog(({ line }) => this.logLines.push(line))
    const table = new RelayTable(create(RelaySchema, {
      routes: [{ name: 'r', host: 'h', pathPrefix: '/', kind: RouteKind.REPEATABLE, targets: [{ role: 'u', weight: 1 }], timeoutMs: 2000, goalMs: 500, maxAttempts: 2, ..._options.route }],
      roles: [{ name: 'u' }],
      customers: [..._options.customers ?? []]
    }))
    const quarantine = this._register(new QuarantineService({ clock, log, facts, registry: this.registry, node: 'n', incarnation: 1, onDidJoin: _options.onDidJoin, probe: _options.probe }))
    const limits = this._register(new RateLimitService({ clock, log, facts, node: 'n', incarnation: 1 }))
    const statements = this._register(new NodeStatements({ clock, log, random: new SeededRandom(2), facts, registry: this.registry, countNodes: () => 1, recordRateLimit: (upstream, perS) => limits.recordLimit(upstream, perS) }))
    const { backoffs, guard } = statements
    const stated = new StatedLimits({ findStatedPerS: upstream => limits.findLimit(upstream) })
    const links = this._register(new CoordinatorLinks({ clock, log }))
    const owner = new QuotaOwner({ clock, limits: stated, isOwner: () => true, takeoverDelayMs: 0 })
    const quota = _options.quota ?? this._register(new QuotaService({ clock, log, registry: this.registry, limits: stated, owner, links, findOwnerAddress: () => undefined, countNodes: () => 1 }))
    this.server = this._register(new RelayServer({
      context: {
        clock,
        random: new SeededRandom(1),
        log,
        hall: '',
        handlesContention: _options.handlesContention,
        regions: new HallRegions(_options.hallRegions),
        agent,
        upstreamProtocol: _options.protocols?.upstream ?? new FakeUpstreamProtocol(),
        registry: this.registry,
        pool: new RelayPool({ clock, registry: this.registry, router: new RoundRobinRouter(), createHealth: () => new AlwaysHealthyTracker(), countNodes: () => 1, hasTerminated: id => quarantine.hasCrashed(id), quota, backoffs }),
        guard,
        backoffs,
        recordStatements: stated => statements.recordStatements(stated),
        quota,
        abandonedArrivals: this._register(new AbandonedArrivals({ clock, registry: this.registry })),
        retry: _options.retry ?? new RetryBudget({ maxBalance: _options.retries ?? 10 }),
        throttle: new PreparationThrottle({ clock, random: new SeededRandom(1) }),
        preparation: _options.preparation ?? FAILING_PREPARATION,
        releaseDelay: new ReleaseDelay(),
        quarantine
      },
      memory: this._register(new MemoryBudget({ clock, maxBytes: _options.maxHeldBytes ?? Infinity })),
      maxRunningRequests: _options.maxRunningRequests,
      callerProtocol: _options.protocols?.caller ?? new FakeCallerProtocol(),
      getTable: () => table,
      describeConfiguration: () => '1.7 for 20 ms',
      findReadinessError: () => undefined,
      estimateReadinessDelayMs: () => 250
    }))
    this.server.onDidEnd(ended => this.completedRequests.push(ended))
  }

  /** Starts an upstream and registers it; resolves with its id. */
  async addUpstream (upstream: FakeUpstream): Promise<string> {
    const hall = this._options.halls?.[this._upstreamCount] ?? ''
    const id = `u${this._upstreamCount++}`
    this._register(upstream)
    this.registry.update({ id, role: 'u', address: await upstream.listen(), hall, slots: 4, isLeaving: false }, 'test')
    return id
  }

  async start (): Promise<void> {
    for (const upstream of this._options.upstreams) await this.addUpstream(upstream)
    this._port = await this.server.listen('127.0.0.1', 0)
  }

  /** The port that callers connect to. */
  get port (): number {
    return this._port
  }

  /** Sends one request on a separate connection; resolves with all received bytes and how the connection ended. */
  call (id: string, headers = '', leaveAfterMs = 0, httpVersion = '1.1'): Promise<ReceivedAnswer> {
    return this._exchange(`GET /x HTTP/${httpVersion}\r\nHost: h\r\nId: ${id}\r\n${headers}Connection: close\r\n\r\n`, leaveAfterMs)
  }

  /** Like `call`, with a request body. */
  submit (id: string, body: string, headers = ''): Promise<ReceivedAnswer> {
    return this._exchange(`POST /x HTTP/1.1\r\nHost: h\r\nId: ${id}\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`)
  }

  private _exchange (sent: string, leaveAfterMs = 0): Promise<ReceivedAnswer> {
    return new Promise(resolve => {
      const socket = connect(this._port, '127.0.0.1')
      let text = ''
      let end: 'closed' | 'reset' = 'closed'
      socket.on('data', data => { text += data.toString('latin1') })
      socket.on('error', () => { end = 'reset' })
      socket.on('close', () => resolve({ text, end }))
      socket.write(sent)
      if (leaveAfterMs > 0) setTimeout(() => socket.destroy(), leaveAfterMs)
    })
  }
}
