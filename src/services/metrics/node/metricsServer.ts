/**
 * A process's metrics, for collection over HTTP.
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'

const LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]

/** Creates the metrics of one process; names get the product's prefix. */
export class MetricsRegistry {
  readonly registry = new Registry()

  createCounter<L extends string> (name: string, help: string, labelNames: readonly L[] = []): Counter<L> {
    return new Counter({ name: `pepperwood_${name}`, help, labelNames: [...labelNames], registers: [this.registry] })
  }

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

  /** What every process tells of itself. */
  addProcessMetrics (): void {
    this.createGauge('process_resident_bytes', 'Resident memory', () => process.memoryUsage.rss())
    this.createGauge('process_cpu_seconds', 'Processor time used', () => {
      const usage = process.cpuUsage()
      return (usage.user + usage.system) / 1e6
    })
  }
}

/** Serves `/metrics`; any other path is not found. */
export class MetricsServer extends Disposable {
  private readonly _server: Server

  constructor (private readonly _metrics: MetricsRegistry) {
    super()
    this._server = createServer((request, response) => {
      if (request.url !== '/metrics') {
        response.writeHead(404).end()
        return
      }
      this._metrics.registry.metrics().then(
        text => response.writeHead(200, { 'content-type': this._metrics.registry.contentType }).end(text),
        () => response.writeHead(500).end()
      )
    })
    this._register(toDisposable(() => { this._server.close() }))
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
  }
}
