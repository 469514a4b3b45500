/**
 * What a node knows of upstreams, from its source and from its peers: the source's news go into the registry, and what
 * is learned of an upstream's end goes to the peers, some of which may be cut off from the source.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { startInterval } from '../base/node/interval.ts'
import { formatEvacuationSubject, formatLeavingSubject } from '../services/facts/common/fact.ts'
import { isFactOf } from '../services/facts/common/factStore.ts'
import type { FactStore, HeldFact, HeldFactOf } from '../services/facts/common/factStore.ts'
import { formatPosition } from '../services/feed/common/sourcePosition.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { UpstreamChange, UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { Evacuation, UpstreamUpdate, UpstreamSource } from '../services/upstream/common/upstreamSource.ts'

export interface UpstreamSharingOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  readonly source: UpstreamSource
  /** How long upstreams of a role may be cold when their hall is taken back. */
  readonly getColdMs?: (role: string) => number
}

/** Order of what is said of one boot: gone outweighs leaving. */
const LEAVING_COUNTER = 1
const GONE_COUNTER = 2
const PEER_SIGNAL = 'peer'
const LIST_SIGNAL = 'list'
/** This node's own watch should have told what a peer said within this time. */
const CONFIRM_MS = 700
/** Boots are never heard of again so long after their end. */
const FORGET_LEAVING_MS = 600_000
const DROP_PERIOD_MS = 60_000
/** A source that was away lists what operators have said again within this time. */
const CONFIRM_EVACUATION_MS = 2500
/** Upstreams that come back cold are warm again within some seconds. */
const READMIT_WAIT_MS = 4000

export class UpstreamSharing extends Disposable {
  private readonly _options: UpstreamSharingOptions
  /** Halls that are evacuated by this node's own source. */
  private readonly _toldHalls = new Set<string>()
  /** Halls that peers say are taken back, with the source's revision of that. */
  private readonly _readmissions = new Map<string, number>()

  constructor (options: UpstreamSharingOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(change => this._noteChange(change)))
    this._register(options.facts.onDidChange(fact => this._takeFact(fact)))
    this._register(options.source.onDidRead(news => this._takeNews(news)))
    this._register(options.source.onDidConfirm(revision => this._confirm(revision)))
  }

  start (): void {
    this._register(startInterval(DROP_PERIOD_MS, () => this._dropOldFacts()))
    this._options.source.start()
  }

  private _takeNews (news: UpstreamUpdate): void {
    const { log, registry } = this._options
    if (news.kind === 'updated') return registry.update(news.entry, 'source')
    if (news.kind === 'removed') return registry.remove(news.id, 'removed')
    if (news.kind === 'evacuated' || news.kind === 'readmitted') return this._shareEvacuation(news.evacuation, news.kind === 'evacuated')
    this._takeListedEvacuations(news.evacuations, news.revision)
    const listed = new Set(news.entries.map(entry => entry.id))
    const knownCount = registry.size
    for (const entry of news.entries) registry.update(entry, LIST_SIGNAL)
    if (registry.size > knownCount) log.info('upstreams_listed', { listed: listed.size, known_before: knownCount })
    for (const entry of registry.list()) if (!listed.has(entry.id)) registry.remove(entry.id, 'not listed')
  }

  /** Before the upstreams, so that none of an evacuated hall is used for a moment. */
  private _takeListedEvacuations (evacuations: readonly Evacuation[], revision: number): void {
    const listed = new Set(evacuations.map(({ hall }) => hall))
    for (const evacuation of evacuations) this._shareEvacuation(evacuation, true)
    for (const hall of this._options.registry.listEvacuatedHalls()) if (!listed.has(hall)) this._shareEvacuation({ hall, revision }, false)
  }

  /** What is known of a hall is the fact with the source's latest revision, whichever node heard of it. */
  private _shareEvacuation ({ hall, revision }: Evacuation, isEvacuated: boolean): void {
    if (isEvacuated) this._toldHalls.add(hall)
    else this._toldHalls.delete(hall)
    this._options.facts.merge({ subject: formatEvacuationSubject(hall), incarnation: 1, counter: revision, value: { kind: 'evacuation', hall, isEvacuated }, ageMs: 0 })
  }

  /** Operators speak to the source alone, so a peer's word holds only until this node's own source has had time to say it. */
  private _takeEvacuation ({ counter, source: peer, value: { hall, isEvacuated } }: HeldFactOf<'evacuation'>): void {
    const { clock, registry, source } = this._options
    this._readmissions.delete(hall)
    if (!isEvacuated && peer !== '' && registry.computeFreshness(clock.now()).revision < counter) return this._delayReadmission(hall, counter, peer)
    this._setEvacuated(hall, isEvacuated, counter, peer)
    if (peer === '' || !isEvacuated) return
    clock.schedule(CONFIRM_EVACUATION_MS, () => {
      if (!this._isDisposed && registry.isEvacuated(hall) && !this._toldHalls.has(hall)) source.refreshList()
    })
  }

  /**
   * Peers tell each other sooner than the source tells a node, and what the source said before that is still to come: that
   * the hall's upstreams are cold. A node that does not hear the source gives them the time to become warm.
   */
  private _delayReadmission (hall: string, revision: number, peer: string): void {
    this._readmissions.set(hall, revision)
    this._options.clock.schedule(READMIT_WAIT_MS, () => {
      if (!this._isDisposed && this._readmissions.get(hall) === revision) this._applyReadmission(hall, revision, peer)
    })
  }

  private _applyReadmission (hall: string, revision: number, peer: string): void {
    this._readmissions.delete(hall)
    this._setEvacuated(hall, false, revision, peer)
  }

  private _confirm (revision: number): void {
    const { clock, registry } = this._options
    registry.confirmRevision(revision, clock.now())
    for (const [hall, since] of this._readmissions) if (since <= revision) this._applyReadmission(hall, since, '')
  }

  private _setEvacuated (hall: string, isEvacuated: boolean, revision: number, peer: string): void {
    const { clock, registry, log } = this._options
    if (!isEvacuated && registry.isEvacuated(hall)) this._markCold(hall)
    if (!registry.setEvacuated(hall, isEvacuated)) return
    const known = registry.computeFreshness(clock.now())
    log.info(isEvacuated ? 'hall_evacuated' : 'hall_readmitted', { hall, revision: formatPosition(revision), source: peer === '' ? 'own' : peer, known_revision: formatPosition(known.revision), known_age_ms: Math.round(known.ageMs) })
  }

  /** Upstreams may have become cold while their hall was empty, and their word of it may have been lost with a store. */
  private _markCold (hall: string): void {
    const { clock, registry, getColdMs = () => 0 } = this._options
    for (const entry of registry.list()) {
      const coldUntil = clock.now() + getColdMs(entry.role)
      if (entry.hall === hall && coldUntil > (entry.coldUntil ?? 0)) registry.update({ ...entry, coldUntil }, 'readmitted')
    }
  }

  private _noteChange ({ kind, entry, signal }: UpstreamChange): void {
    // A list of all upstreams is one line: a starting fleet would write thousands.
    if (kind === 'changed' || (kind === 'added' && signal === LIST_SIGNAL)) return
    const { revision, ageMs } = this._options.registry.computeFreshness(this._options.clock.now())
    this._options.log.info(`upstream_${kind}`, { upstream: entry.id, role: entry.role, address: entry.address, signal, known_revision: formatPosition(revision), known_age_ms: Math.round(ageMs) })
    if (kind === 'added' || signal === PEER_SIGNAL) return
    this._options.facts.merge({
      subject: formatLeavingSubject(entry.id),
      incarnation: 1,
      counter: kind === 'leaving' ? LEAVING_COUNTER : GONE_COUNTER,
      value: { kind: 'leaving', upstream: entry.id, signal },
      ageMs: 0
    })
  }

  private _takeFact (fact: HeldFact): void {
    const { clock, registry, source } = this._options
    if (isFactOf(fact, 'evacuation')) return this._takeEvacuation(fact)
    if (fact.value.kind !== 'leaving' || fact.source === '') return
    if (fact.counter === LEAVING_COUNTER) return registry.markLeaving(fact.value.upstream, PEER_SIGNAL)
    const { upstream } = fact.value
    if (!source.isCurrent) return registry.remove(upstream, PEER_SIGNAL)
    // A peer's list may have been short for a moment, or this node's watch may have gone silent: a new list decides.
    clock.schedule(CONFIRM_MS, () => {
      if (!this._isDisposed && registry.get(upstream) !== undefined) source.refreshList()
    })
  }

  private _dropOldFacts (): void {
    const { clock, facts, registry } = this._options
    const now = clock.now()
    for (const { subject, observedAt, value } of facts.listKind('leaving')) {
      // An entry may go on saying that the boot is ready.
      if (now - observedAt > FORGET_LEAVING_MS && registry.get(value.upstream) === undefined) facts.drop(subject)
    }
  }
}
