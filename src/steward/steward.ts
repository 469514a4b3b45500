/**
 * A steward: one per host. It takes in the configuration and the host list, watches upstreams, keeps membership
 * and pushes its view to gates.
 */
import { parseAddress } from '../base/common/address.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IClock } from '../base/common/clock.ts'
import type { IRandom } from '../base/common/random.ts'
import { startInterval, waitFor } from '../base/node/interval.ts'
import { OperatorService } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Upstream } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatNumber } from '../services/configuration/common/configurationNumber.ts'
import { ConfigurationService } from '../services/configuration/common/configurationService.ts'
import type { AcceptedConfiguration } from '../services/configuration/common/configurationService.ts'
import { FetchGuard } from '../services/configuration/common/fetchGuard.ts'
import { parseHostList } from '../services/configuration/common/hostList.ts'
import type { Host } from '../services/configuration/common/hostList.ts'
import { PlatformReader } from '../services/configuration/node/platformReader.ts'
import type { PlatformValue } from '../services/configuration/node/platformReader.ts'
import { ValueWatcher } from '../services/configuration/node/valueWatcher.ts'
import { formatLoadSubject } from '../services/facts/common/fact.ts'
import { FactStore } from '../services/facts/common/factStore.ts'
import type { HeldFact } from '../services/facts/common/factStore.ts'
import { PeerLink, sumTraffic } from '../services/facts/node/peerLink.ts'
import type { LinkTraffic } from '../services/facts/node/peerLink.ts'
import { DecisionLog } from '../services/inspect/common/decisionLog.ts'
import { createOperatorHandlers } from '../services/inspect/node/operatorHandlers.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { ordersHall, watchesPlatform, watchesUpstream } from '../services/membership/common/duty.ts'
import { MembershipTable } from '../services/membership/common/membershipTable.ts'
import type { Member } from '../services/membership/common/membershipTable.ts'
import { GossipService } from '../services/membership/node/gossipService.ts'
import { MetricsRegistry, MetricsServer } from '../services/metrics/node/metricsServer.ts'
import { OrderService } from '../services/order/node/orderService.ts'
import { FrameServer } from '../services/rpc/node/frameServer.ts'
import { RpcServer } from '../services/rpc/node/rpcServer.ts'
import { HttpUpstreamAdapter } from '../services/upstream/node/httpUpstreamAdapter.ts'
import { markLeaving, UpstreamWatcher } from '../services/upstream/node/upstreamWatcher.ts'
import type { StewardSettings } from './stewardSettings.ts'

export interface StewardOptions {
  readonly settings: StewardSettings
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  /** Grows with each boot of the host. */
  readonly incarnation: number
}

export const CONFIGURATION_KEY = 'pepperwood/configuration'
export const HOSTS_KEY = 'pepperwood/hosts'

/** How often gates get what is new. */
const GATE_PUSH_PERIOD_MS = 100
/** How often the number of the configuration in force is compared with the peers'. */
const ANNOUNCE_PERIOD_MS = 1000
/** Members whose configuration is compared each time; a new one is announced to all. */
const COMPARED_COUNT = 2
const FORGET_PERIOD_MS = 60_000
const LEAVE_SPREAD_MS = 500
const READY_POLL_MS = 20

export class Steward extends Disposable {
  private readonly _options: StewardOptions
  private readonly _facts: FactStore
  private readonly _configuration: ConfigurationService
  private readonly _fetchGuard: FetchGuard
  private readonly _membership: MembershipTable
  private readonly _gossip: GossipService
  private readonly _decisions: DecisionLog
  private readonly _metrics = new MetricsRegistry()
  private readonly _accepted = new Set<PeerLink>()
  private readonly _onDidStop = this._register(new Emitter<void>())
  /** Fired at the end of a planned stop. */
  readonly onDidStop = this._onDidStop.event
  private _hosts: readonly Host[] = []
  private _closedTraffic: LinkTraffic = { sent: 0, received: 0 }
  private _isReady = false
  private _isDraining = false

  constructor (options: StewardOptions) {
    super()
    this._options = options
    const { settings, clock, random } = options
    this._facts = this._register(new FactStore(clock))
    this._configuration = this._register(new ConfigurationService(clock))
    this._fetchGuard = new FetchGuard(clock)
    this._decisions = new DecisionLog(clock, 2000)
    this._membership = this._register(new MembershipTable({ ...options, address: settings.address, hall: settings.hall, facts: this._facts }))
    this._gossip = this._register(new GossipService({
      membership: this._membership,
      random,
      link: { ...this._createLinkOptions(), localAddress: settings.local_ip },
      listSeeds: () => this._listSeeds(),
      probePeriodMs: settings.probe_period_ms
    }))
    this._register(this._configuration.onDidAccept(accepted => this._handleAccepted(accepted)))
    this._register(this._facts.onDidChange(fact => this._handleFact(fact)))
    this._addMetrics()
  }

  /** Starts serving; resolves when the steward is ready, which does not need the platform or peers to live. */
  async start (): Promise<void> {
    const { settings, log } = this._options
    await this._listen()
    const configurationWatcher = this._watchValue(CONFIGURATION_KEY, value => this._offer(value))
    this._watchValue(HOSTS_KEY, value => this._takeHosts(value))
    this._startUpstreamDuties()
    this._register(startInterval(GATE_PUSH_PERIOD_MS, () => this._pushToGates()))
    this._register(startInterval(FORGET_PERIOD_MS, () => this._facts.dropOldGates()))
    this._register(startInterval(ANNOUNCE_PERIOD_MS, () => this._announceConfiguration(COMPARED_COUNT)))
    await this._waitUntilReady(configurationWatcher)
    this._isReady = true
    log.info('ready', { address: settings.address, hall: settings.hall, configuration: formatNumber(this._configuration.number) })
    this._announceConfiguration()
  }

  /** A planned stop: peers are told, and take over at once. */
  async stop (): Promise<void> {
    if (this._isDraining) return
    this._isDraining = true
    this._membership.leave()
    this._gossip.spreadNow()
    this._pushToGates()
    await waitFor(LEAVE_SPREAD_MS)
    this._options.log.info('stopped', { address: this._options.settings.address })
    this._onDidStop.fire()
    this.dispose()
  }

  private async _listen (): Promise<void> {
    const { settings, clock, log } = this._options
    const listen = parseAddress(settings.listen ?? settings.address)
    const operator = parseAddress(settings.operator_address)
    if (listen === undefined || operator === undefined) return
    const frames = this._register(new FrameServer(connection => this._accept(new PeerLink({ ...this._createLinkOptions(), connection }))))
    await frames.listen(listen.host, listen.port)
    const handlers = createOperatorHandlers({ clock, log, configuration: this._configuration, inspector: this })
    const rpc = this._register(new RpcServer(router => { router.service(OperatorService, handlers) }))
    await rpc.listen(operator.host, operator.port)
    const metrics = settings.metrics_address === undefined ? undefined : parseAddress(settings.metrics_address)
    if (metrics !== undefined) await this._register(new MetricsServer(this._metrics)).listen(metrics.host, metrics.port)
  }

  /** The highest of the platform's and the peers' documents is taken before anything is handed on. */
  private async _waitUntilReady (configurationWatcher: ValueWatcher): Promise<void> {
    const until = this._options.clock.now() + this._options.settings.ready_wait_ms
    const [reached] = await Promise.all([this._gossip.meetSeeds(), Promise.race([configurationWatcher.firstRead, waitFor(this._options.settings.ready_wait_ms)])])
    const refreshed = new Set<PeerLink>()
    for (const link of this._gossip.links) {
      link.onDidReceive(message => { if (message.kind === 'refreshed') refreshed.add(link) })
      link.send({ kind: 'refresh', id: 0 })
    }
    while (refreshed.size < reached && this._options.clock.now() < until) await waitFor(READY_POLL_MS)
  }

  private _createLinkOptions () {
    const { settings, log } = this._options
    return {
      facts: this._facts,
      configuration: this._configuration,
      fetchGuard: this._fetchGuard,
      log,
      hello: { kind: 'hello' as const, role: 'steward' as const, address: settings.address, hall: settings.hall },
      mayShareConfiguration: () => this._isReady
    }
  }

  private _accept (link: PeerLink): void {
    this._accepted.add(this._register(link))
    link.onDidClose(() => {
      this._accepted.delete(link)
      this._closedTraffic = sumTraffic([this._closedTraffic, link.traffic])
      this._release(link)
    })
    link.onDidReceive(message => {
      if (message.kind === 'refresh') this._answerRefresh(link, message.id)
      else this._gossip.handleMessage(link, message)
    })
  }

  private _answerRefresh (link: PeerLink, id: number): void {
    link.sendNews()
    link.sendConfiguration()
    link.send({ kind: 'refreshed', id })
  }

  /** Compares numbers with all processes; for gates it is also the sign that this steward lives. */
  private _announceConfiguration (count = Infinity): void {
    this._gossip.announceConfiguration(count)
    for (const link of this._listGateLinks()) link.announceConfiguration()
  }

  private _pushToGates (): void {
    for (const link of this._listGateLinks()) link.sendNews()
  }

  private _listGateLinks (): readonly PeerLink[] {
    return [...this._accepted].filter(link => link.peerRole === 'gate')
  }

  private _watchValue (key: string, onDidRead: (value: PlatformValue) => void): ValueWatcher {
    const { settings, log } = this._options
    const calls = this._metrics.createCounter(`platform_calls_${key.split('/')[1]}_total`, 'Calls to the platform', ['result'])
    const reader = new PlatformReader({
      addresses: settings.platform,
      localAddress: settings.local_ip,
      onDidCall: isOk => calls.inc({ result: isOk ? 'ok' : 'failed' })
    })
    const isOnDuty = () => watchesPlatform(settings.hall, settings.address, this._membership.listLive())
    return this._register(new ValueWatcher({ reader, key, log, isOnDuty, onDidRead }))
  }

  private _offer (value: PlatformValue): void {
    this._configuration.offer({ text: value.value, revision: value.revision }, 'platform').ifLeft(error => {
      this._options.log.warn('configuration_refused', { code: error.code, reason: error.message, place: error.place, value: error.value })
    })
  }

  private _handleAccepted (accepted: AcceptedConfiguration): void {
    this._options.log.info('configuration_accepted', { number: formatNumber(accepted.number), source: accepted.source })
    this._announceConfiguration()
  }

  private _takeHosts (value: PlatformValue): void {
    parseHostList(value.value).caseOf({
      Left: error => this._options.log.warn('hosts_refused', { code: error.code, reason: error.message }),
      Right: hosts => {
        this._hosts = hosts
        for (const host of hosts) if (host.kind === 'upstream' && host.state === 'leaving') this._markHostLeaving(host)
      }
    })
  }

  private _markHostLeaving (host: Host): void {
    for (const upstream of this._listUpstreams().filter(item => item.address === host.address)) {
      const known = this._facts.get(formatLoadSubject(upstream.name))?.incarnation ?? 0
      markLeaving(this._facts, upstream.name, host.boot === 0 ? known : host.boot, 'host list')
    }
  }

  private _handleFact (fact: HeldFact): void {
    const { value } = fact
    if (value.kind === 'leaving') {
      this._options.log.info('upstream_leaving', { upstream: value.upstream, incarnation: fact.incarnation, signal: value.signal, source: fact.source })
    } else if (value.kind === 'member') {
      this._options.log.info('member_changed', { member: value.address, state: value.state, incarnation: fact.incarnation })
    } else {
      return
    }
    // What matters at once does not wait for the next round.
    this._gossip.spreadNow()
    this._pushToGates()
  }

  private _startUpstreamDuties (): void {
    const { settings, clock, log } = this._options
    const adapter = new HttpUpstreamAdapter({ localAddress: settings.local_ip })
    this._register(adapter)
    const reads = this._metrics.createCounter('upstream_reports_total', 'Reports read from upstreams', ['result'])
    const listDuties = (isMine: (upstream: Upstream, live: readonly Member[]) => boolean) => {
      const live = this._membership.listLive()
      return this._listUpstreams().filter(upstream => isMine(upstream, live))
    }
    this._register(new UpstreamWatcher({
      adapter,
      clock,
      facts: this._facts,
      listWatched: () => listDuties((upstream, live) => watchesUpstream(upstream.name, settings.address, live)),
      onDidRead: isOk => reads.inc({ result: isOk ? 'ok' : 'failed' }),
      periodMs: settings.report_period_ms
    }))
    this._register(new OrderService({
      adapter,
      clock,
      facts: this._facts,
      configuration: this._configuration,
      decisions: this._decisions,
      log,
      listOrdered: () => this._isReady && !this._isDraining
        ? listDuties((upstream, live) => ordersHall(upstream.hall, settings.address, live))
        : [],
      hearsMajority: () => this._hearsMajority()
    }))
  }

  private _hearsMajority (): boolean {
    const members = this._membership.listMembers().filter(member => member.state !== 'left')
    const heard = members.filter(member => member.state === 'alive')
    return heard.length * 2 > members.length
  }

  private _listUpstreams (): readonly Upstream[] {
    return this._configuration.current?.configuration.upstreams ?? []
  }

  private _listSeeds (): readonly string[] {
    const listed = this._hosts.filter(host => host.kind === 'entry' && host.state === 'live').map(host => host.address)
    return [...new Set([...this._options.settings.seeds, ...listed])]
  }

  private _getTraffic (): LinkTraffic {
    return sumTraffic([this._closedTraffic, this._gossip.traffic, ...[...this._accepted].map(link => link.traffic)])
  }

  private _addMetrics (): void {
    this._metrics.addProcessMetrics()
    this._metrics.createGauge('members_live', 'Stewards taken for alive', () => this._membership.listLive().length)
    this._metrics.createGauge('suspicions_total', 'Stewards suspected by this one', () => this._membership.suspicionCount)
    this._metrics.createGauge('control_bytes_sent', 'Bytes sent to other processes of the system', () => this._getTraffic().sent)
    this._metrics.createGauge('control_bytes_received', 'Bytes received from other processes of the system', () => this._getTraffic().received)
    this._metrics.createGauge('upstreams_leaving', 'Upstream incarnations marked as leaving', () => this._facts.listKind('leaving').length)
    this._metrics.createGauge('facts', 'Facts held', () => this._facts.size)
    this._metrics.createGauge('gates_linked', 'Gates linked to this steward', () => this._listGateLinks().length)
    this._metrics.createGauge('configuration_version', 'Version of the configuration in force', () => this._configuration.number.version)
  }

  dump (): object {
    const now = this._options.clock.now()
    return {
      program: 'steward',
      address: this._options.settings.address,
      hall: this._options.settings.hall,
      incarnation: this._membership.incarnation,
      ready: this._isReady,
      draining: this._isDraining,
      configuration: this._configuration.number,
      members: this._membership.listMembers(),
      facts: this._facts.list().map(fact => ({ ...fact, observedAt: undefined, ageMs: Math.round(now - fact.observedAt) })),
      links: this._gossip.links.map(link => link.peerAddress),
      gates: this._listGateLinks().map(link => link.peerAddress),
      hosts: this._hosts,
      decisions: this._decisions.listLast(50)
    }
  }

  explain (subject: string) {
    return { decisions: this._decisions.find(subject), costs: [] }
  }

  drain () {
    if (!this._isDraining) void this.stop()
    return { requestsInProgress: 0, sessions: 0 }
  }
}
