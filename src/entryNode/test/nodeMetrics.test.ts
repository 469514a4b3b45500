import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { NodeMetrics } from '../nodeMetrics.ts'

const test = suite('nodeMetrics')

test('requests are counted by result, and their durations are recorded in histograms', async () => {
  const getZero = () => 0
  const metrics = new NodeMetrics({
    countOpenRequests: () => 3,
    getRequestMemoryBytes: getZero,
    countMemoryShortages: getZero,
    countReplacedConnections: getZero,
    countClosedPipelines: getZero,
    countLiveNodes: getZero,
    countUpstreams: getZero,
    countColdUpstreams: () => 4,
    countEvacuatedHalls: () => 1,
    getUpstreamStateAgeMs: () => 250,
    countJobs: getZero,
    getRefusedConfigurationAgeMs: () => 0,
    getConfigurationVersion: () => 41,
    countQuarantinedRequests: getZero,
    countQuarantinedParts: getZero,
    countQuarantineRefusals: () => 6,
    countGrantedRetries: () => 12,
    countAbandonedArrivals: () => 0,
    countRefusedRetries: () => 13,
    countThrottledRequests: getZero,
    getBaseRetries: () => 1.5,
    countLimitedUpstreams: () => 2,
    countInvalidStatements: getZero,
    countInvalidLoads: () => 7,
    countLeavingUpstreams: getZero,
    countBackingOffUpstreams: getZero,
    countWithheldSends: getZero,
    countQuotaDenials: getZero,
    getReturnCounts: () => ({ reserved: 9, kept: 5, expired: 3, missed: 1 }),
    getPartitionState: () => 1,
    countTunnels: () => 8,
    countRelayedConnections: getZero,
    countPauses: getZero,
    getBytesSent: getZero
  })
  const end = { result: 'delivered' as const, attempts: 2, preparedMs: 300, producedMs: 40, lastUpstream: 'u', known: { revision: 7, ageMs: 250 } }
  metrics.recordRequest({ id: 'a', route: 'r', customer: 'c', elapsedMs: 400, end })
  metrics.recordRequest({ id: 'b', route: 'r', customer: 'c', elapsedMs: 5, end: { ...end, result: 'overloaded', attempts: 0, preparedMs: 0, producedMs: 0 } })
  const text = await metrics.metrics.registry.metrics()
  assert.match(text, /pepperwood_node_requests_total\{result="delivered"\} 1/)
  assert.match(text, /pepperwood_node_requests_total\{result="overloaded"\} 1/)
  assert.match(text, /pepperwood_node_attempts_total 2/)
  assert.match(text, /pepperwood_node_prepared_ms_count 1/)
  assert.match(text, /pepperwood_node_partitioned 1/)
  assert.match(text, /pepperwood_node_tunnels_total 8/)
  assert.match(text, /pepperwood_node_configuration_version 41/)
  assert.match(text, /pepperwood_node_known_age_ms 250/)
  assert.match(text, /pepperwood_node_cold_upstreams 4/)
  assert.match(text, /pepperwood_node_evacuated_halls 1/)
  assert.match(text, /pepperwood_node_invalid_loads_total 7/)
  assert.match(text, /pepperwood_node_requests_open 3/)
  assert.match(text, /pepperwood_node_quarantine_refusals_total 6/)
  assert.match(text, /pepperwood_node_retries_granted_total 12/)
  assert.match(text, /pepperwood_node_retries_refused_total 13/)
  assert.match(text, /pepperwood_node_retry_base 1\.5/)
  for (const line of ['reserved_returns_total 9', 'kept_returns_total 5', 'expired_returns_total 3', 'missed_returns_total 1']) assert.match(text, new RegExp(`pepperwood_node_${line}\n`))
})

test.run()
