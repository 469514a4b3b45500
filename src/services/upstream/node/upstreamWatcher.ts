/**
 * Polls the load reports of the upstreams that this steward watches and publishes them as facts.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatLeavingSubject, formatLoadSubject } from '../../facts/common/fact.ts'
import type { FactStore, StoredFact } from '../../facts/common/factStore.ts'
import type { UpstreamAdapter, UpstreamReport } from '../common/upstreamAdapter.ts'

export interface UpstreamWatcherOptions {
  readonly adapter: UpstreamAdapter
  readonly facts: FactStore
  readonly clock: IClock
  /** The upstreams that this process currently watches. */
  readonly listWatched: () => readonly Upstream[]
  readonly onDidRead: (isOk: boolean) => void
  readonly periodMs?: number
}

/** Number of prefix keys published per report; the newest are last. */
const MAX_PREFIXES = 32

export class UpstreamWatcher extends Disposable {
  private readonly _options: UpstreamWatcherOptions
  private readonly _pendingReads = new Set<string>()

  constructor (options: UpstreamWatcherOptions) {
    super()
    this._options = options
    this._register(startInterval(options.periodMs ?? 250, () => this._readAll()))
  }

  private _readAll (): void {
    for (const upstream of this._options.listWatched()) {
      if (!this._pendingReads.has(upstream.name)) void this._read(upstream)
    }
  }

  private async _read (upstream: Upstream): Promise<void> {
    this._pendingReads.add(upstream.name)
    const result = await this._options.adapter.readReport(upstream)
    this._pendingReads.delete(upstream.name)
    if (this._isDisposed) return
    this._options.onDidRead(result.isRight())
    result.ifRight(report => recordReport(this._options.facts, upstream.name, report, this._options.clock.now()))
  }
}

/** An unchanged report is published only once in this period, to show that the upstream still reports. */
const UNCHANGED_REPORT_PERIOD_MS = 2000
/** Change of the backlog, as a fraction of the capacity, up to which a report counts as unchanged and saves a broadcast. */
const MIN_BACKLOG_CHANGE = 0.125

/** Whether a report differs too little from the known fact to affect decisions. */
export function isUnchanged (known: StoredFact | undefined, report: UpstreamReport, now: number): boolean {
  if (known?.value.kind !== 'load' || known.incarnation !== report.boot) return false
  const { value } = known
  if (now - known.observedAt >= UNCHANGED_REPORT_PERIOD_MS || value.fencing !== report.fencing || value.capacity !== report.capacity) return false
  if (value.models.join() !== report.models.join()) return false
  const minChange = Math.max(1, report.capacity * MIN_BACKLOG_CHANGE)
  return Math.abs(value.running + value.queued - report.running - report.queued) <= minChange
}

/** The fact carries the upstream's own incarnation and report number, so any steward may read and publish the report. */
export function recordReport (facts: FactStore, upstream: string, report: UpstreamReport, now: number): void {
  const { boot: incarnation, running, queued, capacity, models, fencing } = report
  if (report.isLeaving) markLeaving(facts, upstream, incarnation, 'its own report')
  if (isUnchanged(facts.get(formatLoadSubject(upstream)), report, now)) return
  const prefixes = report.prefixes.slice(-MAX_PREFIXES)
  facts.merge({
    subject: formatLoadSubject(upstream),
    incarnation,
    counter: report.report,
    value: { kind: 'load', upstream, running, queued, capacity, models, fencing, prefixes },
    ageMs: 0
  })
}

/** Marks an incarnation as leaving; this cannot be undone. */
export function markLeaving (facts: FactStore, upstream: string, incarnation: number, signal: string): void {
  facts.merge({
    subject: formatLeavingSubject(upstream),
    incarnation,
    counter: 1,
    value: { kind: 'leaving', upstream, signal },
    ageMs: 0
  })
}
