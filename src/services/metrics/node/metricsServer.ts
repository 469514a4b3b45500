/**
 * The metrics of a process, and the HTTP server that exposes them and the operators' endpoints.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import { ServerGuard } from '../../ingress/node/serverGuard.ts'
import type { ServerGuardOptions } from '../../ingress/node/serverGuard.ts'

const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]

/** Creates and registers the metrics of one process; every name gets the prefix `pepperwood_`. */
export class MetricsRegistry {
  readonly registry = new Registry()

  createCounter<L extends string> (name: string, help: string, labelNames: readonly L[] = []): Counter<L> {
    return new Counter({ name: `pepperwood_${name}`, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  /** `collect` is called on every scrape. */
  createGauge (name: string, help: string, collect: () => number): Gauge {
    return new Gauge({
      name: `pepperwood_${name}`,
      help,
      registers: [this.registry],
      collect () { this.set(collect()) }
    })
  }

  createLatencyHistogram<L extends string> (name: string, help: string, labelNames: readonly L[] = []): Histogram<L> {
    return new Histogram({ name: `pepperwood_${name}`, help, labelNames: [...labelNames], buckets: LATENCY_BUCKETS_MS, registers: [this.registry] })
  }

  /** Adds the metrics common to all processes: resident memory and processor time. */
  addProcessMetrics (): void {
    this.createGauge('process_resident_bytes', 'Resident memory', () => process.memoryUsage.rss())
    this.createGauge('process_cpu_seconds', 'Processor time used', () => {
      const usage = process.cpuUsage()
      return (usage.user + usage.system) / 1e6
    })
  }
}

/** Handles operators' requests to `path` and everything below it. */
export interface OperatorHandler {
  readonly path: string
  /** `rest` is the part of the URL after `path` and a slash. Returns undefined (404) for an unknown name or unsupported method. */
  readonly answer: (method: string, rest: string) => object | undefined
}

/** Serves `/metrics` and the operators' endpoints; responds 404 to any other path. */
export class MetricsServer extends Disposable {
  private readonly _server: Server

  constructor (private readonly _metrics: MetricsRegistry, private readonly _handlers: readonly OperatorHandler[] = [], guardOptions: ServerGuardOptions = {}) {
    super()
    this._server = createServer(STRICT_PARSING, (request, response) => { void guard.handle(request, response, () => this._answer(request, response)) })
    const guard = this._register(new ServerGuard(this._server, guardOptions))
    this._register(toDisposable(() => { this._server.close() }))
  }

  private async _answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url !== '/metrics') return this._answerOperatorRequest(request, response)
    const { registry } = this._metrics
    await registry.metrics().then(
      text => response.writeHead(200, { 'content-type': registry.contentType }).end(text),
      () => response.writeHead(500).end()
    )
  }

  private _answerOperatorRequest ({ method = 'GET', url = '/' }: IncomingMessage, response: ServerResponse): void {
    const handler = this._handlers.find(({ path }) => url === path || url.startsWith(`${path}/`))
    const answer = handler?.answer(method, url.slice(handler.path.length + 1))
    if (answer === undefined) response.writeHead(404).end()
    else response.writeHead(200, { 'content-type': 'application/json' }).end(`${JSON.stringify(answer)}\n`)
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
  }
}
