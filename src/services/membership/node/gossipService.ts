/**
 * Keeps links to neighbouring members, exchanges facts over them by gossip, and detects failed members by probes.
 */
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { Emitter } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import { dialPeer, sumTraffic } from '../../facts/node/peerLink.ts'
import type { DialOptions, LinkTraffic, PeerLink } from '../../facts/node/peerLink.ts'
import { PeerClocks } from '../../pause/common/peerClocks.ts'
import { DEFAULT_PROBE_TIMEOUT_MS } from '../common/probeTimeout.ts'
import { NeighbourSelector } from '../common/neighbours.ts'
import type { MembershipTable } from '../common/membershipTable.ts'

/** A received message and its link. */
export interface PeerMessage {
  readonly link: PeerLink
  readonly message: WireMessage
}

export interface GossipServiceOptions {
  readonly clock: IClock
  readonly membership: MembershipTable
  readonly random: IRandom
  /** The options of each link, except for its address. */
  readonly link: Omit<DialOptions, 'address'>
  /** Members to connect to first, and again after they have been lost. */
  readonly listSeeds: () => readonly string[]
  /** Lists the links that other members opened to this one. */
  readonly listAcceptedLinks?: () => readonly PeerLink[]
  readonly probePeriodMs?: number
  /** The probe timeout; a function where it depends on the capacity of the members' hosts. */
  readonly probeTimeoutMs?: number | (() => number)
  readonly gossipPeriodMs?: number
  /** How often one peer is sent all facts since the last such exchange over its link. */
  readonly antiEntropyPeriodMs?: number
  readonly seedRetryPeriodMs?: number
}

/** Number of members that recent facts are sent to in each round. */
const GOSSIP_FANOUT = 2
/**
 * Number of rounds in which a fact counts as recent. Each member thus forwards it GOSSIP_FANOUT times in each of these
 * rounds, whatever the number of members. Together with the urgent rounds these are about as many as its links.
 */
const GOSSIP_ROUNDS = 3
/** Number of members that are asked to probe a member that does not answer this one. */
const INDIRECT_PROBE_COUNT = 2
/** More than a member has neighbours: all are notified at once that this one leaves, since they must stop sending callers here. */
const LEAVE_FANOUT = 32
/** How often the member digest is sent to one neighbour, and the minimum interval between two full member lists to one peer. */
const MEMBER_DIGEST_PERIOD_MS = 1000
/** How often unused links are closed, and a connection to one dead member or lost seed is attempted. */
const LINK_MAINTENANCE_PERIOD_MS = 2000
/** Number of members that other urgent facts are sent to at once; each of them forwards them to as many. */
const URGENT_FANOUT = 3
/** Urgent facts within this time are sent together: while a fleet starts, every member is a new fact. */
const URGENT_BATCH_DELAY_MS = 20
/** Number of members whose clocks are requested; one answer is enough. */
const CLOCK_SAMPLE_COUNT = 3
/** The first links are sent all facts when they open. Later ones get recent facts only, since the fleet has the older ones. */
const FULL_SYNC_LINK_COUNT = 3

export class GossipService extends Disposable {
  private readonly _options: GossipServiceOptions
  private readonly _links = new Map<string, PeerLink>()
  private readonly _pendingDials = new Map<string, Promise<PeerLink | undefined>>()
  private readonly _pendingPings = new Map<number, () => void>()
  private readonly _getProbeTimeoutMs: () => number
  private _nextPingId = 1
  /** The sequence number of the fact store at the end of each of the last rounds, oldest first. */
  private _roundSequences: readonly number[] = []
  private _closedTraffic: LinkTraffic = { sent: 0, received: 0 }
  private _urgentTimer: NodeJS.Timeout | undefined
  private _urgentFanout = 0
  private _isCheckingLinks = false
  private readonly _neighbourSelector: NeighbourSelector
  /** Members to which links stay open although they may not be neighbours. */
  private _retainedAddresses: readonly string[] = []
  /** Links that were not needed at the last check; they are closed if they are still not needed at the next one. */
  private _unusedLinks = new Set<PeerLink>()
  private readonly _membersSentAt = new WeakMap<PeerLink, number>()
  private readonly _onDidReceive = this._register(new Emitter<PeerMessage>())
  /** Fired for messages that gossip itself does not handle, whichever side opened the link. */
  readonly onDidReceive = this._onDidReceive.event
  private readonly _peerClocks = new PeerClocks()
  private readonly _onDidCompareClocks = this._register(new Emitter<number>())
  /** Fired with the time that a peer's clock has gained on the local one since the last comparison, in milliseconds. */
  readonly onDidCompareClocks = this._onDidCompareClocks.event

  constructor (options: GossipServiceOptions) {
    super()
    this._options = options
    const { probeTimeoutMs = DEFAULT_PROBE_TIMEOUT_MS } = options
    this._getProbeTimeoutMs = typeof probeTimeoutMs === 'number' ? () => probeTimeoutMs : probeTimeoutMs
    this._register(toDisposable(() => clearTimeout(this._urgentTimer)))
    this._register(startInterval(options.probePeriodMs ?? 500, () => { void this._probe() }))
    this._register(startInterval(options.gossipPeriodMs ?? 200, () => this._runGossipRound()))
    this._register(startInterval(options.antiEntropyPeriodMs ?? 4000, () => this._reconcileWithPeer()))
    this._neighbourSelector = new NeighbourSelector(options.link.hello.address)
    this._register(startInterval(options.seedRetryPeriodMs ?? 2000, () => this._connectSeedsIfAlone()))
    this._register(startInterval(MEMBER_DIGEST_PERIOD_MS, () => this._sendMemberDigest()))
    this._register(startInterval(LINK_MAINTENANCE_PERIOD_MS, () => this._updateLinks()))
  }

  /** Bytes over all links that this member opened, closed ones included. */
  get traffic (): LinkTraffic {
    return sumTraffic([this._closedTraffic, ...this.links.map(link => link.traffic)])
  }

  /** Links that this member opened. */
  get links (): readonly PeerLink[] {
    return [...this._links.values()]
  }

  /** Connects to all seeds that are not linked yet; resolves with the number of linked seeds. */
  async connectSeeds (): Promise<number> {
    const own = this._options.link.hello.address
    const seeds = this._options.listSeeds().filter(address => address !== own)
    const links = await Promise.all(seeds.map(address => this._getLink(address)))
    return links.filter(link => link !== undefined).length
  }

  /** Members that this one links to, probes and gossips with. */
  listNeighbours (): readonly string[] {
    return this._neighbourSelector.choose(this._options.membership.listPeerAddresses())
  }

  /** Sets the members to which links stay open although they may not be neighbours. */
  retainLinks (addresses: readonly string[]): void {
    this._retainedAddresses = addresses
  }

  /** Connects to the seeds if no other member is known. */
  private _connectSeedsIfAlone (): void {
    if (this._options.membership.listPeerAddresses().length === 0) void this.connectSeeds()
  }

  /**
   * Closes links that were needed neither now nor at the last check, so that the number of links of a member does not
   * grow with the fleet. Then tries to reconnect to a lost member.
   */
  private _updateLinks (): void {
    const needed = new Set([...this.listNeighbours(), ...this._retainedAddresses])
    const unused = [...this._links].filter(([address]) => !needed.has(address))
    for (const [address, link] of unused) if (this._unusedLinks.has(link)) this._dropLink(address, link)
    this._unusedLinks = new Set(unused.map(([, link]) => link))
    void this._reconnectLost()
  }

  /**
   * Tries to connect to one dead member or lost seed. After a partition each side considers the other one dead and no
   * longer contacts it, so without this the two would never merge.
   */
  private async _reconnectLost (): Promise<void> {
    const { membership, listSeeds, link: { hello } } = this._options
    const liveAddresses = new Set(membership.listPeerAddresses())
    const lostSeeds = listSeeds().filter(address => address !== hello.address && !liveAddresses.has(address))
    const [lostAddress] = this._pickRandom([...lostSeeds, ...membership.listDead().map(member => member.address)], 1)
    if (lostAddress === undefined) return
    const link = await this._getLink(lostAddress)
    link?.sendNewFacts()
    link?.askForRefresh(0)
  }

  /** Open links to other members, whichever side opened them. */
  private _listOpenLinks (): readonly PeerLink[] {
    return [...this._links.values(), ...this._options.listAcceptedLinks?.() ?? []]
  }

  /** Sends recent facts before the next round: to LEAVE_FANOUT members if this one leaves, otherwise to URGENT_FANOUT. */
  scheduleUrgentRound (isLeaving: boolean): void {
    this._urgentFanout = Math.max(this._urgentFanout, isLeaving ? LEAVE_FANOUT : URGENT_FANOUT)
    if (this._urgentTimer !== undefined) return
    this._urgentTimer = setTimeout(() => {
      this._sendRecentFacts(this._urgentFanout)
      this._urgentTimer = undefined
      this._urgentFanout = 0
    }, URGENT_BATCH_DELAY_MS)
  }

  /**
   * Sends the number of the local configuration to some members. A member with a higher configuration answers with its
   * number, and one with a lower configuration requests the local one.
   */
  announceConfiguration (count: number): void {
    for (const link of this._pickRandom(this._listOpenLinks(), count)) link.announceConfiguration()
  }

  /** Handles a message of a link, whichever side opened it. */
  handleMessage (link: PeerLink, message: WireMessage): void {
    if (message.kind === 'ack') this._handleAck(link, message.id, message.at)
    else if (message.kind === 'ping') void this._answerPing(link, message.id, message.target)
    else if (message.kind === 'membersHeld') this._handleMemberDigest(link, message.digest)
    else this._onDidReceive.fire({ link, message })
  }

  /** Returns the link to a member, opened if there is none; undefined if the member cannot be reached. */
  connect (address: string): Promise<PeerLink | undefined> {
    return this._getLink(address)
  }

  /** Closes the link to a member, if there is one. For callers that have received nothing over it for too long. */
  dropLink (address: string): void {
    const link = this._links.get(address)
    if (link !== undefined) this._dropLink(address, link)
  }

  private async _answerPing (link: PeerLink, id: number, target: string | undefined): Promise<void> {
    if (target === undefined || await this._ping(target)) link.send({ kind: 'ack', id, at: Math.round(this._options.clock.now()) })
  }

  private _handleAck (link: PeerLink, id: number, at: number | undefined): void {
    if (at !== undefined) this._onDidCompareClocks.fire(this._peerClocks.compare(link.peerAddress, at, this._options.clock.now()))
    this._pendingPings.get(id)?.()
  }

  /** Requests the time on the clocks of some linked members. */
  async compareClocks (): Promise<void> {
    await Promise.all(this._pickRandom(this.links, CLOCK_SAMPLE_COUNT).map(link => this._pingOverLink(link)))
  }

  private async _probe (): Promise<void> {
    const { membership, link: { log } } = this._options
    membership.expireMembers()
    const target = membership.chooseProbeTarget(this.listNeighbours())
    if (target === undefined) return
    const link = this._links.get(target)
    if (await this._ping(target) || this._isDisposed) return
    log.info('probe_unanswered', { member: target, is_linked: link !== undefined })
    const others = this.listNeighbours().filter(address => address !== target)
    const helpers = this._pickRandom(others, INDIRECT_PROBE_COUNT)
    const answers = await Promise.all([this._pingOverNewLink(target, link), ...helpers.map(helper => this._ping(helper, target))])
    if (!answers.includes(true) && !this._isDisposed) membership.suspect(target)
  }

  /**
   * Repeats a probe over a new link, since the existing one may have stalled while the member is alive. If it has, other
   * links may have stalled too, and all are checked. `link` is the link that existed before the failed probe; without one
   * that probe already went over a new link.
   */
  private async _pingOverNewLink (address: string, link: PeerLink | undefined): Promise<boolean> {
    if (link === undefined) return false
    this._dropLink(address, link)
    if (!await this._ping(address) || this._isDisposed) return false
    this._options.link.log.warn('link_silent', { member: address, links: this._links.size })
    void this._checkLinks()
    return true
  }

  /**
   * Drops every link over which no answer arrives. Otherwise each stalled link is found only by its own probe, which comes
   * once in 43 s in a fleet of 86 members, and everything sent over it until then is lost.
   */
  private async _checkLinks (): Promise<void> {
    if (this._isCheckingLinks) return
    this._isCheckingLinks = true
    const checks = [...this._links].map(async ([address, link]) => {
      const received = link.traffic.received
      if (await this._pingOverLink(link) || link.traffic.received > received) return 0
      this._dropLink(address, link)
      return 1
    })
    const dropped = (await Promise.all(checks)).reduce((sum: number, count) => sum + count, 0)
    this._options.link.log.info('links_checked', { links: checks.length, dropped })
    this._isCheckingLinks = false
  }

  private _dropLink (address: string, link: PeerLink): void {
    if (this._links.get(address) !== link) return
    this._links.delete(address)
    this._peerClocks.forget(address)
    this._closedTraffic = sumTraffic([this._closedTraffic, link.traffic])
    this._release(link)
  }

  /** Resolves with whether the member answers in time or, if `target` is given, whether it reports that `target` answers it. */
  private async _ping (address: string, target?: string): Promise<boolean> {
    const link = await this._getLink(address)
    return link !== undefined && await this._pingOverLink(link, target)
  }

  private async _pingOverLink (link: PeerLink, target?: string): Promise<boolean> {
    const id = this._nextPingId++
    const timeoutMs = this._getProbeTimeoutMs() * (target === undefined ? 1 : 2)
    return await new Promise(resolve => {
      const end = (isAlive: boolean) => {
        clearTimeout(timer)
        this._pendingPings.delete(id)
        resolve(isAlive)
      }
      const timer = setTimeout(() => end(false), timeoutMs)
      this._pendingPings.set(id, () => end(true))
      link.send(target === undefined ? { kind: 'ping', id } : { kind: 'ping', id, target })
    })
  }

  private _runGossipRound (): void {
    this._sendRecentFacts(GOSSIP_FANOUT)
    this._roundSequences = [...this._roundSequences, this._options.link.facts.sequence].slice(-GOSSIP_ROUNDS)
  }

  /** Sends recent facts over open links. A missing link to a neighbour is opened here and used from the next round on. */
  private _sendRecentFacts (count: number): void {
    for (const address of this.listNeighbours()) if (!this._links.has(address)) void this._getLink(address)
    for (const link of this._chooseLeastRecent(count)) link.sendRecentFacts(this._roundSequences[0] ?? 0)
  }

  /**
   * Chooses links that have new facts to send, those first that were used for this least recently. Links drawn anew in each
   * round could miss the same member from all of its neighbours; the fact then waited seconds for the exchange of all facts.
   */
  private _chooseLeastRecent (count: number): readonly PeerLink[] {
    const { facts } = this._options.link
    return this._listOpenLinks()
      .filter(link => link.sentSequence < facts.sequence)
      .map(link => ({ link, rank: this._options.random.next() }))
      .sort((a, b) => a.link.sentSequence - b.link.sentSequence || a.rank - b.rank)
      .slice(0, count)
      .map(({ link }) => link)
  }

  /**
   * Sends the member digest to one peer, which answers with its member facts if they differ. Members that start together
   * learn of each other over few links, and facts are gossiped for a few rounds only: without this comparison some of
   * 24 members did not know all others 8 s after their start.
   */
  private _sendMemberDigest (): void {
    const digest = this._options.membership.computeDigest()
    for (const link of this._pickRandom(this._listOpenLinks(), 1)) link.send({ kind: 'membersHeld', digest })
  }

  private _handleMemberDigest (link: PeerLink, digest: number): void {
    const { membership, link: { facts } } = this._options
    const now = performance.now()
    if (digest === membership.computeDigest() || now - (this._membersSentAt.get(link) ?? -Infinity) < MEMBER_DIGEST_PERIOD_MS) return
    this._membersSentAt.set(link, now)
    link.sendFacts(facts.createFacts(membership.listFactsToSync()))
    // The peer may have facts that are missing here.
    link.send({ kind: 'membersHeld', digest: membership.computeDigest() })
  }

  /** Sends one peer all facts since the last such exchange over its link, including those that gossip rounds did not send to it. */
  private _reconcileWithPeer (): void {
    for (const link of this._pickRandom(this._listOpenLinks(), 1)) link.sendNewFacts()
  }

  private _getLink (address: string): Promise<PeerLink | undefined> {
    const link = this._links.get(address)
    if (link !== undefined && !link.isClosed) return Promise.resolve(link)
    const dialing = this._pendingDials.get(address) ?? this._dial(address)
    this._pendingDials.set(address, dialing)
    return dialing
  }

  private async _dial (address: string): Promise<PeerLink | undefined> {
    try {
      const link = await dialPeer({ ...this._options.link, address })
      if (this._isDisposed) {
        link.dispose()
        return undefined
      }
      this._links.set(address, link)
      if (this._links.size <= FULL_SYNC_LINK_COUNT) link.sendNewFacts()
      this._register(link)
      link.onDidReceive(message => this.handleMessage(link, message))
      link.onDidClose(() => this._dropLink(address, link))
      return link
    } catch {
      return undefined
    } finally {
      this._pendingDials.delete(address)
    }
  }

  private _pickRandom<T> (items: readonly T[], count: number): readonly T[] {
    if (items.length <= count) return items
    const picked = new Set<T>()
    while (picked.size < count) {
      const item = items[Math.floor(this._options.random.next() * items.length)]
      if (item !== undefined) picked.add(item)
    }
    return [...picked]
  }
}
