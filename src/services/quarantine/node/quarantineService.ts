/**
 * Keeps requests that end what runs them from being sent again, at any node. What one node sees of an end goes to all as
 * a fact, one of each node for each upstream, so that what they saw adds up; each node judges by itself from the same
 * facts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { startInterval } from '../../../base/node/interval.ts'
import { formatClearedSubject, formatEndedSubject } from '../../facts/common/fact.ts'
import type { RunAtEnd } from '../../facts/common/fact.ts'
import type { FactStore, HeldFact } from '../../facts/common/factStore.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { IQuarantineService, ISuspect, LostRun } from '../common/quarantine.ts'
import { NO_STANDING, QuarantineBook } from '../common/quarantineBook.ts'
import type { QuarantinedRequest, Standing } from '../common/quarantineBook.ts'
import { probeUpstream } from './upstreamProbe.ts'
import type { ProbeResult } from './upstreamProbe.ts'

export interface QuarantineServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  /** This node, by its address. */
  readonly node: string
  /** Grows with each boot of the host. */
  readonly incarnation: number
  readonly probe?: (address: string) => Promise<ProbeResult>
}

/** An upstream to which a connection was lost, and what this node had there. */
class LostUpstream {
  readonly runs: RunAtEnd[] = []
  /** A later loss asks anew: the upstream was there, and may have ended since. */
  isThere = false

  constructor (readonly endedAt: number, readonly isEnded: Promise<boolean>) {
    void isEnded.then(value => { this.isThere = !value })
  }
}

/** The list of upstreams tells of an end within this where the upstream's host does not. */
const MAX_LIST_MS = 6000
/** A mass end of upstreams is no request's doing, and telling of each run would fill the links between nodes. */
const MAX_TOLD_PER_SECOND = 8
const MAX_RUNS_TOLD = 16
const EXPIRE_PERIOD_MS = 10_000
const DIGESTS_LOGGED = 4

export class QuarantineService extends Disposable implements IQuarantineService {
  private readonly _options: QuarantineServiceOptions
  private readonly _book = new QuarantineBook()
  private readonly _lost = new Map<string, LostUpstream>()
  private readonly _endedAt = new Map<string, number>()
  private readonly _toldAt: number[] = []
  /** Requests whose quarantine the log tells of. */
  private _announced: ReadonlySet<string> = new Set()
  private _isReportDue = false
  private _refusedCount = 0

  constructor (options: QuarantineServiceOptions) {
    super()
    this._options = options
    this._register(options.facts.onDidChange(fact => this._takeFact(fact)))
    this._register(startInterval(EXPIRE_PERIOD_MS, () => this._expire()))
  }

  /** Requests refused since the start because of what earlier tries did. */
  get refusedCount (): number {
    return this._refusedCount
  }

  /** Whether a node has seen that this boot ended, though it may still be listed. */
  hasEnded (upstream: string): boolean {
    return this._endedAt.has(upstream)
  }

  judge (suspect: ISuspect): Standing {
    return this._book.holdsSize(suspect.bodyBytes) ? this._book.judge(suspect.getDigest()) : NO_STANDING
  }

  async noteLost (run: LostRun): Promise<boolean> {
    const entry = this._options.registry.get(run.upstream)
    // What leaves as planned may end with work on it.
    if (entry === undefined || entry.isLeaving) return false
    const lost = this._getLost(run)
    lost.runs.push({ digest: run.digest, bodyBytes: run.bodyBytes, sentBeforeMs: Math.max(0, Math.round(lost.endedAt - run.sentAt)) })
    const isEnded = await lost.isEnded
    if (isEnded && !this._isDisposed) this._share(run.upstream, lost)
    return isEnded
  }

  noteServed (suspect: ISuspect): void {
    const digest = this._book.holdsSize(suspect.bodyBytes) ? suspect.getDigest() : undefined
    if (digest !== undefined && this._book.judge(digest).upstreams.length > 0) this.clear(digest, 'served')
  }

  reportRefusal (requestId: string, suspect: ISuspect, { ends, upstreams, lastEndedAt }: Standing): void {
    this._refusedCount++
    const evidenceAgeMs = Math.round(this._options.clock.now() - lastEndedAt)
    this._options.log.warn('request_quarantined', { request: requestId, digest: suspect.getDigest(), ends, upstreams: upstreams.join(), evidence_age_ms: evidenceAgeMs })
  }

  listQuarantined (): readonly QuarantinedRequest[] {
    return this._book.listQuarantined()
  }

  /** Takes back, at all nodes, what is held against a request so far; false where nothing is. */
  clear (digest: string, reason: 'served' | 'operator'): boolean {
    const { facts, log } = this._options
    if (this._book.judge(digest).upstreams.length === 0) return false
    const subject = formatClearedSubject(digest)
    const held = facts.get(subject)
    log.info('evidence_cleared', { digest, reason })
    return facts.merge({ subject, incarnation: 1, counter: (held?.counter ?? 0) + 1, value: { kind: 'cleared', digest, isServed: reason === 'served' }, ageMs: 0 })
  }

  private _getLost (run: LostRun): LostUpstream {
    const known = this._lost.get(run.upstream)
    if (known !== undefined && !known.isThere) return known
    const lost = new LostUpstream(run.endedAt, this._findEnd(run))
    this._lost.set(run.upstream, lost)
    return lost
  }

  private async _findEnd ({ upstream, address }: LostRun): Promise<boolean> {
    const result = await (this._options.probe ?? probeUpstream)(address)
    this._options.log.info('upstream_lost', { upstream, address, connection: result })
    if (result === 'silent' && !this._isDisposed) this._watchList(upstream)
    return result === 'refused'
  }

  /** A host that lost power refuses nothing; its upstream is taken out of the list some time later. */
  private _watchList (upstream: string): void {
    const { clock, registry } = this._options
    const watch = this._register(registry.onDidChange(({ kind, entry }) => {
      const lost = this._lost.get(upstream)
      if (kind === 'dropped' && entry.id === upstream && !entry.isLeaving && lost !== undefined) this._share(upstream, lost)
    }))
    clock.schedule(MAX_LIST_MS, () => this._release(watch))
  }

  private _share (upstream: string, { endedAt, runs }: LostUpstream): void {
    const { clock, facts, log, node, incarnation } = this._options
    const told = runs.slice(-MAX_RUNS_TOLD)
    const subject = formatEndedSubject(upstream, node)
    const isKnown = facts.get(subject) !== undefined
    if (!isKnown && !this._mayTell()) return
    if (!isKnown) log.warn('upstream_ended', { upstream, runs: runs.length, digests: told.slice(0, DIGESTS_LOGGED).map(run => run.digest).join() })
    facts.merge({ subject, incarnation, counter: runs.length, value: { kind: 'ended', upstream, runs: told }, ageMs: Math.max(0, Math.round(clock.now() - endedAt)) })
  }

  private _mayTell (): boolean {
    const now = this._options.clock.now()
    while (this._toldAt.length > 0 && now - (this._toldAt[0] ?? 0) > 1000) this._toldAt.shift()
    if (this._toldAt.length >= MAX_TOLD_PER_SECOND) return false
    this._toldAt.push(now)
    return true
  }

  private _takeFact ({ value, observedAt }: HeldFact): void {
    if (value.kind !== 'ended' && value.kind !== 'cleared') return
    this._scheduleReport()
    if (value.kind === 'cleared') return this._book.clear(value.digest, observedAt, { isServed: value.isServed })
    this._endedAt.set(value.upstream, observedAt)
    for (const { digest, bodyBytes, sentBeforeMs } of value.runs) {
      this._book.add({ digest, bodyBytes, upstream: value.upstream, sentAt: observedAt - sentBeforeMs, endedAt: observedAt })
    }
  }

  /** Facts come by the frame; each verdict looks at all evidence, and one between two facts may not last. */
  private _scheduleReport (): void {
    if (this._isReportDue) return
    this._isReportDue = true
    queueMicrotask(() => {
      this._isReportDue = false
      if (!this._isDisposed) this._reportQuarantined()
    })
  }

  private _reportQuarantined (): void {
    const requests = this._book.listQuarantined()
    for (const { digest, ends, upstreams } of requests) {
      if (!this._announced.has(digest)) this._options.log.warn('quarantine_began', { digest, ends, upstreams: upstreams.join() })
    }
    this._announced = new Set(requests.map(request => request.digest))
  }

  private _expire (): void {
    const now = this._options.clock.now()
    this._book.expire(now)
    for (const [upstream, { endedAt }] of [...this._lost]) if (now - endedAt > MAX_LIST_MS) this._lost.delete(upstream)
    for (const [upstream, at] of [...this._endedAt]) if (now - at > MAX_LIST_MS) this._endedAt.delete(upstream)
  }
}
