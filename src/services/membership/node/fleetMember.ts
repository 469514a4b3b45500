/**
 * This process as a member of the fleet: it stores facts and the configuration, tracks the membership, and shares all of
 * them with its peers. The programs supply the source of the configuration and act on it.
 */
import type { Address } from '../../../base/common/address.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { startInterval, waitFor } from '../../../base/node/interval.ts'
import { formatConfigurationNumber } from '../../configuration/common/configurationNumber.ts'
import { ConfigurationService } from '../../configuration/common/configurationService.ts'
import type { AcceptedConfiguration } from '../../configuration/common/configurationService.ts'
import type { ConfigurationText } from '../../configuration/common/configurationDocument.ts'
import { FetchDeduplicator } from '../../configuration/common/fetchDeduplicator.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import type { StoredFact } from '../../facts/common/factStore.ts'
import { PeerLink, sumTraffic } from '../../facts/node/peerLink.ts'
import type { LinkTraffic } from '../../facts/node/peerLink.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { FrameServer } from '../../rpc/node/frameServer.ts'
import { MembershipTable } from '../common/membershipTable.ts'
import { computeProbeTimeoutMs } from '../common/probeTimeout.ts'
import { GossipService } from './gossipService.ts'

export interface FleetMemberOptions {
  /** The address at which peers reach this process. */
  readonly address: string
  readonly hall: string
  /** The local address of outgoing connections. */
  readonly localIp?: string
  /** Processing capacity of this host, in hundredths of a core. */
  readonly weight?: number
  /** Grows with each process start. */
  readonly incarnation: number
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILogService
  /** Members to connect to first, and again after they have been lost. */
  readonly listSeeds: () => readonly string[]
  readonly probePeriodMs?: number
  /** How often the seeds are tried again while no other member is known. */
  readonly seedRetryPeriodMs?: number
  /** False if gates never connect to this process, which saves a timer. */
  readonly hasGates?: boolean
  /** How long a starting process waits for the configuration source and for its peers. */
  readonly readyWaitMs: number
  /** Whether the first read of the source returns all acknowledged writes, so that no peer can have a higher configuration. */
  readonly isSourceAuthoritative?: boolean
}

/** How often gates are sent new facts. */
const GATE_PUSH_PERIOD_MS = 100
/** How often the number of the local configuration is announced to some peers. */
const ANNOUNCE_PERIOD_MS = 1000
/** Number of members that the configuration number is announced to each time. */
const PERIODIC_ANNOUNCE_FANOUT = 2
/** Number of members notified at once of a new configuration. Each of them notifies as many, so four steps reach thousands. */
const CHANGE_ANNOUNCE_FANOUT = 8
const EXPIRY_PERIOD_MS = 60_000
const LEAVE_PROPAGATION_MS = 500
const READY_POLL_MS = 20

/**
 * How long a node whose seeds do not answer waits for any peer before it assumes that it is the only member. Hosts that
 * start together become reachable within 0.4 s of each other; without the wait each would plan alone and use capacity that
 * the others use too.
 */
const NO_PEER_WAIT_MS = 1000

/** Requests all facts from peers while this member joins, and counts the peers that were asked and that answered. */
class PeerRefreshTracker {
  private readonly _asked = new Set<PeerLink>()
  private readonly _answered = new Set<PeerLink>()

  get askedCount (): number {
    return this._asked.size
  }

  get answeredCount (): number {
    return this._answered.size
  }

  ask (link: PeerLink): void {
    if (this._asked.has(link)) return
    this._asked.add(link)
    link.onDidReceive(message => { if (message.kind === 'refreshed') this._answered.add(link) })
    link.askForRefresh(0)
  }
}

export class FleetMember extends Disposable {
  readonly facts: FactStore
  readonly configuration: ConfigurationService
  readonly membership: MembershipTable
  readonly gossip: GossipService
  private readonly _options: FleetMemberOptions
  private readonly _fetchDeduplicator: FetchDeduplicator
  private readonly _acceptedLinks = new Set<PeerLink>()
  private _closedTraffic: LinkTraffic = { sent: 0, received: 0 }
  private _isReady = false
  private readonly _onDidJoin = this._register(new Emitter<void>())
  private _hasJoined = false
  /** Fired when peers have sent the facts that they hold, or the wait for them has timed out. */
  readonly onDidJoin = this._onDidJoin.event

  constructor (options: FleetMemberOptions) {
    super()
    this._options = options
    const { clock, random } = options
    this.facts = this._register(new FactStore(clock))
    this.configuration = this._register(new ConfigurationService(clock))
    this._fetchDeduplicator = new FetchDeduplicator(clock)
    this.membership = this._register(new MembershipTable({ ...options, facts: this.facts }))
    this.gossip = this._register(new GossipService({
      clock,
      membership: this.membership,
      random,
      link: { ...this._createLinkOptions(), localAddress: options.localIp },
      listSeeds: options.listSeeds,
      listAcceptedLinks: () => this._listAcceptedPeerLinks(),
      probePeriodMs: options.probePeriodMs,
      probeTimeoutMs: () => computeProbeTimeoutMs(this.membership.listLive().map(member => member.weight)),
      seedRetryPeriodMs: options.seedRetryPeriodMs
    }))
    this._register(this.configuration.onDidAccept(accepted => this._handleAcceptedConfiguration(accepted)))
    this._register(this.facts.onDidChange(fact => this._handleFact(fact)))
  }

  /** Whether the configuration may be shared and acted on. */
  get isReady (): boolean {
    return this._isReady
  }

  /** Whether peers have sent the facts that they hold, or the wait for them has timed out. */
  get hasJoined (): boolean {
    return this._hasJoined
  }

  /** Bytes over all links to other processes of the system, closed ones included. */
  get traffic (): LinkTraffic {
    return sumTraffic([this._closedTraffic, this.gossip.traffic, ...[...this._acceptedLinks].map(link => link.traffic)])
  }

  listGateLinks (): readonly PeerLink[] {
    return [...this._acceptedLinks].filter(link => link.peerRole === 'gate')
  }

  /** Links that other members opened to this one. */
  private _listAcceptedPeerLinks (): readonly PeerLink[] {
    return [...this._acceptedLinks].filter(link => link.peerRole === 'steward')
  }

  async listen (address: Address): Promise<void> {
    const frames = this._register(new FrameServer(connection => this._acceptLink(new PeerLink({ ...this._createLinkOptions(), connection }))))
    await frames.listen(address.host, address.port)
  }

  /**
   * Waits for the source and the peers, and adopts the highest of their configurations before anything is shared. Resolves
   * when both have answered or the wait has timed out. An authoritative source whose read resolves with true is enough to
   * be ready; otherwise hosts that start together would wait for each other.
   */
  async join (sourceRead: Promise<unknown>): Promise<void> {
    const { clock, readyWaitMs, isSourceAuthoritative: isAuthoritative = false } = this._options
    if (this._options.hasGates !== false) this._register(startInterval(GATE_PUSH_PERIOD_MS, () => this.pushToGates()))
    this._register(startInterval(EXPIRY_PERIOD_MS, () => this.facts.removeExpired()))
    this._register(startInterval(ANNOUNCE_PERIOD_MS, () => this._announceConfiguration(PERIODIC_ANNOUNCE_FANOUT)))
    const deadline = clock.now() + readyWaitMs
    const sourceResult = Promise.race([sourceRead, waitFor(readyWaitMs).then(() => false)])
    if (isAuthoritative) void sourceResult.then(isRead => { if (isRead === true) this._markReady('source') })
    const refreshes = new PeerRefreshTracker()
    const isJoinComplete = this._createJoinCheck(refreshes, sourceResult, clock.now() + Math.min(readyWaitMs, NO_PEER_WAIT_MS))
    while (!isJoinComplete() && clock.now() < deadline) {
      for (const link of [...this.gossip.links, ...this._listAcceptedPeerLinks()]) refreshes.ask(link)
      await waitFor(READY_POLL_MS)
    }
    this._markReady('peers')
    this._hasJoined = true
    this._options.log.info('joined', { asked: refreshes.askedCount, refreshed: refreshes.answeredCount, members: this.membership.listLive().length })
    this._onDidJoin.fire()
  }

  /**
   * Returns a function that checks whether enough peers have answered. If this member is ready, any one peer is enough,
   * whichever side opened the link, since every peer knows the members: an unresponsive seed must not delay a node that
   * other peers have found. With no answer by `noPeerDeadline` it joins alone. If it is not ready, as many peers as there
   * are reachable seeds must answer, to determine the highest configuration.
   */
  private _createJoinCheck (refreshes: PeerRefreshTracker, sourceResult: Promise<unknown>, noPeerDeadline: number): () => boolean {
    const { clock } = this._options
    let reachedSeedCount: number | undefined
    void Promise.all([this.gossip.connectSeeds(), sourceResult]).then(([count]) => { reachedSeedCount = count })
    return () => {
      if (this._isReady) return refreshes.answeredCount > 0 || (reachedSeedCount !== undefined && clock.now() >= noPeerDeadline)
      return reachedSeedCount !== undefined && refreshes.answeredCount >= reachedSeedCount
    }
  }

  private _markReady (reason: 'source' | 'peers'): void {
    if (this._isReady || this._isDisposed) return
    const { log, address, hall } = this._options
    this._isReady = true
    log.info('ready', { address, hall, configuration: formatConfigurationNumber(this.configuration.number), reason })
    this._announceConfiguration(CHANGE_ANNOUNCE_FANOUT)
  }

  /** Requests all facts from every linked peer, and its configuration if that is higher than the local one. */
  refreshFromPeers (): void {
    for (const link of this.gossip.links) link.askForRefresh(0)
  }

  /** Offers a document that was read from the source to the configuration service, and logs a refusal. */
  offer (document: ConfigurationText): void {
    this.configuration.offer(document, 'platform').ifLeft(error => {
      if (error.resultName === 'configurationNotHigher') return
      this._options.log.warn('configuration_refused', { code: error.code, reason: error.message, place: error.place, value: error.value })
    })
  }

  /** Announces a planned stop to peers and gates, and waits until the announcement has had time to propagate. */
  async leave (): Promise<void> {
    this.membership.leave()
    this.gossip.scheduleUrgentRound(true)
    this.pushToGates()
    await waitFor(LEAVE_PROPAGATION_MS)
  }

  pushToGates (): void {
    for (const link of this.listGateLinks()) link.sendNewFacts()
  }

  private _createLinkOptions () {
    const { address, hall, log } = this._options
    return {
      facts: this.facts,
      configuration: this.configuration,
      fetchGuard: this._fetchDeduplicator,
      log,
      hello: { kind: 'hello' as const, role: 'steward' as const, address, hall },
      mayShareConfiguration: () => this._isReady
    }
  }

  private _acceptLink (link: PeerLink): void {
    this._acceptedLinks.add(this._register(link))
    link.onDidClose(() => this._dropAcceptedLink(link))
    link.onDidReceive(message => {
      if (message.kind === 'hello') this._dropReplacedLinks(link)
      this.gossip.handleMessage(link, message)
    })
  }

  /** Drops older links of the same peer. A peer keeps one link only, and the close of a stalled connection may never arrive. */
  private _dropReplacedLinks (link: PeerLink): void {
    if (link.peerRole !== 'steward') return
    for (const other of this._listAcceptedPeerLinks()) if (other !== link && other.peerAddress === link.peerAddress) this._dropAcceptedLink(other)
  }

  private _dropAcceptedLink (link: PeerLink): void {
    if (!this._acceptedLinks.delete(link)) return
    this._closedTraffic = sumTraffic([this._closedTraffic, link.traffic])
    this._release(link)
  }

  /** Announces the configuration number to some members and to all gates. Gates also use it as a heartbeat. */
  private _announceConfiguration (count: number): void {
    this.gossip.announceConfiguration(count)
    for (const link of this.listGateLinks()) link.announceConfiguration()
  }

  private _handleAcceptedConfiguration (accepted: AcceptedConfiguration): void {
    this._options.log.info('configuration_accepted', { number: formatConfigurationNumber(accepted.number), source: accepted.source })
    this._announceConfiguration(CHANGE_ANNOUNCE_FANOUT)
  }

  private _handleFact (fact: StoredFact): void {
    const { value } = fact
    if (value.kind === 'leaving') {
      this._options.log.info('upstream_leaving', { upstream: value.upstream, incarnation: fact.incarnation, signal: value.signal, source: fact.source })
    } else if (value.kind === 'member') {
      this._options.log.info('member_changed', { member: value.address, state: value.state, incarnation: fact.incarnation })
    } else if (value.kind !== 'ended' && value.kind !== 'cleared' && value.kind !== 'evacuation' && value.kind !== 'limit') {
      return
    }
    this.pushToGates()
    // A slow fleet produces hundreds of suspicions, and forwarding each at once would slow it further. The next gossip
    // round is soon enough for suspicions and for the facts that refute them.
    if (value.kind === 'member' && (value.state === 'suspect' || value.state === 'alive') && fact.source !== '') return
    // All other kinds of facts that were not filtered out above are urgent.
    this.gossip.scheduleUrgentRound(value.kind === 'member' && value.state === 'left' && fact.source === '')
  }
}
