/**
 * One upstream of the stand-in: an engine or a service with an HTTP interface and fault injection.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { parseAddress } from '../base/common/address.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import type { IRandom } from '../base/common/random.ts'
import { startInterval } from '../base/node/interval.ts'
import { BatchingEngine } from './batchingEngine.ts'
import type { ExportedGeneration, Generation, GenerationListener } from './batchingEngine.ts'
import { NO_FAULTS } from './faults.ts'
import type { Faults } from './faults.ts'
import { readJson, sendJson, sendTruncated } from './httpJson.ts'
import { computeServiceOutput, readMarker } from './modelAnswers.ts'
import type { RunLedger } from './runLedger.ts'
import type { StandinUpstreamSettings } from './standinSettings.ts'

/** The fields of a call's body that the stand-in uses. */
interface CallBody {
  readonly attempt: string
  readonly request: string
  readonly role: string
  readonly model: string
  readonly input: string
  readonly previous: string
  readonly prefixKey: string
  readonly priority: number
  readonly offset: number
}

/** The load at one moment; kept so that reports can lag behind the actual load. */
interface LoadSnapshot {
  readonly recordedAt: number
  readonly running: number
  readonly queued: number
  readonly prefixes: readonly string[]
}

const SNAPSHOT_PERIOD_MS = 50
const MAX_SNAPSHOTS = 400
/** Time for all gates to learn that an upstream is leaving; calls that arrive later are counted. */
const LEAVING_GRACE_MS = 2000

export class StandinUpstreamServer extends Disposable {
  private readonly _settings: StandinUpstreamSettings
  private readonly _engine: BatchingEngine
  private readonly _random: IRandom
  private readonly _ledger: RunLedger
  private _server: Server | undefined
  private _faults: Faults = NO_FAULTS
  private _instanceNumber = Date.now()
  private _reportCount = 0
  private _runningServiceCalls = 0
  private readonly _queuedServiceCalls: (() => void)[] = []
  private _serviceBusyMs = 0
  private _models: readonly string[]
  private _fencingNumber = 0
  private _staleOrderCount = 0
  /** When the upstream began to report that it is leaving; undefined if it is not leaving. */
  private _leavingStartedAt: number | undefined
  private _callsAfterLeavingCount = 0
  private _snapshots: readonly LoadSnapshot[] = []
  private readonly _unreportedPrefixes = new Set<string>()

  constructor (settings: StandinUpstreamSettings, random: IRandom, ledger: RunLedger) {
    super()
    this._settings = settings
    this._random = random
    this._ledger = ledger
    this._engine = new BatchingEngine(settings)
    this._models = settings.models
    this._register(startInterval(SNAPSHOT_PERIOD_MS, () => this._recordSnapshot()))
    this._register(toDisposable(() => this._close()))
  }

  get name (): string {
    return this._settings.name
  }

  listen (): Promise<void> {
    const address = parseAddress(this._settings.listen)
    const server = createServer((request, response) => { void this._handle(request, response) })
    server.keepAliveTimeout = 30_000
    this._server = server
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(address?.port, address?.host, resolve)
    })
  }

  /** Replaces the current faults. Ending `dead` starts a new instance with a higher instance number. */
  async setFaults (faults: Faults): Promise<void> {
    const wasDead = this._faults.dead
    this._faults = faults
    this._engine.setSlowFactor(faults.slow)
    const isLeaving = faults.leaving || faults.leaving_quietly
    this._leavingStartedAt = isLeaving ? this._leavingStartedAt ?? performance.now() : undefined
    if (faults.dead && !wasDead) this._stopAbruptly()
    if (!faults.dead && wasDead) {
      this._instanceNumber = Math.max(Date.now(), this._instanceNumber + 1)
      await this.listen()
    }
  }

  /** Returns the state and counts for the control server. */
  describe (): object {
    const { name, role, kind } = this._settings
    return { name, role, kind, boot: this._instanceNumber, busyMs: this._engine.busyMs + this._serviceBusyMs, models: this._models, fencing: this._fencingNumber, staleOrders: this._staleOrderCount, callsAfterLeaving: this._callsAfterLeavingCount, prefix: this._engine.prefixCounts }
  }

  /** Simulates a crash: closes all connections, discards calls, generations and the cache, and resets the fencing number. */
  private _stopAbruptly (): void {
    this._close()
    this._engine.clear()
    this._runningServiceCalls = 0
    this._queuedServiceCalls.length = 0
    this._fencingNumber = 0
  }

  private _close (): void {
    this._server?.close()
    this._server?.closeAllConnections()
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? ''
    if (path === '/v1/load') return sendJson(response, 200, this._createReport())
    const body = await readJson(request) as CallBody | undefined
    if (body === undefined) return sendJson(response, 400, { attempt: '', error: 'REFUSED', ran: false })
    if (path === '/v1/run' || path === '/v1/generate') return this._acceptCall(body, path, response)
    if (path === '/v1/resume') return this._resume(body, response)
    if (path === '/v1/kv/export') return this._exportState(body, response)
    if (path === '/v1/kv/import') return this._importState(body as unknown as ExportedGeneration, response)
    if (path === '/v1/cancel') return this._cancel(body, response)
    if (path === '/v1/orders') return this._applyOrder(body as unknown as OrderBody, response)
    sendJson(response, 404, { attempt: body.attempt, error: 'REFUSED', ran: false })
  }

  private _acceptCall (body: CallBody, path: string, response: ServerResponse): void {
    if (this._leavingStartedAt !== undefined && performance.now() - this._leavingStartedAt > LEAVING_GRACE_MS) this._callsAfterLeavingCount++
    const refusal = this._findRefusal(body)
    if (refusal !== undefined) {
      return sendJson(response, 503, { attempt: body.attempt, error: refusal, ran: false, boot: this._instanceNumber })
    }
    this._ledger.record({ role: this._settings.role, request: body.request, marker: readMarker(body.input), upstream: this._settings.name, attempt: body.attempt })
    if (this._draw(this._faults.hang)) return
    if (path === '/v1/generate') this._generate(body, response)
    else this._runService(body, response)
  }

  private _findRefusal (body: CallBody): string | undefined {
    if (this._faults.leaving) return 'LEAVING'
    if (this._draw(this._faults.refuse)) return 'REFUSED'
    const needsModel = this._settings.kind === 'engine' && body.model !== ''
    if (needsModel && !this._models.some(model => model === body.model || model.startsWith(`${body.model}@`))) return 'REFUSED'
    const isServiceFull = this._runningServiceCalls >= this._settings.capacity && this._queuedServiceCalls.length >= this._settings.max_queue
    return this._engine.isFull || isServiceFull ? 'BUSY' : undefined
  }

  private _runService (body: CallBody, response: ServerResponse): void {
    const startCall = () => {
      this._runningServiceCalls++
      const startedAt = performance.now()
      setTimeout(() => {
        const busyMs = performance.now() - startedAt
        this._serviceBusyMs += busyMs
        this._runningServiceCalls = Math.max(0, this._runningServiceCalls - 1)
        this._queuedServiceCalls.shift()?.()
        this._answerService(body, response, busyMs)
      }, this._settings.base_ms * this._faults.slow)
    }
    if (this._runningServiceCalls < this._settings.capacity) startCall()
    else this._queuedServiceCalls.push(startCall)
  }

  private _answerService (body: CallBody, response: ServerResponse, busyMs: number): void {
    if (this._draw(this._faults.fail)) return sendJson(response, 500, { attempt: body.attempt, error: 'FAILED', ran: true, busyMs })
    const attempt = this._draw(this._faults.wrong_id) ? `${body.attempt}-other` : body.attempt
    const answer = { attempt, output: computeServiceOutput(this._settings.role, body.input, body.previous), busyMs }
    if (this._draw(this._faults.drop)) sendTruncated(response, answer, this._faults.drop_after_bytes)
    else sendJson(response, 200, answer)
  }

  private _generate (body: CallBody, response: ServerResponse): void {
    const dropAfterBytes = this._draw(this._faults.drop) ? this._faults.drop_after_bytes : Infinity
    const failAtToken = this._draw(this._faults.fail) ? 2 : -1
    const attempt = this._draw(this._faults.wrong_id) ? `${body.attempt}-other` : body.attempt
    const generation = this._engine.start({ ...body, role: this._settings.role }, this._createListener(attempt, response, dropAfterBytes, failAtToken))
    this._openStream(response, generation)
  }

  private _resume (body: CallBody, response: ServerResponse): void {
    const generation = this._engine.find(body.attempt)
    if (generation === undefined) return sendJson(response, 404, { attempt: body.attempt, error: 'UNKNOWN_ATTEMPT', ran: false, boot: this._instanceNumber })
    this._openStream(response, generation)
    this._engine.attach(generation, body.offset, this._createListener(body.attempt, response, Infinity, -1))
  }

  private _exportState (body: CallBody, response: ServerResponse): void {
    const state = this._engine.exportState(body.attempt)
    if (state === undefined) return sendJson(response, 404, { attempt: body.attempt, error: 'UNKNOWN_ATTEMPT', ran: false, boot: this._instanceNumber })
    sendJson(response, 200, state)
  }

  private _importState (state: ExportedGeneration, response: ServerResponse): void {
    if (this._engine.isFull || this._faults.leaving) {
      return sendJson(response, 503, { attempt: state.attempt, error: this._faults.leaving ? 'LEAVING' : 'BUSY', ran: false, boot: this._instanceNumber })
    }
    this._openStream(response, this._engine.importState(state, this._createListener(state.attempt, response, Infinity, -1)))
  }

  private _openStream (response: ServerResponse, generation: Generation): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    response.on('close', () => { if (!generation.hasEnded) this._engine.detach(generation) })
  }

  private _createListener (attempt: string, response: ServerResponse, dropAfterBytes: number, failAtToken: number): GenerationListener {
    let producedTokens = 0
    let sentBytes = 0
    return {
      onToken: (index, text) => {
        const event = `event: token\ndata: ${JSON.stringify({ attempt, index, text })}\n\n`
        sentBytes += Buffer.byteLength(event)
        if (sentBytes > dropAfterBytes) response.socket?.destroy()
        else if (producedTokens++ === failAtToken) response.end(`event: error\ndata: ${JSON.stringify({ attempt, error: 'FAILED', ran: true })}\n\n`)
        else if (!response.writableEnded) response.write(event)
      },
      onEnd: generation => {
        const end = { attempt, count: generation.tokenCount, busyMs: generation.busyMs, cachedTokens: generation.cachedTokens }
        if (!response.writableEnded) response.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`)
      }
    }
  }

  private _cancel (body: CallBody, response: ServerResponse): void {
    const generation = this._engine.find(body.attempt)
    if (generation !== undefined) this._engine.cancel(generation)
    sendJson(response, 200, { attempt: body.attempt, cancelled: generation !== undefined })
  }

  private _applyOrder (body: OrderBody, response: ServerResponse): void {
    const isStale = body.fencing <= this._fencingNumber
    if (isStale) this._staleOrderCount++
    const isRefused = isStale && this._settings.checks_fencing
    if (!isRefused) {
      this._fencingNumber = body.fencing
      setTimeout(() => { this._models = body.models }, this._settings.load_ms)
    }
    sendJson(response, 200, { accepted: !isRefused, fencing: this._fencingNumber })
  }

  private _recordSnapshot (): void {
    for (const prefix of this._engine.cachedPrefixes) {
      if (!this._unreportedPrefixes.has(prefix) && this._draw(this._faults.lose_events)) this._unreportedPrefixes.add(prefix)
    }
    const snapshot: LoadSnapshot = {
      recordedAt: performance.now(),
      running: this._engine.runningCount + this._runningServiceCalls,
      queued: this._engine.queuedCount + this._queuedServiceCalls.length,
      prefixes: this._engine.cachedPrefixes.filter(prefix => !this._unreportedPrefixes.has(prefix))
    }
    this._snapshots = [...this._snapshots.slice(1 - MAX_SNAPSHOTS), snapshot]
  }

  private _createReport (): object {
    const lagMs = this._faults.report_lag_ms ?? this._settings.report_lag_ms
    const reportedAt = performance.now() - lagMs
    const reported = this._snapshots.findLast(snapshot => snapshot.recordedAt <= reportedAt)
    return {
      boot: this._instanceNumber,
      report: ++this._reportCount,
      running: reported?.running ?? 0,
      queued: reported?.queued ?? 0,
      capacity: this._settings.capacity,
      leaving: this._faults.leaving || this._faults.leaving_quietly,
      models: this._models,
      fencing: this._fencingNumber,
      prefixes: reported?.prefixes ?? []
    }
  }

  private _draw (share: number): boolean {
    return share > 0 && this._random.next() < share
  }
}

interface OrderBody {
  readonly fencing: number
  readonly models: readonly string[]
}
