/**
 * Prevents requests that crash upstreams, as a whole or by a part of their prompts, from being sent again by any node. Each
 * node publishes the runs that it lost at a crashed upstream as one fact per node and upstream, so that the observations of all
 * nodes add up. Every node then decides independently from the same facts.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { Event } from '../../../base/common/event.ts'
import { startInterval, waitFor } from '../../../base/node/interval.ts'
import { formatClearedSubject, formatEndedSubject } from '../../facts/common/fact.ts'
import type { InterruptedRun } from '../../facts/common/fact.ts'
import type { FactStore, StoredFact } from '../../facts/common/factStore.ts'
import type { ILogService, LogFields } from '../../log/node/logger.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { InstanceIdentity } from '../common/instanceProbe.ts'
import { formatPartKey, parsePartKey } from '../common/partKey.ts'
import type { IQuarantineService, LostRun, OpenRun, ServedRun } from '../common/quarantine.ts'
import { QuarantineTracker } from '../common/quarantineTracker.ts'
import type { CrashRecord, QuarantineEntry } from '../common/quarantineTracker.ts'
import type { IRequestIdentity } from '../common/requestIdentity.ts'
import { LostUpstreams, MAX_LIST_DELAY_MS } from './lostUpstreams.ts'
import type { UpstreamCrash } from './lostUpstreams.ts'
import { MAX_EXIT_MS, probeUpstream } from './upstreamProbe.ts'
import type { ProbeResult } from './upstreamProbe.ts'

export interface QuarantineServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  /** This node's address. */
  readonly node: string
  /** Increases with each process start on the host. */
  readonly incarnation: number
  readonly probe?: (address: string) => Promise<ProbeResult>
  /** Fires when this node has the evidence of its peers; without it, the node has none to wait for. */
  readonly onDidJoin?: Event<void>
  /** Without it, an address that accepts connections counts as that of the instance which was listed there. */
  readonly readIdentity?: (upstream: UpstreamEntry) => Promise<InstanceIdentity>
}

/** Many crashes at once are not caused by a request, and publishing every run would saturate the links between nodes. */
const MAX_REPORTS_PER_SECOND = 8
const MAX_REPORTED_RUNS = 16
const EXPIRE_PERIOD_MS = 10_000
const MAX_LOGGED_DIGESTS = 4
/** A cause may be in flight at many crashes before it is known everywhere. */
const MAX_LOGGED_UPSTREAMS = 8

export class QuarantineService extends Disposable implements IQuarantineService {
  private readonly _options: QuarantineServiceOptions
  private readonly _tracker = new QuarantineTracker()
  private readonly _lostUpstreams: LostUpstreams
  private readonly _crashedAtByUpstream = new Map<string, number>()
  private readonly _reportTimes: number[] = []
  /** Descriptions of the entries that were logged. */
  private _loggedEntries: ReadonlySet<string> = new Set()
  private _isLogScheduled = false
  private _refusedCount = 0
  /** Undefined once this node has the evidence of its peers. */
  private _joined: Promise<void> | undefined

  constructor (options: QuarantineServiceOptions) {
    super()
    this._options = options
    this._lostUpstreams = this._register(new LostUpstreams({ ...options, probe: address => this._probe(address) }))
    this._register(this._lostUpstreams.onDidCrash(crash => this._publishCrash(crash)))
    this._register(options.facts.onDidChange(fact => this._processFact(fact)))
    if (options.onDidJoin !== undefined) this._joined = this._startJoinWait(options.onDidJoin)
    this._register(startInterval(EXPIRE_PERIOD_MS, () => this._expire()))
  }

  /** Requests refused since process start because of the quarantine. */
  get refusedCount (): number {
    return this._refusedCount
  }

  /** Whether any node has observed that this upstream instance crashed, although it may still be listed. */
  hasCrashed (upstream: string): boolean {
    return this._crashedAtByUpstream.has(upstream)
  }

  waitForPeers (): Promise<void> | undefined {
    return this._joined
  }

  getCrashRecord (request: IRequestIdentity): CrashRecord {
    return this._tracker.findRecord(request)
  }

  async confirmRunning (entry: UpstreamEntry): Promise<boolean> {
    const { registry, log } = this._options
    const { id: upstream, address } = entry
    const current = registry.get(upstream)
    const listing = current === undefined ? 'none' : current.isLeaving ? 'leaving' : 'listed'
    const identity = await this._options.readIdentity?.(entry) ?? 'unknown'
    const connection = identity === 'unknown' ? await this._probeAfterExit(address) : 'none'
    const isRunning = identity === 'same' || (connection === 'accepted' && !this._lostUpstreams.hasCrashed(upstream))
    log.info('unframed_answer_ended', { upstream, address, listing, connection, instance: identity, is_whole: isRunning })
    return isRunning
  }

  recordLostRun (run: LostRun): Promise<boolean> {
    return this._lostUpstreams.recordLost(run)
  }

  trackRun (run: OpenRun): IDisposable {
    return this._lostUpstreams.trackRun(run)
  }

  recordSilentRun (run: LostRun): void {
    this._lostUpstreams.recordSilent(run)
  }

  recordServed (request: IRequestIdentity, { requestId, upstream, sentAt }: ServedRun): void {
    this._tracker.recordAnsweredParts(request.getPartKeys())
    if (this._tracker.isEmpty) return
    const answer = { request: requestId, upstream }
    const digest = this._tracker.hasBodySize(request.bodyBytes) ? request.getDigest() : undefined
    if (digest !== undefined && this._tracker.getCrashRecord(digest).upstreams.length > 0) this._publishCleared(digest, 'served', 0, answer)
    // Only crashes before the request was sent are disproved: an upstream may crash on a part from some moment on.
    const ageMs = Math.max(0, Math.ceil(this._options.clock.now() - sentAt))
    for (const key of request.getPartKeys()) if (this._tracker.isClearedBy(key, sentAt)) this._publishCleared(key, 'served', ageMs, answer)
  }

  reportRefusal (requestId: string, request: IRequestIdentity, { crashCount: ends, parts, upstreams, lastCrashAt }: CrashRecord): void {
    this._refusedCount++
    const evidenceAgeMs = Math.round(this._options.clock.now() - lastCrashAt)
    const cause: Readonly<Record<string, string>> = parts.length > 0 ? { parts: parts.join() } : { digest: request.getDigest() }
    this._options.log.warn('request_quarantined', { request: requestId, ...cause, ends, upstreams: formatUpstreams(upstreams), evidence_age_ms: evidenceAgeMs })
  }

  listQuarantined (): readonly QuarantineEntry[] {
    return this._tracker.listQuarantined()
  }

  /** Discards the evidence against a request's digest or a part's key at all nodes; returns false if there is none. */
  clear (key: string): boolean {
    return this._tracker.hasEvidence(key) && this._publishCleared(key, 'operator', 0)
  }

  /** The evidence is discarded up to `ageMs` ago. */
  private _publishCleared (key: string, reason: 'served' | 'operator', ageMs: number, answer: LogFields = {}): boolean {
    const { facts, log } = this._options
    const subject = formatClearedSubject(key)
    const held = facts.get(subject)
    log.info('evidence_cleared', { digest: key, reason, up_to_ms_ago: ageMs, ...answer })
    return facts.merge({ subject, incarnation: 1, counter: (held?.counter ?? 0) + 1, value: { kind: 'cleared', digest: key, isServed: reason === 'served' }, ageMs })
  }

  /** Probes an upstream that may just have been killed. A probe without an answer is repeated, since this node may have been suspended. */
  private async _probeAfterExit (address: string): Promise<ProbeResult> {
    await waitFor(MAX_EXIT_MS)
    const result = await this._probe(address)
    return result === 'silent' ? await this._probe(address) : result
  }

  private _probe (address: string): Promise<ProbeResult> {
    return (this._options.probe ?? probeUpstream)(address)
  }

  private _publishCrash ({ upstream, endedAt, runs }: UpstreamCrash): void {
    const { clock, facts, log, node, incarnation } = this._options
    // Runs whose answer had just begun say the most about the cause.
    const reported = [...runs.filter(run => !run.isStarting), ...runs.filter(run => run.isStarting)].slice(-MAX_REPORTED_RUNS).map(run => describeRun(run, endedAt))
    const subject = formatEndedSubject(upstream, node)
    const isKnown = facts.get(subject) !== undefined
    if (!isKnown && !this._acquireReportSlot()) return
    if (!isKnown) log.warn('upstream_ended', { upstream, runs: runs.length, digests: reported.slice(0, MAX_LOGGED_DIGESTS).map(run => run.digest).join() })
    facts.merge({ subject, incarnation, counter: runs.length, value: { kind: 'ended', upstream, runs: reported }, ageMs: Math.max(0, Math.round(clock.now() - endedAt)) })
  }

  private _acquireReportSlot (): boolean {
    const now = this._options.clock.now()
    while (this._reportTimes.length > 0 && now - (this._reportTimes[0] ?? 0) > 1000) this._reportTimes.shift()
    if (this._reportTimes.length >= MAX_REPORTS_PER_SECOND) return false
    this._reportTimes.push(now)
    return true
  }

  private _startJoinWait (onDidJoin: Event<void>): Promise<void> {
    const { clock, log } = this._options
    const startedAt = clock.now()
    return new Promise(resolve => {
      this._register(onDidJoin(() => {
        if (this._joined === undefined) return
        this._joined = undefined
        log.info('evidence_read', { after_ms: Math.round(clock.now() - startedAt), causes: this._tracker.listQuarantined().length })
        resolve()
      }))
    })
  }

  private _processFact ({ value, observedAt }: StoredFact): void {
    if (value.kind !== 'ended' && value.kind !== 'cleared') return
    this._scheduleQuarantineLog()
    if (value.kind === 'cleared') return this._tracker.clear(value.digest, observedAt, { isServed: value.isServed })
    this._crashedAtByUpstream.set(value.upstream, observedAt)
    this._lostUpstreams.recordCrash(value.upstream, observedAt)
    for (const { digest, bodyBytes, parts, isStarting, sentBeforeMs } of value.runs) {
      this._tracker.addRun({ digest, bodyBytes, partKeys: parts?.map(formatPartKey), isStarting, upstream: value.upstream, sentAt: observedAt - sentBeforeMs, crashedAt: observedAt })
    }
  }

  /**
   * Facts arrive in batches. The analysis covers all evidence, so it runs once after a batch; a result from a part of the
   * batch may be outdated by the rest.
   */
  private _scheduleQuarantineLog (): void {
    if (this._isLogScheduled) return
    this._isLogScheduled = true
    queueMicrotask(() => {
      this._isLogScheduled = false
      if (!this._isDisposed) this._logQuarantined()
    })
  }

  private _logQuarantined (): void {
    const entries = this._tracker.listQuarantined().map(entry => ({ ...entry, key: entry.digest ?? entry.parts.join() }))
    for (const { key, digest, parts, crashCount: ends, upstreams } of entries) {
      const cause: Readonly<Record<string, string>> = digest === undefined ? { parts: parts.join() } : { digest }
      if (!this._loggedEntries.has(key)) this._options.log.warn('quarantine_began', { ...cause, ends, upstreams: formatUpstreams(upstreams) })
    }
    this._loggedEntries = new Set(entries.map(({ key }) => key))
  }

  private _expire (): void {
    const now = this._options.clock.now()
    this._tracker.expire(now)
    this._lostUpstreams.expire(now)
    for (const [upstream, at] of [...this._crashedAtByUpstream]) if (now - at > MAX_LIST_DELAY_MS) this._crashedAtByUpstream.delete(upstream)
  }
}

function describeRun ({ digest, bodyBytes, partKeys, isStarting, sentAt }: LostRun, endedAt: number): InterruptedRun {
  const parts = partKeys.flatMap(key => parsePartKey(key) ?? [])
  return { digest, bodyBytes, ...parts.length > 0 ? { parts } : {}, ...isStarting ? { isStarting: true } : {}, sentBeforeMs: Math.max(0, Math.round(endedAt - sentAt)) }
}

function formatUpstreams (upstreams: readonly string[]): string {
  return upstreams.slice(-MAX_LOGGED_UPSTREAMS).join()
}
