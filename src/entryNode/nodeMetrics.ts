/**
 * The metrics of a node. Labels only have values from small fixed sets; customers and routes are written to the log instead.
 */
import { MetricsRegistry } from '../services/metrics/node/metricsServer.ts'
import type { ReturnCounts } from '../services/preparation/common/returnReservations.ts'
import type { CompletedRequest } from '../services/relay/node/relayServer.ts'
import type { StatementKind } from '../services/upstream/common/upstreamStatement.ts'

export interface NodeGauges {
  readonly countOpenRequests: () => number
  /** What the requests in progress hold, see MemoryBudget. */
  readonly getRequestMemoryBytes: () => number
  readonly countMemoryShortages: () => number
  /** Connections of callers that were closed in favour of others. */
  readonly countReplacedConnections: () => number
  /** Connections that were closed since too many requests arrived ahead of their answers. */
  readonly countClosedPipelines: () => number
  readonly countLiveNodes: () => number
  readonly countUpstreams: () => number
  readonly countColdUpstreams: () => number
  readonly countEvacuatedHalls: () => number
  readonly getUpstreamStateAgeMs: () => number
  readonly countJobs: () => number
  readonly getConfigurationVersion: () => number
  /** 0 while the newest published configuration is in force. */
  readonly getRefusedConfigurationAgeMs: () => number
  readonly countQuarantinedRequests: () => number
  readonly countQuarantinedParts: () => number
  readonly countQuarantineRefusals: () => number
  readonly countGrantedRetries: () => number
  readonly countRefusedRetries: () => number
  /** Attempts that were given up and may still arrive at their upstreams. */
  readonly countAbandonedArrivals: () => number
  /** Retries in a window that need no first attempts of this node. */
  readonly countThrottledRequests: () => number
  readonly getBaseRetries: () => number
  readonly countLimitedUpstreams: () => number
  readonly countInvalidStatements: () => number
  readonly countInvalidLoads: () => number
  readonly countLeavingUpstreams: () => number
  readonly countBackingOffUpstreams: () => number
  readonly countWithheldSends: () => number
  readonly countQuotaDenials: () => number
  readonly getReturnCounts: () => ReturnCounts
  /** 1 while the node is partitioned from upstreams, otherwise 0. */
  readonly getPartitionState: () => number
  readonly countTunnels: () => number
  readonly countRelayedConnections: () => number
  readonly countPauses: () => number
  readonly getBytesSent: () => number
}

export class NodeMetrics {
  readonly metrics = new MetricsRegistry()
  private readonly _completedRequests = this.metrics.createCounter('node_requests_total', 'Requests that ended', ['result'])
  private readonly _attempts = this.metrics.createCounter('node_attempts_total', 'Sends to upstreams')
  private readonly _statements = this.metrics.createCounter('node_statements_total', 'What upstreams said of themselves with their answers', ['kind'])
  private readonly _requestDurations = this.metrics.createLatencyHistogram('node_request_ms', 'Time of requests, by result', ['result'])
  private readonly _preparationDurations = this.metrics.createLatencyHistogram('node_prepared_ms', 'Time in preparation')
  private readonly _productionDurations = this.metrics.createLatencyHistogram('node_produced_ms', 'From the end of preparation to the first event or the whole answer')

  constructor (gauges: NodeGauges) {
    this.metrics.addProcessMetrics()
    this.metrics.createGauge('node_requests_open', 'Requests in progress', gauges.countOpenRequests)
    this.metrics.createGauge('node_request_memory_bytes', 'Memory that requests hold', gauges.getRequestMemoryBytes)
    this.metrics.createGauge('node_memory_shortages_total', 'Requests that gave back their memory or got none', gauges.countMemoryShortages)
    this.metrics.createGauge('node_pipelines_closed_total', 'Connections closed since too many requests arrived ahead of their answers', gauges.countClosedPipelines)
    this.metrics.createGauge('node_connections_replaced_total', 'Connections of callers closed in favour of others', gauges.countReplacedConnections)
    this.metrics.createGauge('node_members', 'Nodes taken for alive', gauges.countLiveNodes)
    this.metrics.createGauge('node_upstreams', 'Upstreams known', gauges.countUpstreams)
    this.metrics.createGauge('node_cold_upstreams', 'Upstreams that bear little for a while', gauges.countColdUpstreams)
    this.metrics.createGauge('node_evacuated_halls', 'Halls whose upstreams get nothing new', gauges.countEvacuatedHalls)
    this.metrics.createGauge('node_known_age_ms', 'Milliseconds since the source last confirmed what is known of upstreams', gauges.getUpstreamStateAgeMs)
    this.metrics.createGauge('node_jobs', 'Jobs that this node coordinates', gauges.countJobs)
    this.metrics.createGauge('node_configuration_version', 'Version of the configuration in force', gauges.getConfigurationVersion)
    this.metrics.createGauge('node_refused_configuration_age_ms', 'Milliseconds for which the newest published configuration has not been usable; 0 if it is in force', gauges.getRefusedConfigurationAgeMs)
    this.metrics.createGauge('node_quarantined_requests', 'Requests that are no longer sent, since upstreams ended under them', gauges.countQuarantinedRequests)
    this.metrics.createGauge('node_quarantined_parts', 'Parts of prompts, or sets of them, whose requests are no longer sent', gauges.countQuarantinedParts)
    this.metrics.createGauge('node_quarantine_refusals_total', 'Tries of such requests that were refused', gauges.countQuarantineRefusals)
    this.metrics.createGauge('node_retries_granted_total', 'Retries that the budget of retries allowed', gauges.countGrantedRetries)
    this.metrics.createGauge('node_retries_refused_total', 'Retries that were not made, since the budget was used up', gauges.countRefusedRetries)
    this.metrics.createGauge('node_abandoned_arrivals', 'Attempts that were given up and may still arrive at their upstreams', gauges.countAbandonedArrivals)
    this.metrics.createGauge('node_throttled_requests_total', 'Requests refused before preparation, since upstreams of their role refused most of what was sent', gauges.countThrottledRequests)
    this.metrics.createGauge('node_retry_base', 'Retries in a window that this node may make without first attempts, by role', gauges.getBaseRetries)
    this.metrics.createGauge('node_limited_upstreams', 'Upstreams that state a limit of the rate that they accept', gauges.countLimitedUpstreams)
    this.metrics.createGauge('node_quota_denials_total', 'Requests for limited upstreams that this node did not give out', gauges.countQuotaDenials)
    this.metrics.createGauge('node_leaving_upstreams', 'Upstreams that get nothing new, since they leave', gauges.countLeavingUpstreams)
    this.metrics.createGauge('node_backing_off_upstreams', 'Upstreams that get nothing from this node, since they turned it away and asked for a pause', gauges.countBackingOffUpstreams)
    this.metrics.createGauge('node_withheld_sends_total', 'Requests and calls that were not written, since their upstream was to get nothing more by then', gauges.countWithheldSends)
    this.metrics.createGauge('node_invalid_statements_total', 'Statements of upstreams whose values mean nothing', gauges.countInvalidStatements)
    this.metrics.createGauge('node_reserved_returns_total', 'Refused callers for whose return a plan of this node reserved capacity', () => gauges.getReturnCounts().reserved)
    this.metrics.createGauge('node_kept_returns_total', 'Callers that returned at their reserved time and were admitted', () => gauges.getReturnCounts().kept)
    this.metrics.createGauge('node_expired_returns_total', 'Reservations whose callers did not return', () => gauges.getReturnCounts().expired)
    this.metrics.createGauge('node_missed_returns_total', 'Callers that returned at their reserved time and were refused', () => gauges.getReturnCounts().missed)
    this.metrics.createGauge('node_invalid_loads_total', 'Loads stated by upstreams that could not be read', gauges.countInvalidLoads)
    this.metrics.createGauge('node_partitioned', '1 while this node reaches upstreams by way of peers only', gauges.getPartitionState)
    this.metrics.createGauge('node_tunnels_total', 'Connections to upstreams that peers opened for this node', gauges.countTunnels)
    this.metrics.createGauge('node_relayed_connections', 'Connections to upstreams that this node carries for peers', gauges.countRelayedConnections)
    this.metrics.createGauge('node_pauses_total', 'Pauses of the process that were noticed', gauges.countPauses)
    this.metrics.createGauge('node_control_bytes_sent', 'Bytes sent to other nodes', gauges.getBytesSent)
  }

  countStatement (kind: StatementKind): void {
    this._statements.inc({ kind })
  }

  recordRequest ({ elapsedMs, end }: CompletedRequest): void {
    this._completedRequests.inc({ result: end.result })
    this._attempts.inc(end.attempts)
    this._requestDurations.observe({ result: end.result }, elapsedMs)
    if (end.preparedMs > 0) this._preparationDurations.observe(end.preparedMs)
    if (end.producedMs > 0) this._productionDurations.observe(end.producedMs)
  }
}
