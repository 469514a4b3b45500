/**
 * A gate: recommends gates to callers, owns requests, runs their stages and streams their answers.
 */
import { parseAddress } from '../base/common/address.ts'
import { DecayingCounter } from '../base/common/decayingCounter.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IClock } from '../base/common/clock.ts'
import type { IRandom } from '../base/common/random.ts'
import { createRandomId } from '../base/node/digest.ts'
import { startInterval, waitFor } from '../base/node/interval.ts'
import { OperatorService, RequestService } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { CommittedWork } from '../services/admission/common/committedWork.ts'
import { compareConfigurationNumbers, formatConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import { ConfigurationService } from '../services/configuration/common/configurationService.ts'
import { FetchDeduplicator } from '../services/configuration/common/fetchDeduplicator.ts'
import { formatGateSubject } from '../services/facts/common/fact.ts'
import { FactStore } from '../services/facts/common/factStore.ts'
import { StewardSubscription } from '../services/facts/node/stewardSubscription.ts'
import { DecisionLog } from '../services/inspect/common/decisionLog.ts'
import { createOperatorHandlers } from '../services/inspect/node/operatorHandlers.ts'
import { isUsableGate, rankGates } from '../services/locate/common/locatePolicy.ts'
import type { GateView, LocatedGate } from '../services/locate/common/locatePolicy.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { MetricsServer } from '../services/metrics/node/metricsServer.ts'
import { PAUSE_CHECK_PERIOD_MS, PauseDetector } from '../services/pause/common/pauseDetector.ts'
import { RequestRunner } from '../services/pipeline/node/requestRunner.ts'
import { StageRunner } from '../services/pipeline/node/stageRunner.ts'
import { RpcServer } from '../services/rpc/node/rpcServer.ts'
import { UpstreamDirectory } from '../services/scheduling/common/upstreamDirectory.ts'
import { UpstreamScheduler } from '../services/scheduling/common/upstreamScheduler.ts'
import { SessionService } from '../services/session/common/sessionService.ts'
import { CheckpointSigner } from '../services/session/node/checkpointSigner.ts'
import { HttpUpstreamAdapter } from '../services/upstream/node/httpUpstreamAdapter.ts'
import { markLeaving } from '../services/upstream/node/upstreamWatcher.ts'
import { GateMetrics } from './gateMetrics.ts'
import { GateRequests } from './gateRequests.ts'
import type { GateSettings } from './gateSettings.ts'
import { createAdmission, createHealth, createLimiter, createQueue, createRetries, createRouter } from './policies.ts'
import { createRequestHandlers } from './requestHandlers.ts'

export interface GateOptions {
  readonly settings: GateSettings
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  /** Increases with each process start at this address. */
  readonly incarnation: number
}

const SESSION_ID_BYTES = 16
const QUEUE_SWEEP_PERIOD_MS = 20
const FACT_CLEANUP_PERIOD_MS = 60_000
/** Decay time constant of the count of recent requests, by which the load of gates is compared. */
const RECENT_REQUESTS_TIME_CONSTANT_MS = 3000
const ANNOUNCEMENT_CHECK_PERIOD_MS = 250
/** How often a gate announces itself when its load has not changed. */
const HEARTBEAT_PERIOD_MS = 1500
/** Change in the number of requests in progress, relative to the last announcement, that triggers a new one. */
const MIN_LOAD_CHANGE_RATIO = 0.25
/** How long a request waits for a configuration that its caller has already seen. */
const CONFIGURATION_TIMEOUT_MS = 500
const POLL_INTERVAL_MS = 20
/** How long a gate tries to refresh its view, for example after a pause, before it continues with the view it has. */
const REFRESH_TIMEOUT_MS = 2000
/** Time for callers to read the last answers before the gate stops. */
const STOP_GRACE_MS = 1000

export class Gate extends Disposable {
  private readonly _options: GateOptions
  /** Included in sessions, so that a restarted gate can reject sessions of its predecessor. */
  private readonly _incarnationId = createRandomId(8)
  private readonly _facts: FactStore
  private readonly _configuration: ConfigurationService
  private readonly _sessions: SessionService
  private readonly _scheduler: UpstreamScheduler
  private readonly _decisions: DecisionLog
  private readonly _pauseDetector: PauseDetector
  private readonly _recentRequests: DecayingCounter
  private readonly _subscription: StewardSubscription
  private readonly _requests: GateRequests
  private readonly _metrics: GateMetrics
  private readonly _onDidStop = this._register(new Emitter<void>())
  /** Fires at the end of a planned stop. */
  readonly onDidStop = this._onDidStop.event
  private readonly _startedAt: number
  private _factCounter = 0
  private _lastAnnouncement = { at: -Infinity, inFlight: 0 }
  private _locateCount = 0
  private _hasRefreshedView = false
  private _isDraining = false
  private _pendingRefresh: Promise<void> | undefined

  constructor (options: GateOptions) {
    super()
    this._options = options
    const { settings, clock } = options
    this._startedAt = clock.now()
    this._facts = this._register(new FactStore(clock))
    this._configuration = this._register(new ConfigurationService(clock))
    this._decisions = new DecisionLog(clock)
    this._pauseDetector = new PauseDetector({ clock, getTimeOfDay: Date.now })
    this._recentRequests = new DecayingCounter(clock, RECENT_REQUESTS_TIME_CONSTANT_MS)
    this._sessions = new SessionService({
      clock,
      createId: () => createRandomId(SESSION_ID_BYTES),
      lifetimeMs: settings.session_lifetime_ms,
      maxSessions: settings.max_sessions,
      maxRetainedSize: settings.kept_answers_mb * 1024 * 1024
    })
    this._scheduler = this._createScheduler()
    this._metrics = new GateMetrics({ sessions: this._sessions, facts: this._facts, pauseDetector: this._pauseDetector })
    this._subscription = this._register(this._createSubscription())
    this._requests = this._createRequests()
    this._register(this._configuration.onDidAccept(accepted => {
      options.log.info('configuration_accepted', { number: formatConfigurationNumber(accepted.number), source: accepted.source })
      this._announce()
    }))
    this._register(this._subscription.onDidConnect(() => { void this._refreshView() }))
  }

  async start (): Promise<void> {
    const { settings, clock, log } = this._options
    const listen = parseAddress(settings.listen ?? settings.address)
    if (listen === undefined) return
    const operator = createOperatorHandlers({ clock, log, configuration: this._configuration, inspector: this })
    const rpc = this._register(new RpcServer(router => {
      router.service(RequestService, createRequestHandlers(this._requests))
      router.service(OperatorService, operator)
    }))
    await rpc.listen(listen.host, listen.port)
    const metrics = settings.metrics_address === undefined ? undefined : parseAddress(settings.metrics_address)
    if (metrics !== undefined) await this._register(new MetricsServer(this._metrics.metrics)).listen(metrics.host, metrics.port)
    this._register(startInterval(PAUSE_CHECK_PERIOD_MS, () => this._checkPause()))
    this._register(startInterval(QUEUE_SWEEP_PERIOD_MS, () => this._scheduler.sweep()))
    this._register(startInterval(FACT_CLEANUP_PERIOD_MS, () => this._facts.removeExpired()))
    this._register(startInterval(ANNOUNCEMENT_CHECK_PERIOD_MS, () => this._announceIfDue()))
    log.info('listening', { address: settings.address, hall: settings.hall })
  }

  /** Stops accepting requests; resolves when those in progress have ended and callers have had time to read the answers. */
  async stop (): Promise<void> {
    this._startDraining()
    while (this._sessions.runningCount > 0) await waitFor(POLL_INTERVAL_MS)
    await waitFor(STOP_GRACE_MS)
    this._options.log.info('stopped', { address: this._options.settings.address })
    this._onDidStop.fire()
    this.dispose()
  }

  private _startDraining (): void {
    if (this._isDraining) return
    this._isDraining = true
    this._options.log.info('draining', { requests: this._sessions.runningCount })
    this._announce()
    this._subscription.pushNow()
  }

  /** Whether the gate has a view and a configuration, which it needs to accept requests. */
  get isReady (): boolean {
    return this._hasRefreshedView && this._configuration.current !== undefined
  }

  private _createScheduler (): UpstreamScheduler {
    const { settings, clock, random } = this._options
    return new UpstreamScheduler({
      clock,
      random,
      hall: settings.hall,
      directory: new UpstreamDirectory(clock, this._configuration, this._facts),
      router: createRouter(settings.policy, random),
      createQueue: () => createQueue(settings.policy),
      createLimiter: () => createLimiter(settings.policy),
      createHealth: () => createHealth(settings.policy),
      dropsInfeasible: settings.policy.queue === 'fair'
    })
  }

  private _createSubscription (): StewardSubscription {
    const { settings, log } = this._options
    return new StewardSubscription({
      link: {
        facts: this._facts,
        configuration: this._configuration,
        fetchGuard: new FetchDeduplicator(this._options.clock),
        log,
        hello: { kind: 'hello', role: 'gate', address: settings.address, hall: settings.hall },
        mayShareConfiguration: () => true,
        localAddress: settings.local_ip
      },
      listStewards: () => this._listStewards(),
      log
    })
  }

  private _createRequests (): GateRequests {
    const { settings, clock } = this._options
    const policy = settings.policy
    const adapter = this._register(new HttpUpstreamAdapter({ localAddress: settings.local_ip }))
    const committedWork = new CommittedWork(clock)
    const checkpointSigner = new CheckpointSigner({ key: settings.checkpoint_key, previousKey: settings.previous_checkpoint_key })
    const stageRunner = new StageRunner({
      clock,
      adapter,
      scheduler: this._scheduler,
      retries: createRetries(policy),
      decisions: this._decisions,
      canSend: () => !this._pauseDetector.isStale,
      waitUntilCanSend: () => this._waitUntilCanSend(),
      onDidReportLeaving: (upstream, incarnation) => {
        markLeaving(this._facts, upstream, incarnation, 'refused a gate')
        this._subscription.pushNow()
      },
      onDidEndAttempt: attempt => this._metrics.recordAttempt(attempt)
    })
    return new GateRequests({
      clock,
      address: settings.address,
      incarnation: this._incarnationId,
      configuration: this._configuration,
      sessions: this._sessions,
      scheduler: this._scheduler,
      admission: createAdmission(policy),
      committedWork,
      checkpointSigner,
      runner: new RequestRunner({ clock, stageRunner, committedWork, checkpointSigner, decisions: this._decisions, chunkIntervalMs: settings.chunk_interval_ms }),
      decisions: this._decisions,
      isReady: () => this.isReady,
      isDraining: () => this._isDraining,
      listGates: customer => this._listGates(customer),
      waitForConfiguration: number => this._waitForConfiguration(number),
      onWillProcessRequest: () => this._recentRequests.add(1),
      onDidFinishRequest: (pipeline, run) => this._metrics.recordRequest(pipeline, run, clock.now())
    })
  }

  /** Returns the stewards from the settings, then the live ones in the view, those of this hall first. */
  private _listStewards (): readonly string[] {
    const { settings } = this._options
    const live = this._facts.listByKind('member').map(fact => fact.value).filter(member => member.state === 'alive')
    const discovered = [...live.filter(member => member.hall === settings.hall), ...live.filter(member => member.hall !== settings.hall)]
    return [...new Set([...settings.stewards, ...discovered.map(member => member.address)])]
  }

  /** Announces this gate soon after its load has changed notably, or else as a heartbeat. */
  private _announceIfDue (): void {
    const inFlight = this._sessions.runningCount
    const minChange = Math.max(4, this._lastAnnouncement.inFlight * MIN_LOAD_CHANGE_RATIO)
    const isHeartbeatDue = this._options.clock.now() - this._lastAnnouncement.at >= HEARTBEAT_PERIOD_MS
    if (isHeartbeatDue || Math.abs(inFlight - this._lastAnnouncement.inFlight) >= minChange) this._announce()
  }

  private _announce (): void {
    this._lastAnnouncement = { at: this._options.clock.now(), inFlight: this._sessions.runningCount }

    const { settings, incarnation } = this._options
    const { address, hall } = settings
    const subject = formatGateSubject(address)
    // Uses at least the known incarnation: a gate whose clock is behind its predecessor's would otherwise be ignored.
    const knownIncarnation = this._facts.get(subject)?.incarnation ?? 0
    this._facts.merge({
      subject,
      incarnation: Math.max(incarnation, knownIncarnation),
      counter: ++this._factCounter,
      value: {
        kind: 'gate',
        address,
        hall,
        inFlight: this._sessions.runningCount,
        recentRequests: Math.round(this._recentRequests.value),
        draining: this._isDraining,
        ready: this.isReady,
        configuration: this._configuration.number
      },
      ageMs: 0
    })
  }

  private _listGates (customer: string): readonly LocatedGate[] {
    return rankGates({ customer, gates: this._listGateViews(), salt: `${this._incarnationId}/${this._locateCount++}` })
  }

  /** Returns the number of gates that this one would recommend now. */
  countUsableGates (): number {
    return this._listGateViews().filter(isUsableGate).length
  }

  private _listGateViews (): readonly GateView[] {
    const now = this._options.clock.now()
    return this._facts.listByKind('gate').map(fact => ({ ...fact.value, ageMs: now - fact.observedAt }))
  }

  private async _waitForConfiguration (number: ConfigurationNumber): Promise<boolean> {
    const timeoutAt = this._options.clock.now() + CONFIGURATION_TIMEOUT_MS
    const isBehind = () => compareConfigurationNumbers(this._configuration.number, number) < 0
    this._subscription.askForConfiguration()
    while (isBehind() && this._options.clock.now() < timeoutAt) await waitFor(POLL_INTERVAL_MS)
    return !isBehind()
  }

  private _checkPause (): void {
    if (this._pauseDetector.isStale) void this._refreshView()
  }

  private async _waitUntilCanSend (): Promise<void> {
    if (this._pauseDetector.isStale) await this._refreshView()
  }

  /**
   * Refreshes the view. If no steward answers, the gate continues with the view it has, so that a partitioned part of
   * the system keeps serving.
   */
  private _refreshView (): Promise<void> {
    this._pendingRefresh ??= this._readView().finally(() => { this._pendingRefresh = undefined })
    return this._pendingRefresh
  }

  private async _readView (): Promise<void> {
    const timeoutAt = this._options.clock.now() + REFRESH_TIMEOUT_MS
    let isRefreshed = await this._subscription.refresh()
    while (!isRefreshed && !this._isDisposed && this._options.clock.now() < timeoutAt) {
      await waitFor(POLL_INTERVAL_MS)
      isRefreshed = await this._subscription.refresh()
    }
    if (isRefreshed) this._hasRefreshedView = true
    if (!isRefreshed && this._pauseDetector.isStale) this._options.log.warn('view_not_refreshed', { steward: this._subscription.stewardAddress })
    this._pauseDetector.markRefreshed()
    this._announce()
  }

  dump (): object {
    const now = this._options.clock.now()
    const { settings } = this._options
    return {
      program: 'gate',
      ageMs: Math.round(now - this._startedAt),
      address: settings.address,
      hall: settings.hall,
      incarnation: this._incarnationId,
      ready: this.isReady,
      draining: this._isDraining,
      steward: this._subscription.stewardAddress,
      stewardLinks: this._subscription.linkCount,
      configuration: this._configuration.number,
      pauses: this._pauseDetector.pauseCount,
      policy: settings.policy,
      upstreams: this._scheduler.describe(),
      sessions: this._sessions.sessions.map(session => ({
        customer: session.customer,
        expiresInMs: Math.round(session.expiresAt - now),
        intervals: session.seenRequestNumbers.intervalCount,
        running: [...session.runs.values()].filter(run => run.outcome === undefined).length,
        kept: session.runs.size
      })),
      facts: this._facts.list().map(fact => ({ ...fact, observedAt: undefined, ageMs: Math.round(now - fact.observedAt) })),
      decisions: this._decisions.listLast(100)
    }
  }

  explain (requestId: string) {
    const [sessionId = '', number = ''] = requestId.split('/')
    const runOutcome = this._sessions.findRun(sessionId, Number(number)).toMaybe().extractNullable()?.outcome
    return { decisions: this._decisions.find(requestId), costs: runOutcome?.costs ?? [] }
  }

  drain () {
    if (!this._isDraining) void this.stop()
    return { requestsInProgress: this._sessions.runningCount, sessions: this._sessions.sessions.length }
  }
}
