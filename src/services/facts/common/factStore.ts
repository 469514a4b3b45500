/**
 * The facts that a process holds, and the order in which it learned them, so that a link can send what is new.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { compareFacts } from './fact.ts'
import type { Fact, FactValue } from './fact.ts'

/** A fact as it is held. */
export interface HeldFact {
  readonly subject: string
  readonly incarnation: number
  readonly counter: number
  readonly value: FactValue
  /** When the writer knew it, on this process's clock. */
  readonly observedAt: number
  /** This process's count of changes when it learned the fact. */
  readonly sequence: number
  /** The link that brought it; empty for own facts. */
  readonly source: string
}

/** A held fact whose value is of one kind. */
export type HeldFactOf<K extends FactValue['kind']> = HeldFact & { readonly value: FactValue & { readonly kind: K } }

export function isFactOf<K extends FactValue['kind']> (fact: HeldFact, kind: K): fact is HeldFactOf<K> {
  return fact.value.kind === kind
}

/** Gates come and go, and so do ends of upstreams; what was said so long ago is of no use, and must not come back from a peer either. */
const MAX_FACT_AGE_MS = 600_000
const AGEING_KINDS = ['gate', 'ended', 'cleared', 'limit'] as const
/** Room for a thousand ends, each seen by a few nodes, and what was taken back of them; more would crowd out members. */
const MAX_EVIDENCE_FACTS = 4000
/** Far above what a fleet of the target size has; a bound against a sender that has gone wrong. */
const MAX_FACTS = 20_000

export class FactStore extends Disposable {
  private readonly _facts = new Map<string, HeldFact>()
  /** Kept until a fact of the kind changes: members are looked at with every request, and rarely change. */
  private readonly _listsByKind = new Map<FactValue['kind'], readonly HeldFact[]>()
  private _sequence = 0
  private _evidenceCount = 0
  private readonly _onDidChange = this._register(new Emitter<HeldFact>())
  readonly onDidChange = this._onDidChange.event

  constructor (private readonly _clock: IClock) {
    super()
  }

  /** The count of changes so far. */
  get sequence (): number {
    return this._sequence
  }

  get size (): number {
    return this._facts.size
  }

  /** Takes a fact in if it is newer than what is held; tells whether it was. */
  merge (fact: Fact, source = ''): boolean {
    const held = this._facts.get(fact.subject)
    if (held !== undefined && compareFacts(fact, held) <= 0) return false
    if (held === undefined && this._facts.size >= MAX_FACTS) return false
    if (isAgeing(fact.value) && fact.ageMs > MAX_FACT_AGE_MS) return false
    if (held === undefined && isEvidence(fact.value)) {
      if (this._evidenceCount >= MAX_EVIDENCE_FACTS) return false
      this._evidenceCount++
    }
    const { subject, incarnation, counter, value } = fact
    const observedAt = this._clock.now() - fact.ageMs
    const next: HeldFact = { subject, incarnation, counter, value, observedAt, sequence: ++this._sequence, source }
    // A changed fact moves to the end, so that the map stays in the order of the sequence.
    this._facts.delete(subject)
    this._facts.set(subject, next)
    this._listsByKind.delete(value.kind)
    this._onDidChange.fire(next)
    return true
  }

  get (subject: string): HeldFact | undefined {
    return this._facts.get(subject)
  }

  /** Drops facts about subjects that no longer matter. */
  drop (subject: string): void {
    const held = this._facts.get(subject)
    if (held === undefined) return
    this._facts.delete(subject)
    if (isEvidence(held.value)) this._evidenceCount--
    this._listsByKind.delete(held.value.kind)
  }

  /** Forgets what is of no use after a long time. */
  dropOld (): void {
    const now = this._clock.now()
    for (const kind of AGEING_KINDS) {
      for (const fact of this.listKind(kind)) if (now - fact.observedAt > MAX_FACT_AGE_MS) this.drop(fact.subject)
    }
  }

  list (): readonly HeldFact[] {
    return [...this._facts.values()]
  }

  /** The facts of one kind; the same list until one of them changes. */
  listKind<K extends FactValue['kind']>(kind: K): readonly HeldFactOf<K>[] {
    const kept = this._listsByKind.get(kind) ?? this.list().filter(fact => fact.value.kind === kind)
    this._listsByKind.set(kind, kept)
    return kept as readonly HeldFactOf<K>[]
  }

  /**
   * What was learned after a sequence number, ready to send, but not what a source said after another one: it knows that,
   * while what it said before may be lost to it by a restart. What was taken back goes first: a node that joins would
   * hold requests guilty, between two facts, that were served since.
   */
  listSince (sequence: number, exceptSource: string, saidAfter = 0): readonly Fact[] {
    const news: HeldFact[] = []
    const takenBack: HeldFact[] = []
    for (const held of this._facts.values()) {
      const isKnownThere = exceptSource !== '' && held.source === exceptSource && held.sequence > saidAfter
      if (held.sequence <= sequence || isKnownThere) continue
      if (held.value.kind === 'cleared') takenBack.push(held)
      else news.push(held)
    }
    return this.createFacts([...takenBack, ...news])
  }

  /** Held facts as they are sent. */
  createFacts (held: readonly HeldFact[]): readonly Fact[] {
    const now = this._clock.now()
    return held.map(({ subject, incarnation, counter, value, observedAt }) => ({ subject, incarnation, counter, value, ageMs: Math.max(0, Math.round(now - observedAt)) }))
  }
}

function isAgeing ({ kind }: FactValue): boolean {
  return AGEING_KINDS.some(ageing => ageing === kind)
}

function isEvidence ({ kind }: FactValue): boolean {
  return kind === 'ended' || kind === 'cleared'
}
