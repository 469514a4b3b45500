/**
 * The stewards that this one knows, as facts: alive, suspect, dead or left. A member that hears itself called suspect or
 * dead raises its incarnation, which outweighs the claim everywhere.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { hashText } from '../../../base/common/rendezvous.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { formatMemberSubject } from '../../facts/common/fact.ts'
import type { MemberState } from '../../facts/common/fact.ts'
import type { FactStore, HeldFact, HeldFactOf } from '../../facts/common/factStore.ts'

export interface MembershipOptions {
  readonly address: string
  readonly hall: string
  /** How much this host can do, in hundredths of a core. */
  readonly weight?: number
  /** Grows with each boot. */
  readonly incarnation: number
  readonly clock: IClock
  readonly random: IRandom
  readonly facts: FactStore
  /** How long a suspect has to answer before it is taken for dead. */
  readonly suspicionMs?: number
  /** How long the dead and the left are remembered. */
  readonly rememberMs?: number
}

export interface Member {
  readonly address: string
  readonly hall: string
  readonly state: MemberState
  readonly incarnation: number
  readonly weight: number
}

/** What the facts say of members, with the list of facts that it was derived from. */
interface KnownMembers {
  readonly facts: readonly HeldFactOf<'member'>[]
  readonly members: readonly Member[]
  readonly live: readonly Member[]
  readonly peers: readonly Member[]
  readonly peerAddresses: readonly string[]
}

/** The counter of a member fact is the precedence of its state within an incarnation. */
const PRECEDENCE: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 }

/** By then all have heard that a member went. */
const COMPARED_AGE_MS = 60_000

export class MembershipTable extends Disposable {
  private readonly _options: MembershipOptions
  private readonly _suspicionMs: number
  private readonly _rememberMs: number
  private _incarnation: number
  private _state: MemberState = 'alive'
  private readonly _changedAt = new Map<string, number>()
  private _probeOrder: readonly string[] = []
  private _suspicions = 0
  private _digest: { readonly facts: readonly HeldFactOf<'member'>[], readonly value: number } = { facts: [], value: 0 }
  private _known: KnownMembers = { facts: [], members: [], live: [], peers: [], peerAddresses: [] }

  constructor (options: MembershipOptions) {
    super()
    this._options = options
    this._suspicionMs = options.suspicionMs ?? 2000
    this._rememberMs = options.rememberMs ?? 600_000
    this._incarnation = options.incarnation
    this._register(options.facts.onDidChange(fact => this._watch(fact)))
    this._announce()
  }

  get incarnation (): number {
    return this._incarnation
  }

  /** How often this member suspected another. */
  get suspicionCount (): number {
    return this._suspicions
  }

  /** All members known, this one included. */
  listMembers (): readonly Member[] {
    return this._deriveMembers().members
  }

  /** Members taken for alive, this one included; a suspect still counts. */
  listLive (): readonly Member[] {
    return this._deriveMembers().live
  }

  /** How many members are taken for alive; this one always is. */
  countLive (): number {
    return Math.max(1, this.listLive().length)
  }

  /** Derived once for each change of a member. */
  private _deriveMembers (): KnownMembers {
    const facts = this._listFacts()
    if (facts === this._known.facts) return this._known
    const members = facts.map(({ value, incarnation }) => ({ address: value.address, hall: value.hall, state: value.state, incarnation, weight: value.weight }))
    const live = members.filter(member => !isGone(member.state))
    const peers = live.filter(member => member.address !== this._options.address)
    this._known = { facts, members, live, peers, peerAddresses: peers.map(member => member.address) }
    return this._known
  }

  /** Other members taken for alive. */
  listPeers (): readonly Member[] {
    return this._deriveMembers().peers
  }

  /** Addresses of the other members taken for alive; the same list until a member changes. */
  listPeerAddresses (): readonly string[] {
    return this._deriveMembers().peerAddresses
  }

  /** Members that were taken for dead and may not be: a partition looks like the death of the other side. */
  listDead (): readonly Member[] {
    return this.listMembers().filter(member => member.state === 'dead')
  }

  /** A number that two members share if they know the same live members in the same states, and hardly otherwise. */
  computeDigest (): number {
    const facts = this._listFacts()
    if (facts !== this._digest.facts) this._digest = { facts, value: digestFacts(facts) }
    return this._digest.value
  }

  /** What others may lack: live members, and those that went lately. What went long ago is being forgotten. */
  listToCompare (): readonly HeldFactOf<'member'>[] {
    const now = this._options.clock.now()
    return this._listFacts().filter(fact => !isGone(fact.value.state) || now - fact.observedAt < COMPARED_AGE_MS)
  }

  /** The next of some members to probe: each one once in a round, in a new random order each round. */
  chooseProbe (among: readonly string[] = this.listPeerAddresses()): string | undefined {
    this._probeOrder = this._probeOrder.filter(address => among.includes(address))
    if (this._probeOrder.length === 0) this._probeOrder = shuffle([...among], this._options.random)
    const [next, ...rest] = this._probeOrder
    this._probeOrder = rest
    return next
  }

  /** A member did not answer, neither directly nor through others. */
  suspect (address: string): void {
    const fact = this._findFact(address)
    if (fact?.value.state !== 'alive') return
    this._suspicions++
    this._claim(fact, 'suspect')
  }

  /** A member answered; a suspicion of our own alone is not taken back here, since the member refutes it itself. */
  expire (): void {
    const now = this._options.clock.now()
    for (const fact of this._listFacts()) {
      const changedAt = this._changedAt.get(fact.subject) ?? now
      if (fact.value.state === 'suspect' && now - changedAt >= this._suspicionMs) this._claim(fact, 'dead')
      else if (isGone(fact.value.state) && now - changedAt >= this._rememberMs) this._forget(fact.subject)
    }
  }

  /** Says that this member leaves as planned. */
  leave (): void {
    this._state = 'left'
    this._announce()
  }

  private _announce (): void {
    const { address, hall, facts, weight = 0 } = this._options
    const value = { kind: 'member' as const, address, hall, state: this._state, weight }
    facts.merge({ subject: formatMemberSubject(address), incarnation: this._incarnation, counter: PRECEDENCE[this._state], value, ageMs: 0 })
  }

  private _watch (fact: HeldFact): void {
    if (fact.value.kind !== 'member') return
    this._changedAt.set(fact.subject, this._options.clock.now())
    if (fact.value.address !== this._options.address) return
    const isOwn = fact.incarnation === this._incarnation && fact.value.state === this._state
    if (isOwn || this._state === 'left') return
    this._incarnation = fact.incarnation + 1
    this._announce()
  }

  private _claim (fact: HeldFactOf<'member'>, state: MemberState): void {
    const { subject, incarnation, value } = fact
    this._options.facts.merge({ subject, incarnation, counter: PRECEDENCE[state], value: { ...value, state }, ageMs: 0 })
  }

  private _forget (subject: string): void {
    this._options.facts.drop(subject)
    this._changedAt.delete(subject)
  }

  private _findFact (address: string): HeldFactOf<'member'> | undefined {
    return this._listFacts().find(fact => fact.value.address === address)
  }

  private _listFacts (): readonly HeldFactOf<'member'>[] {
    return this._options.facts.listKind('member')
  }
}

function digestFacts (facts: readonly HeldFactOf<'member'>[]): number {
  let digest = 0
  for (const { subject, incarnation, counter, value } of facts) if (!isGone(value.state)) digest ^= hashText(`${subject}/${incarnation}/${counter}`)
  return digest >>> 0
}

function isGone (state: MemberState): boolean {
  return state === 'dead' || state === 'left'
}

function shuffle (items: string[], random: IRandom): readonly string[] {
  for (let index = items.length - 1; index > 0; index--) {
    const other = Math.floor(random.next() * (index + 1))
    const item = items[index] ?? ''
    items[index] = items[other] ?? ''
    items[other] = item
  }
  return items
}
