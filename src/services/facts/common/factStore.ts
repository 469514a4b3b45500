/**
 * Stores the facts that a process knows in the order in which it learned them, so that a link can send only new ones.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { compareFacts } from './fact.ts'
import type { Fact, FactValue } from './fact.ts'

/** A fact as it is stored. */
export interface StoredFact {
  readonly subject: string
  readonly incarnation: number
  readonly counter: number
  readonly value: FactValue
  /** When the writer observed it, in milliseconds on the local clock. */
  readonly observedAt: number
  /** The store's sequence number of this change. */
  readonly sequence: number
  /** The address of the peer that sent it; empty for facts of this process. */
  readonly source: string
}

/** A stored fact whose value is of one kind. */
export type StoredFactOf<K extends FactValue['kind']> = StoredFact & { readonly value: FactValue & { readonly kind: K } }

export function isFactOfKind<K extends FactValue['kind']> (fact: StoredFact, kind: K): fact is StoredFactOf<K> {
  return fact.value.kind === kind
}

/** The subjects of some kinds are short-lived. Facts of these kinds expire after this time, and older ones are not accepted from peers. */
const MAX_FACT_AGE_MS = 600_000
const EXPIRING_KINDS = ['gate', 'ended', 'cleared', 'limit', 'refusal'] as const
/** Room for 1000 crashes of upstreams, each reported by a few nodes, and for the facts that clear them; more would displace members. */
const MAX_EVIDENCE_FACTS = 4000
/** Far more than a fleet of the target size needs; protects against a faulty sender. */
const MAX_FACTS = 20_000

export class FactStore extends Disposable {
  private readonly _facts = new Map<string, StoredFact>()
  /** Cached until a fact of the kind changes: members are read with every request and rarely change. */
  private readonly _listsByKind = new Map<FactValue['kind'], readonly StoredFact[]>()
  private _sequence = 0
  private _evidenceCount = 0
  private readonly _onDidChange = this._register(new Emitter<StoredFact>())
  readonly onDidChange = this._onDidChange.event

  constructor (private readonly _clock: IClock) {
    super()
  }

  /** The number of changes so far. */
  get sequence (): number {
    return this._sequence
  }

  get size (): number {
    return this._facts.size
  }

  /** Stores a fact if it is newer than the stored one and within the limits; returns whether it was stored. */
  merge (fact: Fact, source = ''): boolean {
    const stored = this._facts.get(fact.subject)
    if (stored !== undefined && compareFacts(fact, stored) <= 0) return false
    if (stored === undefined && this._facts.size >= MAX_FACTS) return false
    if (isExpiring(fact.value) && fact.ageMs > MAX_FACT_AGE_MS) return false
    if (stored === undefined && isQuarantineEvidence(fact.value)) {
      if (this._evidenceCount >= MAX_EVIDENCE_FACTS) return false
      this._evidenceCount++
    }
    const { subject, incarnation, counter, value } = fact
    const observedAt = this._clock.now() - fact.ageMs
    const updated: StoredFact = { subject, incarnation, counter, value, observedAt, sequence: ++this._sequence, source }
    // A changed fact moves to the end, so that the map stays in sequence order.
    this._facts.delete(subject)
    this._facts.set(subject, updated)
    this._listsByKind.delete(value.kind)
    this._onDidChange.fire(updated)
    return true
  }

  get (subject: string): StoredFact | undefined {
    return this._facts.get(subject)
  }

  /** Removes the fact about a subject that is no longer relevant. */
  drop (subject: string): void {
    const stored = this._facts.get(subject)
    if (stored === undefined) return
    this._facts.delete(subject)
    if (isQuarantineEvidence(stored.value)) this._evidenceCount--
    this._listsByKind.delete(stored.value.kind)
  }

  /** Removes expired facts. */
  removeExpired (): void {
    const now = this._clock.now()
    for (const kind of EXPIRING_KINDS) {
      for (const fact of this.listByKind(kind)) if (now - fact.observedAt > MAX_FACT_AGE_MS) this.drop(fact.subject)
    }
  }

  list (): readonly StoredFact[] {
    return [...this._facts.values()]
  }

  /** The facts of one kind; the same array until one of them changes. */
  listByKind<K extends FactValue['kind']>(kind: K): readonly StoredFactOf<K>[] {
    const cached = this._listsByKind.get(kind) ?? this.list().filter(fact => fact.value.kind === kind)
    this._listsByKind.set(kind, cached)
    return cached as readonly StoredFactOf<K>[]
  }

  /**
   * Returns the facts learned after `sequence`, ready to send to the peer `excludedSource`. Facts that this peer itself sent
   * after the sequence number `excludedAfter` are left out; earlier ones are included, since it may have lost them in a
   * restart. Facts that clear requests come first: otherwise a joining node would, until they arrive, regard requests as
   * the cause of a crash although they have been served since.
   */
  listSince (sequence: number, excludedSource: string, excludedAfter = 0): readonly Fact[] {
    const otherFacts: StoredFact[] = []
    const clearedFacts: StoredFact[] = []
    for (const stored of this._facts.values()) {
      const isKnownToReceiver = excludedSource !== '' && stored.source === excludedSource && stored.sequence > excludedAfter
      if (stored.sequence <= sequence || isKnownToReceiver) continue
      if (stored.value.kind === 'cleared') clearedFacts.push(stored)
      else otherFacts.push(stored)
    }
    return this.createFacts([...clearedFacts, ...otherFacts])
  }

  /** Converts stored facts to the form in which they are sent, with their age at present. */
  createFacts (stored: readonly StoredFact[]): readonly Fact[] {
    const now = this._clock.now()
    return stored.map(({ subject, incarnation, counter, value, observedAt }) => ({ subject, incarnation, counter, value, ageMs: Math.max(0, Math.round(now - observedAt)) }))
  }
}

function isExpiring ({ kind }: FactValue): boolean {
  return EXPIRING_KINDS.some(expiring => expiring === kind)
}

function isQuarantineEvidence ({ kind }: FactValue): boolean {
  return kind === 'ended' || kind === 'cleared'
}
