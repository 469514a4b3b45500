/**
 * The members that this process knows, kept as facts with the state alive, suspect, dead or left. A member that receives
 * a fact which states that it is suspect or dead raises its incarnation; its new fact replaces the old one on all members.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { hashText } from '../../../base/common/rendezvous.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { formatMemberSubject } from '../../facts/common/fact.ts'
import type { MemberState } from '../../facts/common/fact.ts'
import type { FactStore, StoredFact, StoredFactOf } from '../../facts/common/factStore.ts'

export interface MembershipOptions {
  readonly address: string
  readonly hall: string
  /** Processing capacity of this host, in hundredths of a core. */
  readonly weight?: number
  /** Grows with each process start. */
  readonly incarnation: number
  readonly clock: IClock
  readonly random: IRandom
  readonly facts: FactStore
  /** How long a suspect has to refute the suspicion before it is considered dead. */
  readonly suspicionTimeoutMs?: number
  /** How long members that are dead or have left stay in the table. */
  readonly retentionMs?: number
}

export interface Member {
  readonly address: string
  readonly hall: string
  readonly state: MemberState
  readonly incarnation: number
  readonly weight: number
  /** Orders members by their process start: unlike `incarnation`, it does not change when the member refutes a suspicion. */
  readonly started?: number | undefined
}

/** The state of a member, and when it began, in milliseconds on the local clock. */
export interface MemberStateChange {
  readonly address: string
  readonly state: MemberState
  readonly since: number
}

/** Member lists derived from facts, with the list of facts they were derived from. */
interface MemberSnapshot {
  readonly facts: readonly StoredFactOf<'member'>[]
  readonly members: readonly Member[]
  readonly states: readonly MemberStateChange[]
  readonly knownCount: number
  readonly live: readonly Member[]
  readonly peers: readonly Member[]
  readonly peerAddresses: readonly string[]
}

/** The precedence of the states within one incarnation; it is the counter of the member's fact. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 }

/** How long members that are dead or have left stay in the table by default. */
export const MEMBER_RETENTION_MS = 600_000
/** How long dead and left members are included when two members compare their facts: by then all have received the fact. */
const DEPARTED_SYNC_MS = 60_000

export class MembershipTable extends Disposable {
  private readonly _options: MembershipOptions
  private readonly _suspicionTimeoutMs: number
  private readonly _retentionMs: number
  private _incarnation: number
  private _started: number
  private _state: MemberState = 'alive'
  private readonly _stateChangedAt = new Map<string, number>()
  private _probeOrder: readonly string[] = []
  private _suspicionCount = 0
  private _digest: { readonly facts: readonly StoredFactOf<'member'>[], readonly value: number } = { facts: [], value: 0 }
  private _snapshot: MemberSnapshot = { facts: [], members: [], states: [], knownCount: 0, live: [], peers: [], peerAddresses: [] }

  constructor (options: MembershipOptions) {
    super()
    this._options = options
    this._suspicionTimeoutMs = options.suspicionTimeoutMs ?? 2000
    this._retentionMs = options.retentionMs ?? MEMBER_RETENTION_MS
    this._incarnation = options.incarnation
    this._started = options.incarnation
    this._register(options.facts.onDidChange(fact => this._handleFact(fact)))
    this._announce()
  }

  get incarnation (): number {
    return this._incarnation
  }

  /** How many times this member has suspected another one. */
  get suspicionCount (): number {
    return this._suspicionCount
  }

  /** All known members in any state, this one included. */
  listMembers (): readonly Member[] {
    return this._deriveSnapshot().members
  }

  /** The states of all known members, this one included, and when each began, on the local clock. */
  listStates (): readonly MemberStateChange[] {
    return this._deriveSnapshot().states
  }

  /** Members that are alive or suspect, this one included. */
  listLive (): readonly Member[] {
    return this._deriveSnapshot().live
  }

  /** The number of live members; at least 1, since this one is always counted. */
  countLive (): number {
    return Math.max(1, this.listLive().length)
  }

  /**
   * The number of members that have not left as planned, this one included. Those that cannot be reached are counted: they may
   * run on the other side of a partition. Allowances of the fleet that nodes divide among themselves are divided by this number. It is
   * read with every request, and counted again only if a member fact has changed.
   */
  countKnown (): number {
    return Math.max(1, this._deriveSnapshot().knownCount)
  }

  /** Derives the lists again only if a member fact has changed. */
  private _deriveSnapshot (): MemberSnapshot {
    const facts = this._listFacts()
    if (facts === this._snapshot.facts) return this._snapshot
    const members = facts.map(({ value, incarnation }) => ({ address: value.address, hall: value.hall, state: value.state, incarnation, weight: value.weight, started: value.started }))
    const live = members.filter(member => !isDeadOrLeft(member.state))
    const peers = live.filter(member => member.address !== this._options.address)
    const states = facts.map(({ value, observedAt }) => ({ address: value.address, state: value.state, since: observedAt }))
    const knownCount = members.filter(({ state }) => state !== 'left').length
    this._snapshot = { facts, members, states, knownCount, live, peers, peerAddresses: peers.map(member => member.address) }
    return this._snapshot
  }

  /** Live members without this one. */
  listPeers (): readonly Member[] {
    return this._deriveSnapshot().peers
  }

  /** Addresses of the live members without this one; the same array until a member fact changes. */
  listPeerAddresses (): readonly string[] {
    return this._deriveSnapshot().peerAddresses
  }

  /** Members considered dead. They may be alive: a network partition cannot be distinguished from their failure. */
  listDead (): readonly Member[] {
    return this.listMembers().filter(member => member.state === 'dead')
  }

  /** A hash of the live members and their states, equal on two members that know the same ones. Collisions are unlikely. */
  computeDigest (): number {
    const facts = this._listFacts()
    if (facts !== this._digest.facts) this._digest = { facts, value: digestFacts(facts) }
    return this._digest.value
  }

  /** Facts that a peer may lack: live members and those that died or left recently. Older facts are about to be removed. */
  listFactsToSync (): readonly StoredFactOf<'member'>[] {
    const now = this._options.clock.now()
    return this._listFacts().filter(fact => !isDeadOrLeft(fact.value.state) || now - fact.observedAt < DEPARTED_SYNC_MS)
  }

  /** Returns the next candidate to probe: each one once in a round, in a new random order in every round. */
  chooseProbeTarget (candidates: readonly string[] = this.listPeerAddresses()): string | undefined {
    this._probeOrder = this._probeOrder.filter(address => candidates.includes(address))
    if (this._probeOrder.length === 0) this._probeOrder = shuffle([...candidates], this._options.random)
    const [next, ...rest] = this._probeOrder
    this._probeOrder = rest
    return next
  }

  /** Marks a live member as suspect: it answered neither a direct probe nor the indirect ones. */
  suspect (address: string): void {
    const fact = this._findFact(address)
    if (fact?.value.state !== 'alive') return
    this._suspicionCount++
    this._mergeState(fact, 'suspect')
  }

  /** Records that a later process of a member was reached at its address, which other members may not have learned yet. */
  recordRestart (address: string, incarnation: number): void {
    const fact = this._findFact(address)
    if (fact === undefined || incarnation <= fact.incarnation) return
    this._mergeState({ ...fact, incarnation, value: { ...fact.value, started: incarnation } }, 'alive')
  }

  /**
   * Marks suspects as dead after the suspicion timeout, and removes dead and left members after the retention period.
   * An answer to a probe does not clear a suspicion, not even one raised by this member alone: the suspect refutes it itself.
   */
  expireMembers (): void {
    const now = this._options.clock.now()
    for (const fact of this._listFacts()) {
      const changedAt = this._stateChangedAt.get(fact.subject) ?? now
      if (fact.value.state === 'suspect' && now - changedAt >= this._suspicionTimeoutMs) this._mergeState(fact, 'dead')
      else if (isDeadOrLeft(fact.value.state) && now - changedAt >= this._retentionMs) this._removeFact(fact.subject)
    }
  }

  /** Announces that this member leaves as planned. */
  leave (): void {
    this._state = 'left'
    this._announce()
  }

  private _announce (): void {
    const { address, hall, facts, weight = 0 } = this._options
    const value = { kind: 'member' as const, address, hall, state: this._state, weight, started: this._started }
    facts.merge({ subject: formatMemberSubject(address), incarnation: this._incarnation, counter: STATE_PRECEDENCE[this._state], value, ageMs: 0 })
  }

  private _handleFact (fact: StoredFact): void {
    if (fact.value.kind !== 'member') return
    this._stateChangedAt.set(fact.subject, this._options.clock.now())
    if (fact.value.address !== this._options.address) return
    const isOwn = fact.incarnation === this._incarnation && fact.value.state === this._state
    if (isOwn || this._state === 'left') return
    this._incarnation = fact.incarnation + 1
    // The fact is about an earlier process, whose clock was ahead.
    if ((fact.value.started ?? 0) > this._started) this._started = this._incarnation
    this._announce()
  }

  private _mergeState (fact: StoredFactOf<'member'>, state: MemberState): void {
    const { subject, incarnation, value } = fact
    this._options.facts.merge({ subject, incarnation, counter: STATE_PRECEDENCE[state], value: { ...value, state }, ageMs: 0 })
  }

  private _removeFact (subject: string): void {
    this._options.facts.drop(subject)
    this._stateChangedAt.delete(subject)
  }

  private _findFact (address: string): StoredFactOf<'member'> | undefined {
    return this._listFacts().find(fact => fact.value.address === address)
  }

  private _listFacts (): readonly StoredFactOf<'member'>[] {
    return this._options.facts.listByKind('member')
  }
}

function digestFacts (facts: readonly StoredFactOf<'member'>[]): number {
  let digest = 0
  for (const { subject, incarnation, counter, value } of facts) if (!isDeadOrLeft(value.state)) digest ^= hashText(`${subject}/${incarnation}/${counter}`)
  return digest >>> 0
}

function isDeadOrLeft (state: MemberState): boolean {
  return state === 'dead' || state === 'left'
}

function shuffle (items: string[], random: IRandom): readonly string[] {
  for (let index = items.length - 1; index > 0; index--) {
    const swapIndex = Math.floor(random.next() * (index + 1))
    const item = items[index] ?? ''
    items[index] = items[swapIndex] ?? ''
    items[swapIndex] = item
  }
  return items
}
