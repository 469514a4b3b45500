/**
 * Reads the current values of a node's gauges from its services.
 */
import type { IClock } from '../base/common/clock.ts'
import type { MemoryBudget } from '../services/ingress/common/memoryBudget.ts'
import type { FleetMember } from '../services/membership/node/fleetMember.ts'
import type { PauseDetector } from '../services/pause/common/pauseDetector.ts'
import type { PreparationCoordinator } from '../services/preparation/node/preparationCoordinator.ts'
import type { QuarantineService } from '../services/quarantine/node/quarantineService.ts'
import type { PreparationThrottle } from '../services/relay/common/preparationThrottle.ts'
import type { RelayServer } from '../services/relay/node/relayServer.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { NodeConnections } from './nodeConnections.ts'
import type { NodeGauges } from './nodeMetrics.ts'
import type { NodeQuota } from './nodeQuota.ts'
import type { NodeRetries } from './nodeRetries.ts'
import type { NodeStatements } from './nodeStatements.ts'

export interface NodeGaugeSources {
  readonly clock: IClock
  readonly relay: RelayServer
  readonly requestMemory: MemoryBudget
  readonly member: FleetMember
  readonly registry: UpstreamRegistry
  readonly coordinator: PreparationCoordinator
  readonly quota: NodeQuota
  readonly statements: NodeStatements
  readonly connections: NodeConnections
  readonly quarantine: QuarantineService
  readonly retries: NodeRetries
  readonly throttle: PreparationThrottle
  readonly pauseDetector: PauseDetector
}

export function createNodeGauges ({ clock, relay, requestMemory, member, registry, coordinator, quota, statements, connections, quarantine, retries, throttle, pauseDetector }: NodeGaugeSources): NodeGauges {
  const { backoffs, guard } = statements
  return {
    countOpenRequests: () => relay.activeRequestCount,
    getRequestMemoryBytes: () => requestMemory.usedBytes,
    countClosedPipelines: () => relay.closedPipelineCount,
    countReplacedConnections: () => relay.replacedConnectionCount,
    countMemoryShortages: () => requestMemory.shortageCount,
    countLiveNodes: () => member.membership.countLive(),
    countUpstreams: () => registry.size,
    countColdUpstreams: () => registry.list().filter(({ coldUntil = 0 }) => coldUntil > clock.now()).length,
    countEvacuatedHalls: () => registry.listEvacuatedHalls().length,
    getUpstreamStateAgeMs: () => registry.computeFreshness(clock.now()).ageMs,
    countJobs: () => coordinator.jobCount,
    getConfigurationVersion: () => member.configuration.number.version,
    getRefusedConfigurationAgeMs: () => member.configuration.refused === undefined ? 0 : clock.now() - member.configuration.refused.refusedAt,
    countQuarantinedRequests: () => quarantine.listQuarantined().filter(({ digest }) => digest !== undefined).length,
    countQuarantinedParts: () => quarantine.listQuarantined().filter(({ digest }) => digest === undefined).length,
    countQuarantineRefusals: () => quarantine.refusedCount,
    countGrantedRetries: () => retries.budget.grantedCount,
    countRefusedRetries: () => retries.budget.refusedCount,
    countAbandonedArrivals: () => retries.abandonedArrivals.count,
    countThrottledRequests: () => throttle.refusedCount,
    getBaseRetries: () => retries.getShare().baseRetries,
    countLimitedUpstreams: () => quota.statedLimits.listLimits().length,
    countQuotaDenials: () => quota.deniedCount,
    countLeavingUpstreams: () => registry.list().filter(({ isLeaving }) => isLeaving).length,
    countBackingOffUpstreams: () => backoffs.list().filter(({ leftMs }) => leftMs > 0).length,
    countWithheldSends: () => guard.withheldSendCount,
    countInvalidStatements: () => statements.invalidCount,
    getReturnCounts: () => coordinator.returnCounts,
    countInvalidLoads: () => statements.invalidLoadCount,
    getPartitionState: () => connections.connector.isPartitioned ? 1 : 0,
    countTunnels: () => connections.connector.tunnelCount,
    countRelayedConnections: () => connections.relayedCount,
    countPauses: () => pauseDetector.pauseCount,
    getBytesSent: () => member.traffic.sent
  }
}
