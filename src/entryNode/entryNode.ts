/**
 * A node: one process per host that relays callers' requests to upstreams and tracks the state of the fleet by itself. It
 * combines the functions of a gate and a steward in one process. The protocols of callers and upstreams and the sources
 * of configuration and upstreams are passed in.
 */
import type { Agent } from 'node:http'
import { parseAddress } from '../base/common/address.ts'
import type { ISuspendableClock } from '../base/common/clock.ts'
import { DecayingCounter } from '../base/common/decayingCounter.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IRandom } from '../base/common/random.ts'
import { LoopDelay } from '../base/node/loopDelay.ts'
import { startInterval, waitFor } from '../base/node/interval.ts'
import { BackoffPieceCalls } from '../services/backoff/node/backoffPieceCalls.ts'
import type { ConfigurationSource } from '../services/configuration/common/configurationSource.ts'
import { formatConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import type { AcceptedConfiguration } from '../services/configuration/common/configurationService.ts'
import { formatPosition } from '../services/feed/common/sourcePosition.ts'
import { FeedService } from '../services/feed/node/feedService.ts'
import { EjectingTracker } from '../services/health/common/healthTracker.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { HallRegions } from '../services/locate/common/hallRegions.ts'
import type { AddressAnswer, CallerLocation } from '../services/locate/common/nodeDirectory.ts'
import { FleetMember } from '../services/membership/node/fleetMember.ts'
import { PauseDetector } from '../services/pause/common/pauseDetector.ts'
import { PauseRecovery } from '../services/pause/node/pauseRecovery.ts'
import { MetricsServer } from '../services/metrics/node/metricsServer.ts'
import type { PieceProtocol } from '../services/preparation/common/pieceProtocol.ts'
import { ReleaseDelay } from '../services/preparation/common/releaseDelay.ts'
import { CoordinatorLinks } from '../services/preparation/node/coordinatorLinks.ts'
import { PreparationClient } from '../services/preparation/node/preparationClient.ts'
import { PreparationCoordinator } from '../services/preparation/node/preparationCoordinator.ts'
import { PreparationServer } from '../services/preparation/node/preparationServer.ts'
import { createQuarantineHandler } from '../services/quarantine/node/quarantineHandler.ts'
import type { InstanceProbe } from '../services/quarantine/common/instanceProbe.ts'
import type { QuarantineService } from '../services/quarantine/node/quarantineService.ts'
import { createLimitsHandler } from '../services/quota/node/limitsHandler.ts'
import type { WarmthProbe } from '../services/quota/common/warmthProbe.ts'
import { RateLimitedPieceCalls } from '../services/quota/node/rateLimitedPieceCalls.ts'
import type { CallerProtocol, UpstreamProtocol } from '../services/relay/common/relayProtocol.ts'
import { RelayPool } from '../services/relay/common/relayPool.ts'
import { AffinityRouter } from '../services/relay/common/relayRouter.ts'
import { estimateReadyMs } from '../services/relay/common/readyForecast.ts'
import { RelayTable } from '../services/relay/common/relayTable.ts'
import { RelayServer } from '../services/relay/node/relayServer.ts'
import type { CompletedRequest } from '../services/relay/node/relayServer.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { CallAgent } from '../services/upstream/node/callAgent.ts'
import type { UpstreamSource } from '../services/upstream/common/upstreamSource.ts'
import { CallerDirectory } from './callerDirectory.ts'
import { CoordinatorDirectory } from './coordinatorDirectory.ts'
import { createNodeGauges } from './nodeGauges.ts'
import { NodeConnections } from './nodeConnections.ts'
import { NodeIngress } from './nodeIngress.ts'
import { NodeMetrics } from './nodeMetrics.ts'
import { createNodeQuarantine } from './nodeQuarantine.ts'
import { NodeQuota } from './nodeQuota.ts'
import { reportUnknownHomes } from './homeRegions.ts'
import { NodeRetries } from './nodeRetries.ts'
import { createThrottle } from './nodeThrottle.ts'
import { NodeStatusReporter } from './nodeStatusReporter.ts'
import type { NodeSettings } from './nodeSettings.ts'
import { NodeStatements } from './nodeStatements.ts'
import { GracefulShutdown } from './gracefulShutdown.ts'
import { PieceUpstreamList } from './pieceUpstreamList.ts'
import { createStatementsHandler } from './statementsHandler.ts'
import { UpstreamSynchronizer } from './upstreamSynchronizer.ts'

export interface EntryNodeOptions {
  readonly settings: NodeSettings
  readonly clock: ISuspendableClock
  readonly random: IRandom
  readonly log: ILogService
  /** Increases with each process start on the host. */
  readonly incarnation: number
  readonly callerProtocol: CallerProtocol
  readonly upstreamProtocol: UpstreamProtocol
  readonly createPieceProtocol: (agent: CallAgent) => PieceProtocol
  readonly configurationSource: ConfigurationSource
  readonly upstreamSource: UpstreamSource
  /** Without it, upstreams are not asked whether they are cold. */
  readonly createWarmthProbe?: (agent: Agent) => WarmthProbe
  /** Without it, upstreams are not asked which instance answers at their address. */
  readonly createInstanceProbe?: (agent: Agent) => InstanceProbe
}

/** How often a node checks whether its own status has to be published again. */
const STATUS_CHECK_PERIOD_MS = 200
/** How long a starting or resumed node waits for the source and its peers before it continues with the state it has. */
const READINESS_TIMEOUT_MS = 3000
/** Kept short: nodes that have not joined yet coordinate only their own jobs, and after a power loss they start in any order. */
const SEED_CONTACT_PERIOD_MS = 200
const LOAD_TIME_CONSTANT_MS = 5000
/** Gossip takes three hops of about 50 ms each to reach 195 nodes, and a document must be in force within 2 s. */
const MISSED_DOCUMENT_TIMEOUT_MS = 600
/** Membership changes within this time are combined into one reassignment of jobs. */
const JOB_MOVE_DELAY_MS = 40

export class EntryNode extends Disposable {
  private readonly _options: EntryNodeOptions
  private readonly _fleetMember: FleetMember
  private readonly _registry = this._register(new UpstreamRegistry())
  private readonly _hallRegions: HallRegions
  private readonly _callerDirectory: CallerDirectory
  private readonly _pauseDetector: PauseDetector
  private readonly _pauseRecovery: PauseRecovery
  private readonly _recentRequestCount: DecayingCounter
  private readonly _metrics: NodeMetrics
  private readonly _quarantine: QuarantineService
  private readonly _connections: NodeConnections
  private readonly _quota: NodeQuota
  private readonly _retries: NodeRetries
  private readonly _ingress: NodeIngress
  private readonly _statements: NodeStatements
  private readonly _relayServer: RelayServer
  private readonly _coordinator: PreparationCoordinator
  private readonly _preparationClient: PreparationClient
  private readonly _preparationServer: PreparationServer
  private readonly _onDidStop = this._register(new Emitter<void>())
  /** Exchanges changes read from the source of upstreams and configuration with the other nodes. */
  readonly feed: FeedService
  /** Fires at the end of a graceful shutdown. */
  readonly onDidStop = this._onDidStop.event
  private _settings: NodeSettings
  private _relayTable: RelayTable | undefined
  private readonly _statusReporter: NodeStatusReporter
  private _isDraining = false
  private readonly _startedAt: number
  private readonly _upstreamSynchronizer: UpstreamSynchronizer
  private _isJobMoveScheduled = false

  constructor (options: EntryNodeOptions) {
    super()
    this._options = options
    this._settings = options.settings
    const { clock, log, random, settings } = options
    this._startedAt = clock.now()
    this._hallRegions = new HallRegions(settings.hall_regions)
    this._pauseDetector = new PauseDetector({ clock, getTimeOfDay: Date.now })
    this._recentRequestCount = new DecayingCounter(clock, LOAD_TIME_CONSTANT_MS)
    this._fleetMember = this._register(new FleetMember({
      ...options,
      address: settings.address,
      hall: settings.hall,
      listSeeds: () => this._settings.seeds,
      readyWaitMs: READINESS_TIMEOUT_MS,
      isSourceAuthoritative: true,
      seedRetryPeriodMs: SEED_CONTACT_PERIOD_MS,
      hasGates: false,
      weight: Math.round(settings.core_share * settings.core_speed * 100)
    }))
    this._pauseRecovery = this._register(new PauseRecovery({
      clock,
      log,
      detector: this._pauseDetector,
      comparePeerClocks: () => this._fleetMember.gossip.compareClocks(),
      refreshState: () => this._refreshState()
    }))
    this._register(this._fleetMember.gossip.onDidCompareClocks(gainMs => this._pauseRecovery.recordPeerClockGain(gainMs)))
    this.feed = this._register(new FeedService({ own: settings, clock, log, links: this._fleetMember.gossip, listMembers: () => this._fleetMember.membership.listLive(), hasMembers: () => this._fleetMember.hasJoined }))
    const getTable = () => this._relayTable
    this._callerDirectory = new CallerDirectory({
      clock,
      facts: this._fleetMember.facts,
      membership: this._fleetMember.membership,
      regions: this._hallRegions,
      hall: settings.hall,
      getTable,
      getOwnAddress: () => this.isReady ? this._settings.callers_address : undefined,
      getMaxKeepMs: () => this._settings.keep_s * 1000
    })
    const coordinatorDirectory = new CoordinatorDirectory({ listLiveMembers: () => this._fleetMember.membership.listLive(), port: settings.preparation_port })
    const coordinatorLinks = this._register(new CoordinatorLinks({ clock, log, findIncarnation: address => coordinatorDirectory.findIncarnation(address) }))
    this._register(coordinatorLinks.onDidDetectRestart(({ address, incarnation }) => {
      const member = coordinatorDirectory.findMember(address)
      if (member !== undefined) this._fleetMember.membership.recordRestart(member, incarnation)
    }))
    const coordinatorAddress = coordinatorDirectory.formatCoordinatorAddress(settings.address)
    this._connections = this._register(new NodeConnections({ clock, log, random, registry: this._registry, settings, listMembers: () => this._fleetMember.membership.listLive(), getBackoffs: () => this._statements.backoffs }))
    this._quota = this._register(new NodeQuota({
      clock,
      log,
      facts: this._fleetMember.facts,
      registry: this._registry,
      links: coordinatorLinks,
      node: settings.address,
      incarnation: options.incarnation,
      coordinatorAddress,
      findCoordinator: hall => coordinatorDirectory.findForHall(hall),
      canOwnQuotas: () => this._fleetMember.hasJoined && !this._isDraining && !this._pauseDetector.isStale,
      membership: this._fleetMember.membership,
      getTable,
      coldRateMultiplier: settings.cold_share,
      extraColdRequestsPerS: settings.cold_spare,
      isSourceCurrent: () => options.upstreamSource.isCurrent,
      warmthProbe: options.createWarmthProbe?.(this._connections.createAgent())
    }))
    this._statements = this._register(new NodeStatements({ clock, log, random, facts: this._fleetMember.facts, registry: this._registry, countNodes: () => this._fleetMember.membership.countKnown(), recordRateLimit: (upstream, perS) => this._quota.statedLimits.recordLimit(upstream, perS) }))
    const { backoffs, guard, loads } = this._statements
    const pieceProtocol = new BackoffPieceCalls(new RateLimitedPieceCalls(options.createPieceProtocol(this._connections.createAgent()), this._quota.service), backoffs, clock)
    this._register(pieceProtocol.onDidReceiveStatement(batch => this._statements.recordStatements(batch)))
    this._ingress = this._register(new NodeIngress({ clock, log, settings }))
    this._coordinator = this._register(new PreparationCoordinator({ clock, log, protocol: pieceProtocol, registry: this._registry, getTable, limits: this._quota.limits, guard, loads, handlesContention: settings.contention === 'on', maxPieces: this._ingress.limits.maxPlannedPieces }))
    this._preparationServer = this._register(new PreparationServer(this._coordinator, log, (upstream, limit) => this._quota.acquireForPeer(upstream, limit), options.incarnation))
    const pieceUpstreams = new PieceUpstreamList(this._registry, getTable)
    this._preparationClient = this._register(new PreparationClient({
      clock,
      log,
      protocol: pieceProtocol,
      links: coordinatorLinks,
      registry: this._registry,
      coordinator: this._coordinator,
      isMembershipKnown: () => this._fleetMember.hasJoined,
      onDidReceiveMembers: this._fleetMember.onDidJoin,
      address: coordinatorAddress,
      weighsPlans: settings.contention === 'on',
      listCoordinators: () => coordinatorDirectory.listCoordinators(),
      listPieceUpstreams: () => pieceUpstreams.list()
    }))
    this._quarantine = this._register(createNodeQuarantine({ clock, log, facts: this._fleetMember.facts, registry: this._registry, node: settings.address, incarnation: options.incarnation, onDidJoin: this._fleetMember.onDidJoin, probe: address => this._connections.probe(address), instanceProbe: options.createInstanceProbe?.(this._connections.createAgent()), getTable }))
    const throttle = createThrottle({ clock, random, log })
    this._retries = this._register(new NodeRetries({ clock, settings, membership: this._fleetMember.membership, registry: this._registry }))
    this._relayServer = this._register(new RelayServer({
      context: {
        clock,
        random,
        log,
        hall: settings.hall,
        handlesContention: settings.contention === 'on',
        regions: this._hallRegions,
        agent: this._connections.createAgent(),
        mayBePartitioned: () => this._connections.connector.isSuspect,
        upstreamProtocol: options.upstreamProtocol,
        registry: this._registry,
        pool: new RelayPool({ clock, registry: this._registry, router: new AffinityRouter({ random }), createHealth: () => new EjectingTracker(), countNodes: () => this.countNodes(), hasTerminated: id => this._quarantine.hasCrashed(id), quota: this._quota.service, backoffs, loads }),
        guard,
        backoffs,
        recordStatements: batch => this._statements.recordStatements(batch),
        quota: this._quota.service,
        retry: this._retries.budget,
        abandonedArrivals: this._retries.abandonedArrivals,
        throttle,
        preparation: this._preparationClient,
        releaseDelay: new ReleaseDelay(),
        quarantine: this._quarantine
      },
      callerProtocol: options.callerProtocol,
      memory: this._ingress.memory,
      maxConnections: this._ingress.limits.maxCallerConnections,
      loopDelay: this._register(new LoopDelay(clock)),
      maxRunningRequests: this._ingress.limits.maxRunningRequests,
      getTable,
      describeConfiguration: () => this._describeConfiguration(),
      findReadinessError: () => this._findReadinessError(),
      estimateReadinessDelayMs: () => estimateReadyMs({ isOutage: this._fleetMember.isReady && this._relayTable === undefined, sinceMs: clock.now() - this._startedAt })
    }))
    this._metrics = new NodeMetrics(createNodeGauges({ clock, relay: this._relayServer, requestMemory: this._ingress.memory, member: this._fleetMember, registry: this._registry, coordinator: this._coordinator, quota: this._quota, statements: this._statements, connections: this._connections, quarantine: this._quarantine, retries: this._retries, throttle, pauseDetector: this._pauseDetector }))
    this._register(this._statements.onDidRecordStatement(kind => this._metrics.countStatement(kind)))
    this._statusReporter = new NodeStatusReporter({
      clock,
      facts: this._fleetMember.facts,
      address: settings.callers_address,
      hall: settings.hall,
      incarnation: options.incarnation,
      getStatus: () => ({ isReady: this.isReady, isDraining: this._isDraining, inFlight: this._relayServer.activeRequestCount, recentRequests: Math.round(this._recentRequestCount.value), configuration: this._fleetMember.configuration.number }),
      onDidReport: ({ isDraining }) => this._fleetMember.gossip.scheduleUrgentRound(isDraining)
    })
    this._register(this._relayServer.onDidEnd(ended => this._recordCompletion(ended)))
    this._register(this._fleetMember.configuration.onDidAccept(accepted => this._applyConfiguration(accepted)))
    this._upstreamSynchronizer = this._register(new UpstreamSynchronizer({ clock, log, facts: this._fleetMember.facts, registry: this._registry, source: options.upstreamSource, getColdMs: role => this._relayTable?.getRole(role)?.coldMs ?? 0 }))
    this._register(this._fleetMember.facts.onDidChange(fact => { if (fact.value.kind === 'member') this._scheduleJobMove() }))
    this._register(this._fleetMember.onDidJoin(() => this._scheduleJobMove()))
    for (const source of [options.configurationSource, options.upstreamSource]) this._register(source)
    this._register(options.configurationSource.onDidRead(document => this._fleetMember.offer(document)))
    this._register(options.configurationSource.onDidRefuse(({ revision, reason }) => this._fleetMember.configuration.recordRefusal(revision, reason)))
    this._register(options.configurationSource.onDidMissDocument(revision => this._scheduleMissedRead(revision)))
  }

  get isReady (): boolean {
    return !this._isDraining && this._findReadinessError() === undefined
  }

  async start (): Promise<void> {
    const { settings, log, configurationSource } = this._options
    log.info('starting', { node: settings.name, hall: settings.hall, address: settings.address, seeds: settings.seeds.length })
    const address = parseAddress(settings.address)
    const callers = parseAddress(settings.callers_address)
    if (address === undefined || callers === undefined) throw new PepperwoodError({ name: 'settingsInvalid', message: 'bad address', place: 'address' })
    await this._fleetMember.listen(address)
    await this._preparationServer.listen(address.host, settings.preparation_port)
    await this._connections.listen(address.host)
    await this._relayServer.listen(callers.host, callers.port)
    await this._serveMetrics(address.host)
    this._pauseRecovery.start()
    this._register(startInterval(STATUS_CHECK_PERIOD_MS, () => this._statusReporter.reportIfChanged()))
    this._upstreamSynchronizer.start()
    configurationSource.start()
    await this._fleetMember.join(configurationSource.readNewest())
    this._statusReporter.reportIfChanged()
  }

  /** A failure to listen on the metrics port does not prevent the node from serving requests. */
  private async _serveMetrics (host: string): Promise<void> {
    const port = this._options.settings.metrics_port
    if (port === undefined) return
    try {
      const handlers = [createQuarantineHandler(this._quarantine, this._options.clock), createLimitsHandler(this._quota.statedLimits), createStatementsHandler({ clock: this._options.clock, registry: this._registry, facts: this._fleetMember.facts, backoffs: this._statements.backoffs })]
      await this._register(new MetricsServer(this._metrics.metrics, handlers, { log: this._options.log, port: 'metrics', maxConnections: this._ingress.limits.maxQueryConnections })).listen(host, port)
    } catch (thrown) {
      this._options.log.warn('metrics_unavailable', { port, reason: String(thrown) })
    }
  }

  /** Returns the addresses that callers should use, and for how long they may cache them. */
  locate (location: CallerLocation): AddressAnswer {
    return this._callerDirectory.locate(location)
  }

  /** Applies the settings that may change at runtime; all others need a restart. */
  applySettings (settings: NodeSettings): void {
    this._options.log.info('reloaded', { node: settings.name, seeds: settings.seeds.join(',') })
    this._settings = { ...this._settings, seeds: settings.seeds, keep_s: settings.keep_s, stop_grace_s: settings.stop_grace_s }
  }

  /** Shuts down gracefully: notifies peers, redirects callers to other nodes and completes the requests in progress. */
  async stop (): Promise<void> {
    if (this._isDraining) return
    const { clock, log } = this._options
    const graceMs = this._settings.stop_grace_s * 1000
    const shutdown = new GracefulShutdown({ clock, relay: this._relayServer, countRelayed: () => this._connections.relayedCount, graceMs })
    this._isDraining = true
    log.info('stopping', { open: this._relayServer.activeRequestCount, grace_ms: graceMs })
    this._statusReporter.reportIfChanged()
    this._relayServer.drain(shutdown.abandonAfterMs)
    this._connections.drain()
    await this._fleetMember.leave()
    if (this._preparationClient.hasOtherCoordinator()) this._coordinator.drain()
    await shutdown.run()
    log.info('stopped', { open: this._relayServer.activeRequestCount, took_ms: Math.round(shutdown.elapsedMs) })
    this._onDidStop.fire()
    this.dispose()
  }

  private _describeConfiguration (): string {
    const { current, number, refused } = this._fleetMember.configuration
    const ageMs = current === undefined ? 0 : this._options.clock.now() - current.acceptedAt
    const description = `${formatConfigurationNumber(number)} for ${Math.round(ageMs)} ms`
    return refused === undefined ? description : `${description}, refused revision ${formatPosition(refused.revision)}: ${refused.reason.message}`
  }

  private _findReadinessError (): PepperwoodError | undefined {
    if (!this._fleetMember.isReady || this._relayTable === undefined) return new PepperwoodError({ name: 'gateNotReady', message: 'no configuration is known yet' })
    if (this._pauseDetector.isStale) return new PepperwoodError({ name: 'gateNotReady', message: 'the state of this node may be outdated after a process pause' })
    return undefined
  }

  /** Reads a missed document from the source, unless a peer has forwarded it within MISSED_DOCUMENT_TIMEOUT_MS. */
  private _scheduleMissedRead (revision: number): void {
    this._options.clock.schedule(MISSED_DOCUMENT_TIMEOUT_MS, () => {
      const currentRevision = this._fleetMember.configuration.current?.revision ?? 0
      if (!this._isDisposed && currentRevision < revision) void this._options.configurationSource.readNewest()
    })
  }

  /** Refreshes configuration, upstreams and members, which may have changed while the process was paused. */
  private async _refreshState (): Promise<void> {
    const { configurationSource } = this._options
    this._quota.resetOwnership()
    this._statements.backoffs.expireBackoffs()
    this._fleetMember.refreshFromPeers()
    await Promise.race([configurationSource.readNewest(), waitFor(READINESS_TIMEOUT_MS)])
  }

  private _applyConfiguration (accepted: AcceptedConfiguration): void {
    const { relay } = accepted.configuration
    if (relay === undefined) return
    this._relayTable = new RelayTable(relay)
    reportUnknownHomes(this._relayTable, this._hallRegions, this._options.log)
    this._relayServer.applyLimits(relay.limits)
    this._coordinator.refresh()
  }

  /** Counts the nodes considered alive, including this one. */
  countNodes (): number {
    return this._fleetMember.membership.countLive()
  }

  private _recordCompletion (completed: CompletedRequest): void {
    this._recentRequestCount.add(1)
    this._metrics.recordRequest(completed)
    const { id, route, customer, elapsedMs, end } = completed
    this._options.log.info('request_ended', { request: id, route, customer, result: end.result, attempts: end.attempts, prepared_ms: end.preparedMs, produced_ms: end.producedMs, upstream: end.lastUpstream, known_revision: formatPosition(end.known.revision), known_age_ms: Math.round(end.known.ageMs), took_ms: Math.round(elapsedMs) })
  }

  /** Delays the reassignment of jobs, because members are usually discovered one after the other. */
  private _scheduleJobMove (): void {
    if (this._isJobMoveScheduled) return
    this._isJobMoveScheduled = true
    this._options.clock.schedule(JOB_MOVE_DELAY_MS, () => {
      this._isJobMoveScheduled = false
      if (!this._isDisposed) this._preparationClient.moveMisplacedJobs()
    })
  }
}
