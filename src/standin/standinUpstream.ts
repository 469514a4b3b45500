/**
 * One upstream of the stand-in: an engine or a plain service behind HTTP, with its fault switches.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { parseAddress } from '../base/common/address.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import type { IRandom } from '../base/common/random.ts'
import { startInterval } from '../base/node/interval.ts'
import { BatchingEngine } from './batchingEngine.ts'
import type { ExportedGeneration, Generation, GenerationReader } from './batchingEngine.ts'
import { NO_FAULTS } from './faults.ts'
import type { Faults } from './faults.ts'
import { readJson, sendJson, sendTorn } from './httpJson.ts'
import { computeServiceOutput, readMarker } from './modelAnswers.ts'
import type { RunLedger } from './runLedger.ts'
import type { StandinUpstream } from './standinSettings.ts'

/** The body of a call; fields that the stand-in does not need are skipped. */
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

interface LoadSnapshot {
  readonly at: number
  readonly running: number
  readonly queued: number
  readonly prefixes: readonly string[]
}

const SNAPSHOT_PERIOD_MS = 50
const MAX_SNAPSHOTS = 400
/** Everyone should know of a leaving upstream after this. */
const LEAVING_GRACE_MS = 2000

export class StandinUpstreamServer extends Disposable {
  private readonly _settings: StandinUpstream
  private readonly _engine: BatchingEngine
  private readonly _random: IRandom
  private readonly _ledger: RunLedger
  private _server: Server | undefined
  private _faults: Faults = NO_FAULTS
  private _boot = Date.now()
  private _report = 0
  private _serviceRunning = 0
  private readonly _serviceWaiting: (() => void)[] = []
  private _serviceBusyMs = 0
  private _models: readonly string[]
  private _fencing = 0
  private _staleOrders = 0
  /** Since when it has said that it is leaving; undefined while it stays. */
  private _leavingSince: number | undefined
  private _callsAfterLeaving = 0
  private _snapshots: readonly LoadSnapshot[] = []
  private readonly _lostPrefixes = new Set<string>()

  constructor (settings: StandinUpstream, random: IRandom, ledger: RunLedger) {
    super()
    this._settings = settings
    this._random = random
    this._ledger = ledger
    this._engine = new BatchingEngine(settings)
    this._models = settings.models
    this._register(startInterval(SNAPSHOT_PERIOD_MS, () => this._takeSnapshot()))
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

  /** Switches faults; what is not named goes back to none. */
  async setFaults (faults: Faults): Promise<void> {
    const wasDead = this._faults.dead
    this._faults = faults
    this._engine.setSlow(faults.slow)
    const isLeaving = faults.leaving || faults.leaving_quietly
    this._leavingSince = isLeaving ? this._leavingSince ?? performance.now() : undefined
    if (faults.dead && !wasDead) this._die()
    if (!faults.dead && wasDead) {
      this._boot = Math.max(Date.now(), this._boot + 1)
      await this.listen()
    }
  }

  /** What the stand-in counted, for checks. */
  describe (): object {
    const { name, role, kind } = this._settings
    return { name, role, kind, boot: this._boot, busyMs: this._engine.busyMs + this._serviceBusyMs, models: this._models, fencing: this._fencing, staleOrders: this._staleOrders, callsAfterLeaving: this._callsAfterLeaving, prefix: this._engine.prefixCounts }
  }

  private _die (): void {
    this._close()
    this._engine.clear()
    this._serviceRunning = 0
    this._serviceWaiting.length = 0
    this._fencing = 0
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
    if (path === '/v1/run' || path === '/v1/generate') return this._take(body, path, response)
    if (path === '/v1/resume') return this._resume(body, response)
    if (path === '/v1/kv/export') return this._exportState(body, response)
    if (path === '/v1/kv/import') return this._importState(body as unknown as ExportedGeneration, response)
    if (path === '/v1/cancel') return this._cancel(body, response)
    if (path === '/v1/orders') return this._takeOrder(body as unknown as OrderBody, response)
    sendJson(response, 404, { attempt: body.attempt, error: 'REFUSED', ran: false })
  }

  private _take (body: CallBody, path: string, response: ServerResponse): void {
    if (this._leavingSince !== undefined && performance.now() - this._leavingSince > LEAVING_GRACE_MS) this._callsAfterLeaving++
    const refusal = this._findRefusal(body)
    if (refusal !== undefined) {
      return sendJson(response, 503, { attempt: body.attempt, error: refusal, ran: false, boot: this._boot })
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
    const isServiceFull = this._serviceRunning >= this._settings.capacity && this._serviceWaiting.length >= this._settings.max_queue
    return this._engine.isFull || isServiceFull ? 'BUSY' : undefined
  }

  private _runService (body: CallBody, response: ServerResponse): void {
    const begin = () => {
      this._serviceRunning++
      const startedAt = performance.now()
      setTimeout(() => {
        const busyMs = performance.now() - startedAt
        this._serviceBusyMs += busyMs
        this._serviceRunning = Math.max(0, this._serviceRunning - 1)
        this._serviceWaiting.shift()?.()
        this._answerService(body, response, busyMs)
      }, this._settings.base_ms * this._faults.slow)
    }
    if (this._serviceRunning < this._settings.capacity) begin()
    else this._serviceWaiting.push(begin)
  }

  private _answerService (body: CallBody, response: ServerResponse, busyMs: number): void {
    if (this._draw(this._faults.fail)) return sendJson(response, 500, { attempt: body.attempt, error: 'FAILED', ran: true, busyMs })
    const attempt = this._draw(this._faults.wrong_id) ? `${body.attempt}-other` : body.attempt
    const answer = { attempt, output: computeServiceOutput(this._settings.role, body.input, body.previous), busyMs }
    if (this._draw(this._faults.drop)) sendTorn(response, answer, this._faults.drop_after_bytes)
    else sendJson(response, 200, answer)
  }

  private _generate (body: CallBody, response: ServerResponse): void {
    const dropAfter = this._draw(this._faults.drop) ? this._faults.drop_after_bytes : Infinity
    const failAt = this._draw(this._faults.fail) ? 2 : -1
    const attempt = this._draw(this._faults.wrong_id) ? `${body.attempt}-other` : body.attempt
    const generation = this._engine.start({ ...body, role: this._settings.role }, this._createReader(attempt, response, dropAfter, failAt))
    this._openStream(response, generation)
  }

  private _resume (body: CallBody, response: ServerResponse): void {
    const generation = this._engine.find(body.attempt)
    if (generation === undefined) return sendJson(response, 404, { attempt: body.attempt, error: 'UNKNOWN_ATTEMPT', ran: false, boot: this._boot })
    this._openStream(response, generation)
    this._engine.attach(generation, body.offset, this._createReader(body.attempt, response, Infinity, -1))
  }

  private _exportState (body: CallBody, response: ServerResponse): void {
    const state = this._engine.exportState(body.attempt)
    if (state === undefined) return sendJson(response, 404, { attempt: body.attempt, error: 'UNKNOWN_ATTEMPT', ran: false, boot: this._boot })
    sendJson(response, 200, state)
  }

  private _importState (state: ExportedGeneration, response: ServerResponse): void {
    if (this._engine.isFull || this._faults.leaving) {
      return sendJson(response, 503, { attempt: state.attempt, error: this._faults.leaving ? 'LEAVING' : 'BUSY', ran: false, boot: this._boot })
    }
    this._openStream(response, this._engine.importState(state, this._createReader(state.attempt, response, Infinity, -1)))
  }

  private _openStream (response: ServerResponse, generation: Generation): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    response.on('close', () => { if (!generation.isOver) this._engine.detach(generation) })
  }

  private _createReader (attempt: string, response: ServerResponse, dropAfter: number, failAt: number): GenerationReader {
    let produced = 0
    let bytes = 0
    return {
      onToken: (index, text) => {
        const event = `event: token\ndata: ${JSON.stringify({ attempt, index, text })}\n\n`
        bytes += Buffer.byteLength(event)
        if (bytes > dropAfter) response.socket?.destroy()
        else if (produced++ === failAt) response.end(`event: error\ndata: ${JSON.stringify({ attempt, error: 'FAILED', ran: true })}\n\n`)
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

  private _takeOrder (body: OrderBody, response: ServerResponse): void {
    const isStale = body.fencing <= this._fencing
    if (isStale) this._staleOrders++
    const isRefused = isStale && this._settings.checks_fencing
    if (!isRefused) {
      this._fencing = body.fencing
      setTimeout(() => { this._models = body.models }, this._settings.load_ms)
    }
    sendJson(response, 200, { accepted: !isRefused, fencing: this._fencing })
  }

  private _takeSnapshot (): void {
    for (const prefix of this._engine.cachedPrefixes) {
      if (!this._lostPrefixes.has(prefix) && this._draw(this._faults.lose_events)) this._lostPrefixes.add(prefix)
    }
    const snapshot: LoadSnapshot = {
      at: performance.now(),
      running: this._engine.runningCount + this._serviceRunning,
      queued: this._engine.waitingCount + this._serviceWaiting.length,
      prefixes: this._engine.cachedPrefixes.filter(prefix => !this._lostPrefixes.has(prefix))
    }
    this._snapshots = [...this._snapshots.slice(1 - MAX_SNAPSHOTS), snapshot]
  }

  private _createReport (): object {
    const lagMs = this._faults.report_lag_ms ?? this._settings.report_lag_ms
    const until = performance.now() - lagMs
    const known = this._snapshots.findLast(snapshot => snapshot.at <= until)
    return {
      boot: this._boot,
      report: ++this._report,
      running: known?.running ?? 0,
      queued: known?.queued ?? 0,
      capacity: this._settings.capacity,
      leaving: this._faults.leaving || this._faults.leaving_quietly,
      models: this._models,
      fencing: this._fencing,
      prefixes: known?.prefixes ?? []
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
