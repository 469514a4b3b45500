/**
 * A node: one process a host that relays callers' requests to upstreams and keeps its own view of the fleet. It holds
 * the parts of a gate and a steward, joined in memory; how callers, upstreams and the configuration's source speak is
 * given to it.
 */
import { Agent } from 'node:http'
import { parseAddress } from '../base/common/address.ts'
import type { ISuspendableClock } from '../base/common/clock.ts'
import { DecayingCount } from '../base/common/decayingCount.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IRandom } from '../base/common/random.ts'
import { startInterval, waitFor } from '../base/node/interval.ts'
import { BackoffPieceCalls } from '../services/backoff/node/backoffPieceCalls.ts'
import type { ConfigurationSource } from '../services/configuration/common/configurationSource.ts'
import { formatNumber } from '../services/configuration/common/configurationNumber.ts'
import type { AcceptedConfiguration } from '../services/configuration/common/configurationService.ts'
import { formatPosition } from '../services/feed/common/sourcePosition.ts'
import { FeedService } from '../services/feed/node/feedService.ts'
import { EjectingTracker } from '../services/health/common/healthTracker.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { HallRegions } from '../services/locate/common/hallRegions.ts'
import type { AddressAnswer, CallerPlace } from '../services/locate/common/nodeDirectory.ts'
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
import { QuarantineService } from '../services/quarantine/node/quarantineService.ts'
import { createLimitsHandler } from '../services/quota/node/limitsHandler.ts'
import { RateLimitedPieceCalls } from '../services/quota/node/rateLimitedPieceCalls.ts'
import type { CallerProtocol, UpstreamProtocol } from '../services/relay/common/relayProtocol.ts'
import { RelayPool } from '../services/relay/common/relayPool.ts'
import { AffinityRouter } from '../services/relay/common/relayRouter.ts'
import { estimateReadyMs } from '../services/relay/common/readyForecast.ts'
import { RelayTable } from '../services/relay/common/relayTable.ts'
import { RelayServer } from '../services/relay/node/relayServer.ts'
import type { CompletedRequest } from '../services/relay/node/relayServer.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import { WindowedRetryBudget } from '../services/retry/common/windowedRetryBudget.ts'
import { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { UpstreamSource } from '../services/upstream/common/upstreamSource.ts'
import { CallerDirectory } from './callerDirectory.ts'
import { CoordinatorDirectory } from './coordinatorDirectory.ts'
import { createNodeGauges } from './nodeGauges.ts'
import { NodeMetrics } from './nodeMetrics.ts'
import { NodeQuota } from './nodeQuota.ts'
import { NodeReport } from './nodeReport.ts'
import type { NodeSettings } from './nodeSettings.ts'
import { NodeStatements } from './nodeStatements.ts'
import { PlannedStop } from './plannedStop.ts'
import { createStatementsHandler } from './statementsHandler.ts'
import { UpstreamSharing } from './upstreamSharing.ts'

export interface EntryNodeOptions {
  readonly settings: NodeSettings
  readonly clock: ISuspendableClock
  readonly random: IRandom
  readonly log: ILogService
  /** Grows with each boot of the host. */
  readonly incarnation: number
  readonly callerProtocol: CallerProtocol
  readonly upstreamProtocol: UpstreamProtocol
  readonly pieceProtocol: PieceProtocol
  readonly configurationSource: ConfigurationSource
  readonly upstreamSource: UpstreamSource
}

/** How often a node looks whether it has something new to say of itself. */
const REPORT_PERIOD_MS = 200
/** A connection to an upstream that was idle for so long may be closed there at any moment. */
const IDLE_CONNECTION_MS = 3000
/** How long a starting node waits for the source and its peers before it goes on with what it has. */
const READY_WAIT_MS = 3000
/** Until nodes know each other, each coordinates its own jobs; after a loss of power they start in any order. */
const SEED_PERIOD_MS = 200
const LOAD_MEMORY_MS = 5000
/** The part of the fleet's retries that is handed out; the rest covers what nodes see differently. */
const RETRY_SAFETY = 0.8
/** A document reaches 195 nodes in three steps of some 50 ms each; it has to be in force within 2 s. */
const MISSED_DOCUMENT_MS = 600
/** Changes of members within this time move jobs once. */
const MOVE_DELAY_MS = 40

export class EntryNode extends Disposable {
  private readonly _options: EntryNodeOptions
  private readonly _member: FleetMember
  private readonly _registry = this._register(new UpstreamRegistry())
  private readonly _regions: HallRegions
  private readonly _directory: CallerDirectory
  private readonly _pause: PauseDetector
  private readonly _recovery: PauseRecovery
  private readonly _recent: DecayingCount
  private readonly _metrics: NodeMetrics
  private readonly _quarantine: QuarantineService
  private readonly _quota: NodeQuota
  private readonly _statements: NodeStatements
  private readonly _relay: RelayServer
  private readonly _coordinator: PreparationCoordinator
  private readonly _preparation: PreparationClient
  private readonly _preparationServer: PreparationServer
  private readonly _onDidStop = this._register(new Emitter<void>())
  /** What this node tells others of the source of upstreams and configuration, and is told by them. */
  readonly feed: FeedService
  /** Fired at the end of a planned stop. */
  readonly onDidStop = this._onDidStop.event
  private _settings: NodeSettings
  private _table: RelayTable | undefined
  private readonly _report: NodeReport
  private _isDraining = false
  private readonly _startedAt: number
  private readonly _sharing: UpstreamSharing
  private _isMoving = false

  constructor (options: EntryNodeOptions) {
    super()
    this._options = options
    this._settings = options.settings
    const { clock, log, random, settings } = options
    this._startedAt = clock.now()
    this._regions = new HallRegions(settings.hall_regions)
    this._pause = new PauseDetector({ clock, getTimeOfDay: Date.now })
    this._recent = new DecayingCount(clock, LOAD_MEMORY_MS)
    this._member = this._register(new FleetMember({
      ...options,
      address: settings.address,
      hall: settings.hall,
      listSeeds: () => this._settings.seeds,
      readyWaitMs: READY_WAIT_MS,
      isSourceNewest: true,
      seedPeriodMs: SEED_PERIOD_MS,
      hasGates: false,
      weight: Math.round(settings.core_share * settings.core_speed * 100)
    }))
    this._recovery = this._register(new PauseRecovery({
      clock,
      log,
      detector: this._pause,
      comparePeerClocks: () => this._member.gossip.compareClocks(),
      refreshState: () => this._readAnew()
    }))
    this._register(this._member.gossip.onDidCompareClocks(gainMs => this._recovery.recordPeerClockGain(gainMs)))
    this.feed = this._register(new FeedService({
      own: settings,
      clock,
      log,
      links: this._member.gossip,
      listMembers: () => this._member.membership.listLive(),
      hasMembers: () => this._member.hasJoined
    }))
    const getTable = () => this._table
    this._directory = new CallerDirectory({
      clock,
      facts: this._member.facts,
      membership: this._member.membership,
      regions: this._regions,
      hall: settings.hall,
      getTable,
      getOwnAddress: () => this.isReady ? this._settings.callers_address : undefined,
      getMaxKeepMs: () => this._settings.keep_s * 1000
    })
    const links = this._register(new CoordinatorLinks({ clock, log }))
    const coordinators = new CoordinatorDirectory({ listLive: () => this._member.membership.listLive(), port: settings.preparation_port })
    const coordinatorAddress = coordinators.formatAddress(settings.address)
    this._quota = this._register(new NodeQuota({
      clock,
      log,
      facts: this._member.facts,
      registry: this._registry,
      links,
      node: settings.address,
      incarnation: options.incarnation,
      coordinatorAddress,
      findCoordinator: hall => coordinators.find(hall),
      mayOwn: () => this._member.hasJoined && !this._isDraining && !this._pause.isStale,
      membership: this._member.membership,
      getTable,
      coldShare: settings.cold_share,
      coldSpare: settings.cold_spare
    }))
    this._statements = this._register(new NodeStatements({ clock, log, registry: this._registry, noteRate: (upstream, perS) => this._quota.stated.recordLimit(upstream, perS) }))
    const { backoffs, guard } = this._statements
    const protocol = new BackoffPieceCalls(new RateLimitedPieceCalls(options.pieceProtocol, this._quota.service), backoffs, clock)
    this._register(protocol.onDidReceiveStatement(stated => this._statements.note(stated)))
    this._coordinator = this._register(new PreparationCoordinator({ clock, log, protocol, registry: this._registry, getTable, limits: this._quota.limits, guard }))
    this._preparationServer = this._register(new PreparationServer(this._coordinator, log, (upstream, limit) => this._quota.answer(upstream, limit)))
    this._preparation = this._register(new PreparationClient({
      clock,
      log,
      protocol,
      links,
      registry: this._registry,
      coordinator: this._coordinator,
      isMembershipKnown: () => this._member.hasJoined,
      onDidReceiveMembers: this._member.onDidJoin,
      address: coordinatorAddress,
      listCoordinators: () => coordinators.list(),
      listPieceUpstreams: () => (this._table?.listPieceRoles() ?? []).flatMap(role => this._registry.listAvailable(role.name))
    }))
    this._quarantine = this._register(new QuarantineService({ clock, log, facts: this._member.facts, registry: this._registry, node: settings.address, incarnation: options.incarnation }))
    const agent = new Agent({ keepAlive: true, timeout: IDLE_CONNECTION_MS, scheduling: 'lifo' })
    this._register(toDisposable(() => agent.destroy()))
    this._relay = this._register(new RelayServer({
      context: {
        clock,
        random,
        log,
        hall: settings.hall,
        regions: this._regions,
        agent,
        upstreamProtocol: options.upstreamProtocol,
        registry: this._registry,
        pool: new RelayPool({ clock, registry: this._registry, router: new AffinityRouter({ random }), createHealth: () => new EjectingTracker(), countNodes: () => this.countNodes(), hasTerminated: id => this._quarantine.hasEnded(id), quota: this._quota.service, backoffs }),
        guard,
        backoffs,
        recordStatements: stated => this._statements.note(stated),
        quota: this._quota.service,
        retry: new WindowedRetryBudget({ clock, windowMs: settings.retry_window_s * 1000, retryRatio: settings.retry_share * RETRY_SAFETY, getBaseRetries: () => settings.retry_spare * RETRY_SAFETY / this.countNodes() }),
        preparation: this._preparation,
        releaseDelay: new ReleaseDelay(),
        quarantine: this._quarantine
      },
      callerProtocol: options.callerProtocol,
      getTable,
      describeConfiguration: () => this._describeConfiguration(),
      findReadinessError: () => this._findObstacle(),
      estimateReadinessDelayMs: () => estimateReadyMs({ isOutage: this._member.isReady && this._table === undefined, sinceMs: clock.now() - this._startedAt })
    }))
    this._metrics = new NodeMetrics(createNodeGauges({ clock, relay: this._relay, member: this._member, registry: this._registry, coordinator: this._coordinator, quota: this._quota, statements: this._statements, quarantine: this._quarantine, pause: this._pause }))
    this._register(this._statements.onDidNote(kind => this._metrics.countStatement(kind)))
    this._report = new NodeReport({
      clock,
      facts: this._member.facts,
      address: settings.callers_address,
      hall: settings.hall,
      incarnation: options.incarnation,
      getState: () => ({ isReady: this.isReady, isDraining: this._isDraining, inFlight: this._relay.activeRequestCount, recentRequests: Math.round(this._recent.value), configuration: this._member.configuration.number }),
      onDidReport: ({ isDraining }) => this._member.gossip.spreadNow(isDraining)
    })
    this._register(this._relay.onDidEnd(ended => this._noteEnd(ended)))
    this._register(this._member.configuration.onDidAccept(accepted => this._apply(accepted)))
    this._sharing = this._register(new UpstreamSharing({ clock, log, facts: this._member.facts, registry: this._registry, source: options.upstreamSource, getColdMs: role => this._table?.getRole(role)?.coldMs ?? 0 }))
    this._register(this._member.facts.onDidChange(fact => { if (fact.value.kind === 'member') this._scheduleMove() }))
    this._register(this._member.onDidJoin(() => this._scheduleMove()))
    for (const source of [options.configurationSource, options.upstreamSource]) this._register(source)
    this._register(options.configurationSource.onDidRead(document => this._member.offer(document)))
    this._register(options.configurationSource.onDidMiss(revision => this._readMissed(revision)))
  }

  /** Whether callers should use this node. */
  get isReady (): boolean {
    return !this._isDraining && this._findObstacle() === undefined
  }

  async start (): Promise<void> {
    const { settings, log, configurationSource } = this._options
    log.info('starting', { node: settings.name, hall: settings.hall, address: settings.address, seeds: settings.seeds.length })
    const address = parseAddress(settings.address)
    const callers = parseAddress(settings.callers_address)
    if (address === undefined || callers === undefined) throw new PepperwoodError({ name: 'settingsInvalid', message: 'bad address', place: 'address' })
    await this._member.listen(address)
    await this._preparationServer.listen(address.host, settings.preparation_port)
    await this._relay.listen(callers.host, callers.port)
    await this._serveMetrics(address.host)
    this._recovery.start()
    this._register(startInterval(REPORT_PERIOD_MS, () => this._report.refresh()))
    this._sharing.start()
    configurationSource.start()
    await this._member.join(configurationSource.readNewest())
    this._report.refresh()
  }

  /** Requests are served also where the metrics' port is taken. */
  private async _serveMetrics (host: string): Promise<void> {
    const port = this._options.settings.metrics_port
    if (port === undefined) return
    try {
      await this._register(new MetricsServer(this._metrics.metrics, [createQuarantineHandler(this._quarantine, this._options.clock), createLimitsHandler(this._quota.stated), createStatementsHandler({ clock: this._options.clock, registry: this._registry, facts: this._member.facts, backoffs: this._statements.backoffs })])).listen(host, port)
    } catch (thrown) {
      this._options.log.warn('metrics_unavailable', { port, reason: String(thrown) })
    }
  }

  /** Which addresses callers should use, and for how long. */
  locate (place: CallerPlace): AddressAnswer {
    return this._directory.locate(place)
  }

  /** Takes in settings that may change while the process runs; the others need a new start. */
  applySettings (settings: NodeSettings): void {
    this._options.log.info('reloaded', { node: settings.name, seeds: settings.seeds.join(',') })
    this._settings = { ...this._settings, seeds: settings.seeds, keep_s: settings.keep_s, stop_grace_s: settings.stop_grace_s }
  }

  /** A planned stop: peers are told, callers are sent elsewhere, and what runs is finished. */
  async stop (): Promise<void> {
    if (this._isDraining) return
    const { clock, log } = this._options
    const graceMs = this._settings.stop_grace_s * 1000
    const ending = new PlannedStop({ clock, relay: this._relay, graceMs })
    this._isDraining = true
    log.info('stopping', { open: this._relay.activeRequestCount, grace_ms: graceMs })
    this._report.refresh()
    this._relay.drain()
    await this._member.leave()
    if (this._preparation.hasOtherCoordinator()) this._coordinator.drain()
    await ending.run()
    log.info('stopped', { open: this._relay.activeRequestCount, took_ms: Math.round(ending.tookMs) })
    this._onDidStop.fire()
    this.dispose()
  }

  private _describeConfiguration (): string {
    const { current, number } = this._member.configuration
    const ageMs = current === undefined ? 0 : this._options.clock.now() - current.acceptedAt
    return `${formatNumber(number)} for ${Math.round(ageMs)} ms`
  }

  private _findObstacle (): PepperwoodError | undefined {
    if (!this._member.isReady || this._table === undefined) return new PepperwoodError({ name: 'gateNotReady', message: 'no configuration is known yet' })
    if (this._pause.isStale) return new PepperwoodError({ name: 'gateNotReady', message: 'what is known is from before a pause' })
    return undefined
  }

  /** Peers hand a new document on within this time, or this node reads it by itself. */
  private _readMissed (revision: number): void {
    this._options.clock.schedule(MISSED_DOCUMENT_MS, () => {
      const held = this._member.configuration.current?.revision ?? 0
      if (!this._isDisposed && held < revision) void this._options.configurationSource.readNewest()
    })
  }

  /** What changed while this process stood still: configuration, upstreams, members. */
  private async _readAnew (): Promise<void> {
    const { configurationSource } = this._options
    this._quota.forgetOwned()
    this._statements.backoffs.expireBackoffs()
    this._member.askPeers()
    await Promise.race([configurationSource.readNewest(), waitFor(READY_WAIT_MS)])
  }

  private _apply (accepted: AcceptedConfiguration): void {
    const { relay } = accepted.configuration
    if (relay === undefined) return
    this._table = new RelayTable(relay)
    this._checkHomes(this._table)
    this._relay.applyLimits(relay.limits)
    this._coordinator.refresh()
  }

  /** A home that no hall lies in keeps binding: its requests are refused, and operators see why. */
  private _checkHomes (table: RelayTable): void {
    for (const { of, regions } of table.listAllHomeRegions()) {
      for (const region of this._regions.listUnknown(regions)) this._options.log.warn('home_unknown', { of, region })
    }
  }

  /** Nodes taken for alive, this one included. */
  countNodes (): number {
    return this._member.membership.countLive()
  }

  private _noteEnd (ended: CompletedRequest): void {
    this._recent.add(1)
    this._metrics.record(ended)
    const { id, route, customer, elapsedMs, end } = ended
    this._options.log.info('request_ended', { request: id, route, customer, result: end.result, attempts: end.attempts, prepared_ms: end.preparedMs, produced_ms: end.producedMs, upstream: end.lastUpstream, known_revision: formatPosition(end.known.revision), known_age_ms: Math.round(end.known.ageMs), took_ms: Math.round(elapsedMs) })
  }

  /** Members become known one after the other. */
  private _scheduleMove (): void {
    if (this._isMoving) return
    this._isMoving = true
    this._options.clock.schedule(MOVE_DELAY_MS, () => {
      this._isMoving = false
      if (!this._isDisposed) this._preparation.moveMisplacedJobs()
    })
  }
}
