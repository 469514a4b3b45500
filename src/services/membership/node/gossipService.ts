/**
 * Keeps links to the other stewards, spreads news over them and finds out who has died.
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
import { NeighbourChoice } from '../common/neighbours.ts'
import type { MembershipTable } from '../common/membershipTable.ts'

/** A message, and the link that it came over. */
export interface PeerMessage {
  readonly link: PeerLink
  readonly message: WireMessage
}

export interface GossipServiceOptions {
  readonly clock: IClock
  readonly membership: MembershipTable
  readonly random: IRandom
  /** All that a link needs but the address. */
  readonly link: Omit<DialOptions, 'address'>
  /** Stewards to meet first, and again when they have been lost. */
  readonly listSeeds: () => readonly string[]
  /** Links that other members opened to this one. */
  readonly listAccepted?: () => readonly PeerLink[]
  readonly probePeriodMs?: number
  /** How long a member has to answer; a function where it follows what the members' hosts can do. */
  readonly probeTimeoutMs?: number | (() => number)
  readonly spreadPeriodMs?: number
  /** How often one member gets everything that it was not sent yet. */
  readonly comparePeriodMs?: number
  readonly seedPeriodMs?: number
}

/** Members that get news in each round. */
const SPREAD_COUNT = 2
/** Rounds for which a fact is news: each steward passes it on about SPREAD_COUNT times as often, whatever the number of members. */
const NEWS_ROUNDS = 3
/** Members that are asked to probe one that does not answer. */
const HELPER_COUNT = 2
/** More than a member has neighbours: all are told at once that this one leaves, since they must stop sending callers here. */
const LEAVE_COUNT = 32
/** How often what is known of members is compared with one neighbour's, and how often one is told all of them at most. */
const MEMBERS_PERIOD_MS = 1000
/** How often links that serve nothing any more are closed, and one member taken for dead, or seed, is tried. */
const UPKEEP_PERIOD_MS = 2000
/** Members that other urgent news goes to at once; each of them passes it on to as many. */
const URGENT_COUNT = 3
/** Urgent news that comes within this time goes out together: when a fleet starts, all of its members are news. */
const URGENT_DELAY_MS = 20
/** Members whose clocks are asked for; one answer is enough. */
const COMPARED_CLOCKS = 3
/** The first links get all that is known; later ones, in a fleet that is known already, what is new. */
const FULL_NEWS_LINKS = 3

export class GossipService extends Disposable {
  private readonly _options: GossipServiceOptions
  private readonly _links = new Map<string, PeerLink>()
  private readonly _dialing = new Map<string, Promise<PeerLink | undefined>>()
  private readonly _waitingAcks = new Map<number, () => void>()
  private readonly _getProbeTimeoutMs: () => number
  private _nextPingId = 1
  /** The facts' sequence at the end of the last rounds, the oldest first. */
  private _roundMarks: readonly number[] = []
  private _closedTraffic: LinkTraffic = { sent: 0, received: 0 }
  private _urgentTimer: NodeJS.Timeout | undefined
  private _urgentCount = 0
  private _isCheckingLinks = false
  private readonly _neighbourChoice: NeighbourChoice
  /** Links that someone else needs, besides those to neighbours. */
  private _heldAddresses: readonly string[] = []
  /** Links that served no neighbour at the last look. */
  private _spareLinks = new Set<PeerLink>()
  private readonly _toldMembersAt = new WeakMap<PeerLink, number>()
  private readonly _onDidReceive = this._register(new Emitter<PeerMessage>())
  /** Every message of a peer, whoever of the two opened the link. */
  readonly onDidReceive = this._onDidReceive.event
  private readonly _peerClocks = new PeerClocks()
  private readonly _onDidCompareClocks = this._register(new Emitter<number>())
  /** By how much a member's clock has gained on this one's since the last time, in milliseconds. */
  readonly onDidCompareClocks = this._onDidCompareClocks.event

  constructor (options: GossipServiceOptions) {
    super()
    this._options = options
    const { probeTimeoutMs = DEFAULT_PROBE_TIMEOUT_MS } = options
    this._getProbeTimeoutMs = typeof probeTimeoutMs === 'number' ? () => probeTimeoutMs : probeTimeoutMs
    this._register(toDisposable(() => clearTimeout(this._urgentTimer)))
    this._register(startInterval(options.probePeriodMs ?? 500, () => { void this._probe() }))
    this._register(startInterval(options.spreadPeriodMs ?? 200, () => this._spread()))
    this._register(startInterval(options.comparePeriodMs ?? 4000, () => this._compare()))
    this._neighbourChoice = new NeighbourChoice(options.link.hello.address)
    this._register(startInterval(options.seedPeriodMs ?? 2000, () => this._meetFirst()))
    this._register(startInterval(MEMBERS_PERIOD_MS, () => this._compareMembers()))
    this._register(startInterval(UPKEEP_PERIOD_MS, () => this._keepLinks()))
  }

  /** Bytes over all links that this steward opened, closed ones included. */
  get traffic (): LinkTraffic {
    return sumTraffic([this._closedTraffic, ...this.links.map(link => link.traffic)])
  }

  /** Links that this steward opened. */
  get links (): readonly PeerLink[] {
    return [...this._links.values()]
  }

  /** Asks all seeds that are not linked yet; resolves with how many are reached. */
  async meetSeeds (): Promise<number> {
    const own = this._options.link.hello.address
    const seeds = this._options.listSeeds().filter(address => address !== own)
    const links = await Promise.all(seeds.map(address => this._getLink(address)))
    return links.filter(link => link !== undefined).length
  }

  /** Members that this one links to, probes, and tells news. */
  listNeighbours (): readonly string[] {
    return this._neighbourChoice.choose(this._options.membership.listPeerAddresses())
  }

  /** Keeps links to some members open, whether they are neighbours or not. */
  holdLinks (addresses: readonly string[]): void {
    this._heldAddresses = addresses
  }

  /** A member that knows no other meets its seeds. */
  private _meetFirst (): void {
    if (this._options.membership.listPeerAddresses().length === 0) void this.meetSeeds()
  }

  /**
   * Members link to a few neighbours, so that what a start costs in links does not grow with the fleet.
   */
  private _keepLinks (): void {
    const needed = new Set([...this.listNeighbours(), ...this._heldAddresses])
    const spare = [...this._links].filter(([address]) => !needed.has(address))
    for (const [address, link] of spare) if (this._spareLinks.has(link)) this._dropLink(address, link)
    this._spareLinks = new Set(spare.map(([, link]) => link))
    void this._meetLost()
  }

  /** After a partition both sides take each other for dead, and nobody would ever ask again. */
  private async _meetLost (): Promise<void> {
    const { membership, listSeeds, link: { hello } } = this._options
    const live = new Set(membership.listPeerAddresses())
    const lostSeeds = listSeeds().filter(address => address !== hello.address && !live.has(address))
    const [lost] = this._draw([...lostSeeds, ...membership.listDead().map(member => member.address)], 1)
    if (lost === undefined) return
    const link = await this._getLink(lost)
    link?.sendNews()
    link?.askAll(0)
  }

  /** Open links to neighbours, whoever of the two opened them. */
  private _listNeighbourLinks (): readonly PeerLink[] {
    return [...this._links.values(), ...this._options.listAccepted?.() ?? []]
  }

  /** Spreads news without waiting for the next round: to many members at once where this one leaves, to some otherwise. */
  spreadNow (isLeaving: boolean): void {
    this._urgentCount = Math.max(this._urgentCount, isLeaving ? LEAVE_COUNT : URGENT_COUNT)
    if (this._urgentTimer !== undefined) return
    this._urgentTimer = setTimeout(() => {
      this._sendRecentTo(this._urgentCount)
      this._urgentTimer = undefined
      this._urgentCount = 0
    }, URGENT_DELAY_MS)
  }

  /** Says which configuration is in force here to so many members: a higher one comes back, a lower one is asked for. */
  announceConfiguration (count: number): void {
    for (const link of this._draw(this._listNeighbourLinks(), count)) link.announceConfiguration()
  }

  /** Takes in an answer that came over a link which another process opened. */
  handleMessage (link: PeerLink, message: WireMessage): void {
    if (message.kind === 'ack') this._takeAck(link, message.id, message.at)
    else if (message.kind === 'ping') void this._answerPing(link, message.id, message.target)
    else if (message.kind === 'membersHeld') this._answerMembers(link, message.digest)
    else this._onDidReceive.fire({ link, message })
  }

  /** A link to a member, opened if there is none; undefined when the member cannot be reached. */
  connect (address: string): Promise<PeerLink | undefined> {
    return this._getLink(address)
  }

  /** Ends the link to a member, if there is one: nothing was heard over it for too long. */
  dropLink (address: string): void {
    const link = this._links.get(address)
    if (link !== undefined) this._dropLink(address, link)
  }

  private async _answerPing (link: PeerLink, id: number, target: string | undefined): Promise<void> {
    if (target === undefined || await this._ping(target)) link.send({ kind: 'ack', id, at: Math.round(this._options.clock.now()) })
  }

  private _takeAck (link: PeerLink, id: number, at: number | undefined): void {
    if (at !== undefined) this._onDidCompareClocks.fire(this._peerClocks.compare(link.peerAddress, at, this._options.clock.now()))
    this._waitingAcks.get(id)?.()
  }

  /** Asks some linked members for their clocks. */
  async compareClocks (): Promise<void> {
    await Promise.all(this._draw(this.links, COMPARED_CLOCKS).map(link => this._pingOver(link)))
  }

  private async _probe (): Promise<void> {
    const { membership, link: { log } } = this._options
    membership.expire()
    const target = membership.chooseProbe(this.listNeighbours())
    if (target === undefined) return
    const link = this._links.get(target)
    if (await this._ping(target) || this._isDisposed) return
    log.info('probe_unanswered', { member: target, is_linked: link !== undefined })
    const others = this.listNeighbours().filter(address => address !== target)
    const helpers = this._draw(others, HELPER_COUNT)
    const answers = await Promise.all([this._pingAnew(target, link), ...helpers.map(helper => this._ping(helper, target))])
    if (!answers.includes(true) && !this._isDisposed) membership.suspect(target)
  }

  /**
   * Asks over a new link: the one that the probe went over may have gone silent while the member lives. If so, others
   * may have gone silent with it. Without a link from before, the probe went over a new one already.
   */
  private async _pingAnew (address: string, link: PeerLink | undefined): Promise<boolean> {
    if (link === undefined) return false
    this._dropLink(address, link)
    if (!await this._ping(address) || this._isDisposed) return false
    this._options.link.log.warn('link_silent', { member: address, links: this._links.size })
    void this._checkLinks()
    return true
  }

  /**
   * Drops every link over which nothing comes back. Without it each was found by its own probe only, once in 43 s in a
   * fleet of 86, and until then what was sent over it was lost.
   */
  private async _checkLinks (): Promise<void> {
    if (this._isCheckingLinks) return
    this._isCheckingLinks = true
    const checks = [...this._links].map(async ([address, link]) => {
      const received = link.traffic.received
      if (await this._pingOver(link) || link.traffic.received > received) return 0
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

  /** Whether the member, or through it a third one, answers in time. */
  private async _ping (address: string, target?: string): Promise<boolean> {
    const link = await this._getLink(address)
    return link !== undefined && await this._pingOver(link, target)
  }

  private async _pingOver (link: PeerLink, target?: string): Promise<boolean> {
    const id = this._nextPingId++
    const timeoutMs = this._getProbeTimeoutMs() * (target === undefined ? 1 : 2)
    return await new Promise(resolve => {
      const end = (isAlive: boolean) => {
        clearTimeout(timer)
        this._waitingAcks.delete(id)
        resolve(isAlive)
      }
      const timer = setTimeout(() => end(false), timeoutMs)
      this._waitingAcks.set(id, () => end(true))
      link.send(target === undefined ? { kind: 'ping', id } : { kind: 'ping', id, target })
    })
  }

  private _spread (): void {
    this._sendRecentTo(SPREAD_COUNT)
    this._roundMarks = [...this._roundMarks, this._options.link.facts.sequence].slice(-NEWS_ROUNDS)
  }

  /** News goes over the links that are open; a new neighbour's is opened now, and is told from the next round on. */
  private _sendRecentTo (count: number): void {
    for (const address of this.listNeighbours()) if (!this._links.has(address)) void this._getLink(address)
    for (const link of this._draw(this._listNeighbourLinks(), count)) link.sendRecent(this._roundMarks[0] ?? 0)
  }

  /**
   * Members that start together learn of each other over few links, and news are told for some rounds only: without it
   * some of 24 members did not know all others 8 s after their start.
   */
  private _compareMembers (): void {
    const digest = this._options.membership.computeDigest()
    for (const link of this._draw(this._listNeighbourLinks(), 1)) link.send({ kind: 'membersHeld', digest })
  }

  private _answerMembers (link: PeerLink, digest: number): void {
    const { membership, link: { facts } } = this._options
    const now = performance.now()
    if (digest === membership.computeDigest() || now - (this._toldMembersAt.get(link) ?? -Infinity) < MEMBERS_PERIOD_MS) return
    this._toldMembersAt.set(link, now)
    link.sendFacts(facts.createFacts(membership.listToCompare()))
    // The other side may know what is not known here.
    link.send({ kind: 'membersHeld', digest: membership.computeDigest() })
  }

  /** Mends what the rounds missed. */
  private _compare (): void {
    for (const link of this._draw(this._listNeighbourLinks(), 1)) link.sendNews()
  }

  private _getLink (address: string): Promise<PeerLink | undefined> {
    const link = this._links.get(address)
    if (link !== undefined && !link.isClosed) return Promise.resolve(link)
    const dialing = this._dialing.get(address) ?? this._dial(address)
    this._dialing.set(address, dialing)
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
      if (this._links.size <= FULL_NEWS_LINKS) link.sendNews()
      this._register(link)
      link.onDidReceive(message => this.handleMessage(link, message))
      link.onDidClose(() => this._dropLink(address, link))
      return link
    } catch {
      return undefined
    } finally {
      this._dialing.delete(address)
    }
  }

  private _draw<T> (items: readonly T[], count: number): readonly T[] {
    if (items.length <= count) return items
    const drawn = new Set<T>()
    while (drawn.size < count) {
      const item = items[Math.floor(this._options.random.next() * items.length)]
      if (item !== undefined) drawn.add(item)
    }
    return [...drawn]
  }
}
