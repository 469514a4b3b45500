/**
 * Synchronizes the upstream registry of a node with its source and its peers. Updates from the source are applied to the
 * registry; upstreams that leave or are gone are published as facts to peers, some of which may not reach the source.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { startInterval } from '../base/node/interval.ts'
import { formatEvacuationSubject, formatLeavingSubject } from '../services/facts/common/fact.ts'
import { isFactOfKind } from '../services/facts/common/factStore.ts'
import type { FactStore, StoredFact, StoredFactOf } from '../services/facts/common/factStore.ts'
import { formatPosition } from '../services/feed/common/sourcePosition.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { UpstreamChange, UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import type { Evacuation, UpstreamUpdate, UpstreamSource } from '../services/upstream/common/upstreamSource.ts'

export interface UpstreamSynchronizerOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  readonly source: UpstreamSource
  /** How long upstreams of a role may be cold after their hall is readmitted, in milliseconds. */
  readonly getColdMs?: (role: string) => number
}

/** Fact counters define the precedence of the states of one upstream instance: gone supersedes leaving. */
const LEAVING_COUNTER = 1
const GONE_COUNTER = 2
const PEER_SIGNAL = 'peer'
const LIST_SIGNAL = 'list'
/** A removal that a peer reported should arrive through this node's own watch within this time. */
const REMOVAL_CONFIRM_TIMEOUT_MS = 700
/** No facts about an upstream instance arrive any more this long after its end. */
const LEAVING_FACT_RETENTION_MS = 600_000
const FACT_CLEANUP_PERIOD_MS = 60_000
/** A source that was unreachable lists the operators' evacuations again within this time. */
const EVACUATION_CONFIRM_TIMEOUT_MS = 2500
/** Upstreams that are cold after a readmission are warm again within a few seconds. */
const READMISSION_DELAY_MS = 4000

export class UpstreamSynchronizer extends Disposable {
  private readonly _options: UpstreamSynchronizerOptions
  /** Halls that this node's own source reports as evacuated. */
  private readonly _hallsEvacuatedBySource = new Set<string>()
  /** Halls that peers reported as readmitted, with the source revision of the readmission. */
  private readonly _pendingReadmissions = new Map<string, number>()

  constructor (options: UpstreamSynchronizerOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(change => this._handleRegistryChange(change)))
    this._register(options.facts.onDidChange(fact => this._handleFact(fact)))
    this._register(options.source.onDidRead(update => this._applyUpdate(update)))
    this._register(options.source.onDidConfirm(revision => this._confirmRevision(revision)))
  }

  start (): void {
    this._register(startInterval(FACT_CLEANUP_PERIOD_MS, () => this._removeExpiredFacts()))
    this._options.source.start()
  }

  private _applyUpdate (update: UpstreamUpdate): void {
    const { log, registry } = this._options
    if (update.kind === 'updated') return registry.update(update.entry, 'source')
    if (update.kind === 'removed') return registry.remove(update.id, 'removed')
    if (update.kind === 'evacuated' || update.kind === 'readmitted') return this._publishEvacuation(update.evacuation, update.kind === 'evacuated')
    this._applyListedEvacuations(update.evacuations, update.revision)
    const listed = new Set(update.entries.map(entry => entry.id))
    const knownCount = registry.size
    for (const entry of update.entries) registry.update(entry, LIST_SIGNAL)
    if (registry.size > knownCount) log.info('upstreams_listed', { listed: listed.size, known_before: knownCount })
    for (const entry of registry.list()) if (!listed.has(entry.id)) registry.remove(entry.id, 'not listed')
  }

  /** Called before the listed upstreams are applied, so that upstreams of an evacuated hall are never used in between. */
  private _applyListedEvacuations (evacuations: readonly Evacuation[], revision: number): void {
    const listed = new Set(evacuations.map(({ hall }) => hall))
    for (const evacuation of evacuations) this._publishEvacuation(evacuation, true)
    for (const hall of this._options.registry.listEvacuatedHalls()) if (!listed.has(hall)) this._publishEvacuation({ hall, revision }, false)
  }

  /** Publishes the state of a hall as a fact; the highest source revision wins, whichever node received it. */
  private _publishEvacuation ({ hall, revision }: Evacuation, isEvacuated: boolean): void {
    if (isEvacuated) this._hallsEvacuatedBySource.add(hall)
    else this._hallsEvacuatedBySource.delete(hall)
    this._options.facts.merge({ subject: formatEvacuationSubject(hall), incarnation: 1, counter: revision, value: { kind: 'evacuation', hall, isEvacuated }, ageMs: 0 })
  }

  /**
   * Applies an evacuation fact. Operators write only to the source, so a peer's report holds only until this node's own
   * source has had time to confirm it.
   */
  private _applyEvacuation ({ counter, source: peer, value: { hall, isEvacuated } }: StoredFactOf<'evacuation'>): void {
    const { clock, registry, source } = this._options
    this._pendingReadmissions.delete(hall)
    if (!isEvacuated && peer !== '' && registry.computeFreshness(clock.now()).revision < counter) return this._delayReadmission(hall, counter, peer)
    this._setEvacuated(hall, isEvacuated, counter, peer)
    if (peer === '' || !isEvacuated) return
    clock.schedule(EVACUATION_CONFIRM_TIMEOUT_MS, () => {
      if (!this._isDisposed && registry.isEvacuated(hall) && !this._hallsEvacuatedBySource.has(hall)) source.refreshList()
    })
  }

  /**
   * Peers report a readmission sooner than the source, and the source's earlier updates, which mark the hall's upstreams
   * as cold, may still be outstanding. A node without updates from the source waits until the upstreams should be warm.
   */
  private _delayReadmission (hall: string, revision: number, peer: string): void {
    this._pendingReadmissions.set(hall, revision)
    this._options.clock.schedule(READMISSION_DELAY_MS, () => {
      if (!this._isDisposed && this._pendingReadmissions.get(hall) === revision) this._applyReadmission(hall, revision, peer)
    })
  }

  private _applyReadmission (hall: string, revision: number, peer: string): void {
    this._pendingReadmissions.delete(hall)
    this._setEvacuated(hall, false, revision, peer)
  }

  private _confirmRevision (revision: number): void {
    const { clock, registry } = this._options
    registry.confirmRevision(revision, clock.now())
    for (const [hall, readmittedRevision] of this._pendingReadmissions) if (readmittedRevision <= revision) this._applyReadmission(hall, readmittedRevision, '')
  }

  private _setEvacuated (hall: string, isEvacuated: boolean, revision: number, peer: string): void {
    const { clock, registry, log } = this._options
    if (!isEvacuated && registry.isEvacuated(hall)) this._markHallCold(hall)
    if (!registry.setEvacuated(hall, isEvacuated)) return
    const known = registry.computeFreshness(clock.now())
    log.info(isEvacuated ? 'hall_evacuated' : 'hall_readmitted', { hall, revision: formatPosition(revision), source: peer === '' ? 'own' : peer, known_revision: formatPosition(known.revision), known_age_ms: Math.round(known.ageMs) })
  }

  /** Upstreams may have become cold during the evacuation, and their report of it may have been lost if a store of the source failed. */
  private _markHallCold (hall: string): void {
    const { clock, registry, getColdMs = () => 0 } = this._options
    for (const entry of registry.list()) {
      const coldUntil = clock.now() + getColdMs(entry.role)
      if (entry.hall === hall && coldUntil > (entry.coldUntil ?? 0)) registry.update({ ...entry, coldUntil }, 'readmitted')
    }
  }

  private _handleRegistryChange ({ kind, entry, signal }: UpstreamChange): void {
    // Upstreams from a full list are not logged one by one: a starting fleet would write thousands of lines.
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

  private _handleFact (fact: StoredFact): void {
    const { clock, registry, source } = this._options
    if (isFactOfKind(fact, 'evacuation')) return this._applyEvacuation(fact)
    if (fact.value.kind !== 'leaving' || fact.source === '') return
    if (fact.counter === LEAVING_COUNTER) return registry.markLeaving(fact.value.upstream, PEER_SIGNAL)
    const { upstream } = fact.value
    if (!source.isCurrent) return registry.remove(upstream, PEER_SIGNAL)
    // Either the peer's list was briefly incomplete or this node's watch has stalled; a new list from the source decides.
    clock.schedule(REMOVAL_CONFIRM_TIMEOUT_MS, () => {
      if (!this._isDisposed && registry.get(upstream) !== undefined) source.refreshList()
    })
  }

  private _removeExpiredFacts (): void {
    const { clock, facts, registry } = this._options
    const now = clock.now()
    for (const { subject, observedAt, value } of facts.listByKind('leaving')) {
      // The source's entry may still report the instance as ready, so its fact is kept as long as the entry is.
      if (now - observedAt > LEAVING_FACT_RETENTION_MS && registry.get(value.upstream) === undefined) facts.drop(subject)
    }
  }
}
