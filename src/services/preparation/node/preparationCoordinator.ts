/**
 * Runs the plan of all jobs that were given to this node: makes the calls, tells owners what became of their jobs, and
 * gives results back.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { UpstreamChange, UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import type { JobNews, PlannedCall, PlannedFree } from '../common/preparationPlanner.ts'
import type { PreparationJob } from '../common/preparationJob.ts'
import type { TargetReport } from '../common/targetPlanner.ts'

export interface PreparationCoordinatorOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
}

/** Who is told of a job. */
export type JobListener = (news: JobNews) => void

/** How often deadlines and lifetimes are looked at. */
const SWEEP_PERIOD_MS = 25
/** Results are given back together with what becomes free within this time. */
const FREE_DELAY_MS = 10

export class PreparationCoordinator extends Disposable {
  private readonly _options: PreparationCoordinatorOptions
  private readonly _planner: PreparationPlanner
  private readonly _listeners = new Map<string, JobListener>()
  private _isFreeing = false

  constructor (options: PreparationCoordinatorOptions) {
    super()
    this._options = options
    this._planner = new PreparationPlanner(role => options.registry.listRole(role))
    this._register(options.registry.onDidChange(change => this._takeChange(change)))
    this._register(startInterval(SWEEP_PERIOD_MS, () => { if (this._planner.jobCount > 0) this._dispatch() }))
    this._register(toDisposable(() => this._listeners.clear()))
  }

  get jobCount (): number {
    return this._planner.jobCount
  }

  /** Takes in what the configuration says of the roles. */
  refresh (): void {
    for (const entry of this._options.registry.list()) this._setUpstream(entry)
  }

  submit (job: PreparationJob, listener: JobListener): void {
    const refusal = this._planner.addJob(job, this._options.clock.now())
    if (refusal !== undefined) {
      this._options.log.info('preparation_refused', { request: job.id, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs, jobs: this._planner.jobCount })
      return listener({ kind: 'refused', jobId: job.id, refusal })
    }
    this._listeners.set(job.id, listener)
    this._dispatch()
  }

  release (jobId: string): void {
    this._listeners.delete(jobId)
    this._planner.releaseJob(jobId)
    this._scheduleFrees()
  }

  /** Takes in how a request fared at the upstream that was chosen for it. */
  report (jobId: string, report: TargetReport): void {
    this._planner.reportTarget(jobId, report, this._options.clock.now())
  }

  /** Makes results anew; false when the job is not known here. */
  reopen (jobId: string, listener: JobListener): boolean {
    if (!this._planner.reopenJob(jobId, this._options.clock.now())) return false
    this._listeners.set(jobId, listener)
    this._dispatch()
    return true
  }

  describe (): object {
    return this._planner.describe(this._options.clock.now())
  }

  private _dispatch (): void {
    for (const call of this._planner.startCalls(this._options.clock.now())) void this._run(call)
    this._deliver()
    this._scheduleFrees()
  }

  private async _run (call: PlannedCall): Promise<void> {
    const { registry, protocol, clock, log } = this._options
    const upstream = registry.get(call.upstreamId)
    const startedAt = clock.now()
    const outcome = upstream === undefined
      ? { kind: 'notRun' as const, reason: 'unreachable' as const }
      : await protocol.runPieces(upstream, call.pieces, call.timeoutMs)
    if (this._isDisposed) return
    if (outcome.kind !== 'answered') {
      log.info('piece_call_failed', { upstream: call.upstreamId, pieces: call.pieces.length, outcome: outcome.kind, reason: outcome.reason, took_ms: Math.round(clock.now() - startedAt) })
      if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream') registry.dropForGood(call.upstreamId, 'address answers as another')
    }
    this._planner.settleCall(call.id, outcome, clock.now())
    this._dispatch()
  }

  private _deliver (): void {
    for (const news of this._planner.takeNews()) {
      const listener = this._listeners.get(news.jobId)
      this._listeners.delete(news.jobId)
      if (news.kind === 'refused') this._options.log.info('preparation_refused', { request: news.jobId, reason: news.refusal.reason, retry_after_ms: news.refusal.retryAfterMs, jobs: this._planner.jobCount })
      listener?.(news)
    }
  }

  private _scheduleFrees (): void {
    if (this._isFreeing || !this._planner.hasFrees) return
    this._isFreeing = true
    this._options.clock.schedule(FREE_DELAY_MS, () => {
      this._isFreeing = false
      if (this._isDisposed) return
      for (const free of this._planner.takeFrees()) void this._free(free)
    })
  }

  private async _free (free: PlannedFree): Promise<void> {
    const upstream = this._options.registry.get(free.upstreamId)
    const isDone = upstream !== undefined && await this._options.protocol.freeResults(upstream, free.handles)
    if (this._isDisposed) return
    this._planner.settleFree(free, isDone, this._options.clock.now())
    if (this._planner.jobCount > 0) this._dispatch()
  }

  private _takeChange ({ kind, entry }: UpstreamChange): void {
    if (kind === 'dropped') this._planner.dropUpstream(entry.id)
    else this._setUpstream(entry)
  }

  private _setUpstream (entry: UpstreamEntry): void {
    const work = this._options.getTable()?.getRole(entry.role)?.pieceWork
    if (work === undefined) return
    const { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs } = work
    this._planner.setUpstream({
      id: entry.id,
      role: entry.role,
      hall: entry.hall,
      work: { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs }
    })
    if (entry.isLeaving) this._planner.markLeaving(entry.id)
  }
}
