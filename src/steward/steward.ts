/**
 * A steward, one per host: reads the configuration and the host list, watches upstreams, maintains membership and
 * pushes its view to gates.
 */
import { parseAddress } from '../base/common/address.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IClock } from '../base/common/clock.ts'
import type { IRandom } from '../base/common/random.ts'
import { OperatorService } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Upstream } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { parseHostList } from '../services/configuration/common/hostList.ts'
import type { Host } from '../services/configuration/common/hostList.ts'
import { PlatformReader } from '../services/configuration/node/platformReader.ts'
import type { PlatformValue } from '../services/configuration/node/platformReader.ts'
import { ValueWatcher } from '../services/configuration/node/valueWatcher.ts'
import { formatLoadSubject } from '../services/facts/common/fact.ts'
import { DecisionLog } from '../services/inspect/common/decisionLog.ts'
import { createOperatorHandlers } from '../services/inspect/node/operatorHandlers.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { isOrderIssuer, isPlatformWatcher, isUpstreamWatcher } from '../services/membership/common/duty.ts'
import type { Member } from '../services/membership/common/membershipTable.ts'
import { FleetMember } from '../services/membership/node/fleetMember.ts'
import { MetricsRegistry, MetricsServer } from '../services/metrics/node/metricsServer.ts'
import { OrderService } from '../services/order/node/orderService.ts'
import { RpcServer } from '../services/rpc/node/rpcServer.ts'
import { HttpUpstreamAdapter } from '../services/upstream/node/httpUpstreamAdapter.ts'
import { markLeaving, UpstreamWatcher } from '../services/upstream/node/upstreamWatcher.ts'
import type { StewardSettings } from './stewardSettings.ts'

export interface StewardOptions {
  readonly settings: StewardSettings
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  /** Increases with each process start at this address. */
  readonly incarnation: number
}

export const CONFIGURATION_KEY = 'pepperwood/configuration'
export const HOSTS_KEY = 'pepperwood/hosts'

export class Steward extends Disposable {
  private readonly _options: StewardOptions
  private readonly _member: FleetMember
  private readonly _decisions: DecisionLog
  private readonly _metrics = new MetricsRegistry()
  private readonly _onDidStop = this._register(new Emitter<void>())
  /** Fires at the end of a planned stop. */
  readonly onDidStop = this._onDidStop.event
  private _hosts: readonly Host[] = []
  private _isDraining = false

  constructor (options: StewardOptions) {
    super()
    this._options = options
    const { settings, clock } = options
    this._decisions = new DecisionLog(clock, 2000)
    this._member = this._register(new FleetMember({
      ...options,
      address: settings.address,
      hall: settings.hall,
      localIp: settings.local_ip,
      listSeeds: () => this._listSeeds(),
      probePeriodMs: settings.probe_period_ms,
      readyWaitMs: settings.ready_wait_ms
    }))
    this._addMetrics()
  }

  /** Resolves when the steward is ready, even if neither the platform nor any peer can be reached. */
  async start (): Promise<void> {
    await this._listen()
    const configurationWatcher = this._watchValue(CONFIGURATION_KEY, value => this._member.offer({ text: value.value, revision: value.revision }))
    this._watchValue(HOSTS_KEY, value => this._acceptHostList(value))
    this._startUpstreamServices()
    await this._member.join(configurationWatcher.firstRead)
  }

  /** Performs a planned stop: peers are notified and take over its tasks at once. */
  async stop (): Promise<void> {
    if (this._isDraining) return
    this._isDraining = true
    await this._member.leave()
    this._options.log.info('stopped', { address: this._options.settings.address })
    this._onDidStop.fire()
    this.dispose()
  }

  private async _listen (): Promise<void> {
    const { settings, clock, log } = this._options
    const listen = parseAddress(settings.listen ?? settings.address)
    const operator = parseAddress(settings.operator_address)
    if (listen === undefined || operator === undefined) return
    await this._member.listen(listen)
    const handlers = createOperatorHandlers({ clock, log, configuration: this._member.configuration, inspector: this })
    const rpc = this._register(new RpcServer(router => { router.service(OperatorService, handlers) }))
    await rpc.listen(operator.host, operator.port)
    const metrics = settings.metrics_address === undefined ? undefined : parseAddress(settings.metrics_address)
    if (metrics !== undefined) await this._register(new MetricsServer(this._metrics)).listen(metrics.host, metrics.port)
  }

  private _watchValue (key: string, onDidRead: (value: PlatformValue) => void): ValueWatcher {
    const { settings, log } = this._options
    const callCounter = this._metrics.createCounter(`platform_calls_${key.split('/')[1]}_total`, 'Calls to the platform', ['result'])
    const reader = new PlatformReader({
      addresses: settings.platform,
      localAddress: settings.local_ip,
      onDidCompleteCall: isOk => callCounter.inc({ result: isOk ? 'ok' : 'failed' })
    })
    const isOnDuty = () => isPlatformWatcher(settings.hall, settings.address, this._member.membership.listLive())
    return this._register(new ValueWatcher({ reader, key, log, shouldWatch: isOnDuty, onDidRead }))
  }

  private _acceptHostList (value: PlatformValue): void {
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
      const knownIncarnation = this._member.facts.get(formatLoadSubject(upstream.name))?.incarnation ?? 0
      markLeaving(this._member.facts, upstream.name, host.boot === 0 ? knownIncarnation : host.boot, 'host list')
    }
  }

  private _startUpstreamServices (): void {
    const { settings, clock, log } = this._options
    const adapter = new HttpUpstreamAdapter({ localAddress: settings.local_ip })
    this._register(adapter)
    const reportCounter = this._metrics.createCounter('upstream_reports_total', 'Reports read from upstreams', ['result'])
    const listAssignedUpstreams = (isAssigned: (upstream: Upstream, live: readonly Member[]) => boolean) => {
      const live = this._member.membership.listLive()
      return this._listUpstreams().filter(upstream => isAssigned(upstream, live))
    }
    this._register(new UpstreamWatcher({
      adapter,
      clock,
      facts: this._member.facts,
      listWatched: () => listAssignedUpstreams((upstream, live) => isUpstreamWatcher(upstream.name, settings.address, live)),
      onDidRead: isOk => reportCounter.inc({ result: isOk ? 'ok' : 'failed' }),
      periodMs: settings.report_period_ms
    }))
    this._register(new OrderService({
      adapter,
      clock,
      facts: this._member.facts,
      configuration: this._member.configuration,
      decisions: this._decisions,
      log,
      listManagedUpstreams: () => this._member.isReady && !this._isDraining
        ? listAssignedUpstreams((upstream, live) => isOrderIssuer(upstream.hall, settings.address, live))
        : [],
      hasMajority: () => this._hasMajority()
    }))
  }

  private _hasMajority (): boolean {
    const members = this._member.membership.listMembers().filter(member => member.state !== 'left')
    const liveMembers = members.filter(member => member.state === 'alive')
    return liveMembers.length * 2 > members.length
  }

  private _listUpstreams (): readonly Upstream[] {
    return this._member.configuration.current?.configuration.upstreams ?? []
  }

  private _listSeeds (): readonly string[] {
    const listedSeeds = this._hosts.filter(host => host.kind === 'entry' && host.state === 'live').map(host => host.address)
    return [...new Set([...this._options.settings.seeds, ...listedSeeds])]
  }

  private _addMetrics (): void {
    this._metrics.addProcessMetrics()
    this._metrics.createGauge('members_live', 'Stewards taken for alive', () => this._member.membership.listLive().length)
    this._metrics.createGauge('suspicions_total', 'Stewards suspected by this one', () => this._member.membership.suspicionCount)
    this._metrics.createGauge('control_bytes_sent', 'Bytes sent to other processes of the system', () => this._member.traffic.sent)
    this._metrics.createGauge('control_bytes_received', 'Bytes received from other processes of the system', () => this._member.traffic.received)
    this._metrics.createGauge('upstreams_leaving', 'Upstream incarnations marked as leaving', () => this._member.facts.listByKind('leaving').length)
    this._metrics.createGauge('facts', 'Facts held', () => this._member.facts.size)
    this._metrics.createGauge('gates_linked', 'Gates linked to this steward', () => this._member.listGateLinks().length)
    this._metrics.createGauge('configuration_version', 'Version of the configuration in force', () => this._member.configuration.number.version)
  }

  dump (): object {
    const now = this._options.clock.now()
    return {
      program: 'steward',
      address: this._options.settings.address,
      hall: this._options.settings.hall,
      incarnation: this._member.membership.incarnation,
      ready: this._member.isReady,
      draining: this._isDraining,
      configuration: this._member.configuration.number,
      members: this._member.membership.listMembers(),
      facts: this._member.facts.list().map(fact => ({ ...fact, observedAt: undefined, ageMs: Math.round(now - fact.observedAt) })),
      links: this._member.gossip.links.map(link => link.peerAddress),
      gates: this._member.listGateLinks().map(link => link.peerAddress),
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
