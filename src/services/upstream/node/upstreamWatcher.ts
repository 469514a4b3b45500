/**
 * Reads the reports of the upstreams that this steward watches and turns them into facts.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatLeavingSubject, formatLoadSubject } from '../../facts/common/fact.ts'
import type { FactStore, HeldFact } from '../../facts/common/factStore.ts'
import type { UpstreamAdapter, UpstreamReport } from '../common/upstreamAdapter.ts'

export interface UpstreamWatcherOptions {
  readonly adapter: UpstreamAdapter
  readonly facts: FactStore
  readonly clock: IClock
  /** The upstreams that this process watches now. */
  readonly listWatched: () => readonly Upstream[]
  readonly onDidRead: (isOk: boolean) => void
  readonly periodMs?: number
}

/** How many prefix keys a report passes on; the newest are last. */
const MAX_PREFIXES = 32

export class UpstreamWatcher extends Disposable {
  private readonly _options: UpstreamWatcherOptions
  private readonly _reading = new Set<string>()

  constructor (options: UpstreamWatcherOptions) {
    super()
    this._options = options
    this._register(startInterval(options.periodMs ?? 250, () => this._readAll()))
  }

  private _readAll (): void {
    for (const upstream of this._options.listWatched()) {
      if (!this._reading.has(upstream.name)) void this._read(upstream)
    }
  }

  private async _read (upstream: Upstream): Promise<void> {
    this._reading.add(upstream.name)
    const result = await this._options.adapter.readReport(upstream)
    this._reading.delete(upstream.name)
    if (this._isDisposed) return
    this._options.onDidRead(result.isRight())
    result.ifRight(report => recordReport(this._options.facts, upstream.name, report, this._options.clock.now()))
  }
}

/** A report that says the same is passed on so seldom, to show that the upstream still reports. */
const MAX_UNCHANGED_MS = 2000
/** A backlog that changed by less than this part of the capacity is not worth a message to everyone. */
const BACKLOG_STEP = 0.125

/** Whether a report says nothing that a decision would miss. */
export function isUnchanged (held: HeldFact | undefined, report: UpstreamReport, now: number): boolean {
  if (held?.value.kind !== 'load' || held.incarnation !== report.boot) return false
  const { value } = held
  if (now - held.observedAt >= MAX_UNCHANGED_MS || value.fencing !== report.fencing || value.capacity !== report.capacity) return false
  if (value.models.join() !== report.models.join()) return false
  const step = Math.max(1, report.capacity * BACKLOG_STEP)
  return Math.abs(value.running + value.queued - report.running - report.queued) <= step
}

/** Facts carry the upstream's own numbers, so it does not matter which steward read the report. */
export function recordReport (facts: FactStore, upstream: string, report: UpstreamReport, now: number): void {
  const { boot, running, queued, capacity, models, fencing } = report
  if (report.isLeaving) markLeaving(facts, upstream, boot, 'its own report')
  if (isUnchanged(facts.get(formatLoadSubject(upstream)), report, now)) return
  const prefixes = report.prefixes.slice(-MAX_PREFIXES)
  facts.merge({
    subject: formatLoadSubject(upstream),
    incarnation: boot,
    counter: report.report,
    value: { kind: 'load', upstream, running, queued, capacity, models, fencing, prefixes },
    ageMs: 0
  })
}

/** Marks an incarnation as leaving, for good. */
export function markLeaving (facts: FactStore, upstream: string, incarnation: number, signal: string): void {
  facts.merge({
    subject: formatLeavingSubject(upstream),
    incarnation,
    counter: 1,
    value: { kind: 'leaving', upstream, signal },
    ageMs: 0
  })
}
