/**
 * This process as a member of the fleet: it holds facts and the configuration, keeps membership with its peers, and
 * hands on what it learns. Programs add where the configuration comes from and what they do with it.
 */
import type { Address } from '../../../base/common/address.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { startInterval, waitFor } from '../../../base/node/interval.ts'
import { formatNumber } from '../../configuration/common/configurationNumber.ts'
import { ConfigurationService } from '../../configuration/common/configurationService.ts'
import type { AcceptedConfiguration } from '../../configuration/common/configurationService.ts'
import type { ConfigurationText } from '../../configuration/common/configurationDocument.ts'
import { FetchGuard } from '../../configuration/common/fetchGuard.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import type { HeldFact } from '../../facts/common/factStore.ts'
import { PeerLink, sumTraffic } from '../../facts/node/peerLink.ts'
import type { LinkTraffic } from '../../facts/node/peerLink.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { FrameServer } from '../../rpc/node/frameServer.ts'
import { MembershipTable } from '../common/membershipTable.ts'
import { computeProbeTimeout } from '../common/probeTimeout.ts'
import { GossipService } from './gossipService.ts'

export interface FleetMemberOptions {
  /** Where peers reach this process. */
  readonly address: string
  readonly hall: string
  /** The address that its connections leave from. */
  readonly localIp?: string
  /** How much this host can do, in hundredths of a core. */
  readonly weight?: number
  /** Grows with each boot of the host. */
  readonly incarnation: number
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  /** Members to meet first, and again when they have been lost. */
  readonly listSeeds: () => readonly string[]
  readonly probePeriodMs?: number
  /** How often members that are to be met first are tried again. */
  readonly seedPeriodMs?: number
  /** False where no gate is ever linked, which saves a timer. */
  readonly hasGates?: boolean
  /** How long a starting process waits for the configuration's source and its peers. */
  readonly readyWaitMs: number
  /** The source's first read holds all acknowledged writes, so no peer can know of a higher configuration. */
  readonly isSourceNewest?: boolean
}

/** How often gates get what is new. */
const GATE_PUSH_PERIOD_MS = 100
/** How often the number of the configuration in force is compared with the peers'. */
const ANNOUNCE_PERIOD_MS = 1000
/** Members whose configuration is compared each time. */
const COMPARED_COUNT = 2
/** Members that are told at once of a new configuration; each of them tells as many, so four steps reach thousands. */
const ANNOUNCED_COUNT = 8
const FORGET_PERIOD_MS = 60_000
const LEAVE_SPREAD_MS = 500
const READY_POLL_MS = 20

/**
 * A node that its seeds do not answer waits so long for a peer before it takes itself for the only one: hosts that start
 * together come up within 0.4 s of each other, and each would plan alone in the room of the others.
 */
const LONELY_WAIT_MS = 1000

/** Peers that were asked for all that they know, and those that have answered. */
class PeerAnswers {
  private readonly _asked = new Set<PeerLink>()
  private readonly _answered = new Set<PeerLink>()

  get askedCount (): number {
    return this._asked.size
  }

  get count (): number {
    return this._answered.size
  }

  ask (link: PeerLink): void {
    if (this._asked.has(link)) return
    this._asked.add(link)
    link.onDidReceive(message => { if (message.kind === 'refreshed') this._answered.add(link) })
    link.askAll(0)
  }
}

export class FleetMember extends Disposable {
  readonly facts: FactStore
  readonly configuration: ConfigurationService
  readonly membership: MembershipTable
  readonly gossip: GossipService
  private readonly _options: FleetMemberOptions
  private readonly _fetchGuard: FetchGuard
  private readonly _accepted = new Set<PeerLink>()
  private _closedTraffic: LinkTraffic = { sent: 0, received: 0 }
  private _isReady = false
  private readonly _onDidJoin = this._register(new Emitter<void>())
  private _hasJoined = false
  /** Fired when the peers have said what they know, or the time for that is over. */
  readonly onDidJoin = this._onDidJoin.event

  constructor (options: FleetMemberOptions) {
    super()
    this._options = options
    const { clock, random } = options
    this.facts = this._register(new FactStore(clock))
    this.configuration = this._register(new ConfigurationService(clock))
    this._fetchGuard = new FetchGuard(clock)
    this.membership = this._register(new MembershipTable({ ...options, facts: this.facts }))
    this.gossip = this._register(new GossipService({
      clock,
      membership: this.membership,
      random,
      link: { ...this._createLinkOptions(), localAddress: options.localIp },
      listSeeds: options.listSeeds,
      listAccepted: () => this._listPeerLinks(),
      probePeriodMs: options.probePeriodMs,
      probeTimeoutMs: () => computeProbeTimeout(this.membership.listLive().map(member => member.weight)),
      seedPeriodMs: options.seedPeriodMs
    }))
    this._register(this.configuration.onDidAccept(accepted => this._handleAccepted(accepted)))
    this._register(this.facts.onDidChange(fact => this._handleFact(fact)))
  }

  /** Whether the configuration may be handed on and acted on. */
  get isReady (): boolean {
    return this._isReady
  }

  /** Whether the peers have said what they know. */
  get hasJoined (): boolean {
    return this._hasJoined
  }

  /** Bytes over all links with other processes of the system. */
  get traffic (): LinkTraffic {
    return sumTraffic([this._closedTraffic, this.gossip.traffic, ...[...this._accepted].map(link => link.traffic)])
  }

  listGateLinks (): readonly PeerLink[] {
    return [...this._accepted].filter(link => link.peerRole === 'gate')
  }

  /** Links that other members opened. */
  private _listPeerLinks (): readonly PeerLink[] {
    return [...this._accepted].filter(link => link.peerRole === 'steward')
  }

  async listen (address: Address): Promise<void> {
    const frames = this._register(new FrameServer(connection => this._accept(new PeerLink({ ...this._createLinkOptions(), connection }))))
    await frames.listen(address.host, address.port)
  }

  /**
   * The highest of the documents of the source and of the peers is taken before anything is handed on. Resolves when
   * both have answered or the time is over. A source that is newest is enough to be ready, if its read resolves with
   * true: hosts that start together would wait for each other.
   */
  async join (sourceRead: Promise<unknown>): Promise<void> {
    const { clock, readyWaitMs, isSourceNewest = false } = this._options
    if (this._options.hasGates !== false) this._register(startInterval(GATE_PUSH_PERIOD_MS, () => this.pushToGates()))
    this._register(startInterval(FORGET_PERIOD_MS, () => this.facts.dropOld()))
    this._register(startInterval(ANNOUNCE_PERIOD_MS, () => this._announceConfiguration(COMPARED_COUNT)))
    const until = clock.now() + readyWaitMs
    const reading = Promise.race([sourceRead, waitFor(readyWaitMs).then(() => false)])
    if (isSourceNewest) void reading.then(isRead => { if (isRead === true) this._markReady('source') })
    const answers = new PeerAnswers()
    const isHeard = this._watchJoin(answers, reading, clock.now() + Math.min(readyWaitMs, LONELY_WAIT_MS))
    while (!isHeard() && clock.now() < until) {
      for (const link of [...this.gossip.links, ...this._listPeerLinks()]) answers.ask(link)
      await waitFor(READY_POLL_MS)
    }
    this._markReady('peers')
    this._hasJoined = true
    this._options.log.info('joined', { asked: answers.askedCount, refreshed: answers.count, members: this.membership.listLive().length })
    this._onDidJoin.fire()
  }

  /**
   * Tells when enough was heard. Any one peer knows the members, whoever of the two opened the link: a seed that does not
   * answer its dial must not hold up a node that its peers have found. Only where the source was not read, all that can
   * be reached are needed for the highest configuration.
   */
  private _watchJoin (answers: PeerAnswers, reading: Promise<unknown>, lonelyUntil: number): () => boolean {
    const { clock } = this._options
    let reached: number | undefined
    void Promise.all([this.gossip.meetSeeds(), reading]).then(([count]) => { reached = count })
    return () => {
      if (this._isReady) return answers.count > 0 || (reached !== undefined && clock.now() >= lonelyUntil)
      return reached !== undefined && answers.count >= reached
    }
  }

  private _markReady (reason: 'source' | 'peers'): void {
    if (this._isReady || this._isDisposed) return
    const { log, address, hall } = this._options
    this._isReady = true
    log.info('ready', { address, hall, configuration: formatNumber(this.configuration.number), reason })
    this._announceConfiguration(ANNOUNCED_COUNT)
  }

  /** Has every linked peer say what it knows; what is higher comes back. */
  askPeers (): void {
    for (const link of this.gossip.links) link.askAll(0)
  }

  /** Takes in a document that was read from the source. */
  offer (document: ConfigurationText): void {
    this.configuration.offer(document, 'platform').ifLeft(error => {
      if (error.resultName === 'configurationNotHigher') return
      this._options.log.warn('configuration_refused', { code: error.code, reason: error.message, place: error.place, value: error.value })
    })
  }

  /** Tells peers of a planned stop, and gives the news time to spread. */
  async leave (): Promise<void> {
    this.membership.leave()
    this.gossip.spreadNow(true)
    this.pushToGates()
    await waitFor(LEAVE_SPREAD_MS)
  }

  pushToGates (): void {
    for (const link of this.listGateLinks()) link.sendNews()
  }

  private _createLinkOptions () {
    const { address, hall, log } = this._options
    return {
      facts: this.facts,
      configuration: this.configuration,
      fetchGuard: this._fetchGuard,
      log,
      hello: { kind: 'hello' as const, role: 'steward' as const, address, hall },
      mayShareConfiguration: () => this._isReady
    }
  }

  private _accept (link: PeerLink): void {
    this._accepted.add(this._register(link))
    link.onDidClose(() => this._dropAccepted(link))
    link.onDidReceive(message => {
      if (message.kind === 'hello') this._dropReplaced(link)
      this.gossip.handleMessage(link, message)
    })
  }

  /** A member keeps one link to another; the end of one that went silent is never heard here. */
  private _dropReplaced (link: PeerLink): void {
    if (link.peerRole !== 'steward') return
    for (const other of this._listPeerLinks()) if (other !== link && other.peerAddress === link.peerAddress) this._dropAccepted(other)
  }

  private _dropAccepted (link: PeerLink): void {
    if (!this._accepted.delete(link)) return
    this._closedTraffic = sumTraffic([this._closedTraffic, link.traffic])
    this._release(link)
  }

  /** Compares numbers with all processes; for gates it is also the sign that this one lives. */
  private _announceConfiguration (count: number): void {
    this.gossip.announceConfiguration(count)
    for (const link of this.listGateLinks()) link.announceConfiguration()
  }

  private _handleAccepted (accepted: AcceptedConfiguration): void {
    this._options.log.info('configuration_accepted', { number: formatNumber(accepted.number), source: accepted.source })
    this._announceConfiguration(ANNOUNCED_COUNT)
  }

  private _handleFact (fact: HeldFact): void {
    const { value } = fact
    if (value.kind === 'leaving') {
      this._options.log.info('upstream_leaving', { upstream: value.upstream, incarnation: fact.incarnation, signal: value.signal, source: fact.source })
    } else if (value.kind === 'member') {
      this._options.log.info('member_changed', { member: value.address, state: value.state, incarnation: fact.incarnation })
    } else if (value.kind !== 'ended' && value.kind !== 'cleared' && value.kind !== 'evacuation' && value.kind !== 'limit') {
      return
    }
    this.pushToGates()
    // Suspicions come by the hundred when a fleet is slow, and spreading each at once would make it slower; a round is
    // soon enough for them and for what refutes them.
    if (value.kind === 'member' && (value.state === 'suspect' || value.state === 'alive') && fact.source !== '') return
    // What else matters does not wait for the next round.
    this.gossip.spreadNow(value.kind === 'member' && value.state === 'left' && fact.source === '')
  }
}
