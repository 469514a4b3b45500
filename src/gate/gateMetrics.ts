/**
 * Metrics of a gate: finished requests, attempts and durations.
 */
import type { FactStore } from '../services/facts/common/factStore.ts'
import { MetricsRegistry } from '../services/metrics/node/metricsServer.ts'
import type { PauseDetector } from '../services/pause/common/pauseDetector.ts'
import type { EndedAttempt } from '../services/pipeline/node/stageRunner.ts'
import type { RequestRun } from '../services/session/common/requestRun.ts'
import type { ISessionService } from '../services/session/common/sessionService.ts'

export interface GateMetricsOptions {
  readonly sessions: ISessionService
  readonly facts: FactStore
  readonly pauseDetector: PauseDetector
}

export class GateMetrics {
  readonly metrics = new MetricsRegistry()
  private readonly _requestCounter = this.metrics.createCounter('requests_total', 'Requests that ended', ['pipeline', 'customer', 'result'])
  private readonly _requestDurations = this.metrics.createLatencyHistogram('request_ms', 'Time of requests answered whole', ['pipeline'])
  private readonly _attemptCounter = this.metrics.createCounter('attempts_total', 'Attempts at upstreams', ['role', 'outcome', 'retry'])
  private readonly _stageBusyTime = this.metrics.createCounter('stage_busy_ms_total', 'Busy time that upstreams reported', ['stage', 'answered'])

  constructor (options: GateMetricsOptions) {
    this.metrics.addProcessMetrics()
    this.metrics.createGauge('requests_in_progress', 'Requests in progress', () => options.sessions.runningCount)
    this.metrics.createGauge('sessions', 'Sessions open', () => options.sessions.sessions.length)
    this.metrics.createGauge('facts', 'Facts held', () => options.facts.size)
    this.metrics.createGauge('pauses_total', 'Pauses of the process that were noticed', () => options.pauseDetector.pauseCount)
  }

  recordAttempt (attempt: EndedAttempt): void {
    this._attemptCounter.inc({ role: attempt.role, outcome: attempt.kind, retry: String(attempt.isRetry) })
  }

  recordRequest (pipeline: string, run: RequestRun, now: number): void {
    const { outcome, customer } = run
    if (outcome === undefined) return
    const result = outcome.kind === 'whole' ? 'whole' : outcome.error.resultName
    // Names of unknown pipelines come from callers and must not create label values.
    const isKnownPipeline = outcome.kind === 'whole' || outcome.error.resultName !== 'pipelineUnknown'
    this._requestCounter.inc({ pipeline: isKnownPipeline ? pipeline : '', customer, result })
    if (outcome.kind === 'whole') this._requestDurations.observe({ pipeline }, now - run.startedAt)
    for (const cost of outcome.costs) this._stageBusyTime.inc({ stage: cost.stage, answered: String(outcome.kind === 'whole') }, cost.busyMs)
  }
}
