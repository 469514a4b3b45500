/**
 * Runs the plan of all jobs that were given to this node: makes the calls, tells owners what became of their jobs, and
 * gives results back.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { LimitSource } from '../../quota/common/limitSource.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { SendGuard } from '../../upstream/node/sendGuard.ts'
import type { UpstreamChange, UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import type { JobNews, PlannedCall, PlannedFree } from '../common/plannedCall.ts'
import type { CarriedPiece, JobRefusal, PreparationJob } from '../common/preparationJob.ts'
import type { PrefixNote } from '../common/prefixBook.ts'
import type { TargetReport } from '../common/targetPlanner.ts'
import { PlanLog } from './planLog.ts'
import { HeldJob, PlanShard } from './planShard.ts'

export interface PreparationCoordinatorOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
  readonly limits?: LimitSource
  /** Asked before a call is written; without it every call is. */
  readonly guard?: SendGuard
}

/** A job as it comes to a coordinator. */
export interface SubmittedJob {
  readonly job: PreparationJob
  /** The hall whose upstreams do it; empty for all. */
  readonly hall: string
  /** What would be late may be declined: its owner asks another plan. */
  readonly isOffer?: boolean
  /** What an earlier coordinator made. */
  readonly carried?: readonly CarriedPiece[]
  /** What the job came over; missing for this node's own jobs. */
  readonly link?: object
}

/** Who is told of a job. */
export type JobListener = (news: JobNews) => void

/** How often deadlines and lifetimes are looked at while there are jobs. */
const SWEEP_PERIOD_MS = 50
/** How often a plan with jobs says how much waits for it. */
const LOAD_LOG_PERIOD_MS = 1000
/** What becomes known within this time is planned together: planning looks at all jobs. */
const DISPATCH_DELAY_MS = 2
/** Results are given back together with what becomes free within this time. */
const FREE_DELAY_MS = 10
/**
 * A job that went on elsewhere has used what lies at its makers within this time: an owner takes a silent coordinator for
 * lost after 600 ms, and a stage takes about 400.
 */
const DETACHED_MS = 1500

export class PreparationCoordinator extends Disposable {
  private readonly _options: PreparationCoordinatorOptions
  private readonly _shards = new Map<string, PlanShard>()
  /** Plans whose jobs go elsewhere as soon as nothing is being made for them. */
  private readonly _endingShards = new Set<PlanShard>()
  private readonly _listeners = new Map<string, JobListener>()
  private readonly _jobs = new Map<string, HeldJob>()
  private _sweep: IDisposable | undefined
  private _isEnding = false
  private readonly _planLog: PlanLog

  constructor (options: PreparationCoordinatorOptions) {
    super()
    this._options = options
    this._planLog = new PlanLog(options.log)
    this._register(options.registry.onDidChange(change => this._takeChange(change)))
    this._register(options.registry.onDidEvacuate(hall => this._endPlanOf(hall)))
    this._register(toDisposable(() => {
      this._listeners.clear()
      this._sweep?.dispose()
    }))
  }

  get jobCount (): number {
    return this._jobs.size
  }

  /** Whether this coordinator plans for a hall already. */
  hasPlan (hall: string): boolean {
    return this._shards.has(hall)
  }

  /** Whether a job is known here. */
  holds (jobId: string): boolean {
    return this._jobs.has(jobId)
  }

  /** Takes in what the configuration says of the roles. */
  refresh (): void {
    for (const shard of this._shards.values()) this._refreshShard(shard)
  }

  /** Takes a job into the plan of a hall; the empty hall stands for all of them. */
  submit ({ job, hall, carried = [], isOffer, link }: SubmittedJob, listener: JobListener): void {
    if (this._isEnding) return listener({ kind: 'moved', jobId: job.id })
    const shard = this._getShard(hall)
    if (carried.length > 0) this._options.log.info('preparation_carried', { request: job.id, hall, pieces: carried.length })
    this._forgetReplaced(job.id, link)
    const refusal = shard.planner.addJob(job, this._options.clock.now(), { carried, isOffer })
    if (refusal?.reason === 'late') {
      this._planLog.noteDeclined(hall, job.id, refusal)
      return listener({ kind: 'declined', jobId: job.id, endInMs: refusal.endInMs })
    }
    if (refusal !== undefined) {
      this._noteRefused(job.id, refusal, shard)
      this._scheduleFrees(shard)
      return listener({ kind: 'refused', jobId: job.id, refusal })
    }
    this._listeners.set(job.id, listener)
    this._jobs.set(job.id, new HeldJob(shard, link))
    this._scheduleDispatch(shard)
    this._scheduleSweep()
  }

  /** Jobs go to the next coordinator, with their results, as soon as nothing is being made for them. */
  moveJobs (): void {
    this._isEnding = true
    for (const shard of this._shards.values()) this._endShard(shard)
  }

  /**
   * Ends the plans that another coordinator should keep. Nodes that start together plan alone for a moment; two plans
   * fill the same room, and each takes the other's results for free room.
   */
  moveJobsOf (isElsewhere: (hall: string) => boolean): void {
    for (const shard of [...this._shards.values()]) if (shard.planner.jobCount > 0 && isElsewhere(shard.hall)) this._endShard(shard)
  }

  /** Nothing can be made in an evacuated hall: its jobs go to the plans of others at once. */
  private _endPlanOf (hall: string): void {
    const shard = this._shards.get(hall)
    if (shard !== undefined) this._endShard(shard)
  }

  /** Jobs that still come for the hall start a new plan. */
  private _endShard (shard: PlanShard): void {
    this._options.log.info('plan_ending', { hall: shard.hall, jobs: shard.planner.jobCount })
    this._shards.delete(shard.hall)
    this._endingShards.add(shard)
    shard.planner.end()
    this._deliver(shard)
  }

  /** Gives results back. */
  release (jobId: string): void {
    const held = this._jobs.get(jobId)
    if (held === undefined) return
    // Nobody asked for a target yet, so no report will come.
    if (this._listeners.delete(jobId)) held.isReported = true
    held.isReleased = true
    held.shard.planner.releaseJob(jobId)
    this._scheduleFrees(held.shard)
    this._forget(jobId, held)
  }

  /**
   * The link to a job's owner broke. If the owner is gone, the results are of no use; if only the link is, another
   * coordinator may be going on from them. Nothing more is made, and they are given back when they must have been used.
   */
  detach (jobId: string, link: object): void {
    const held = this._jobs.get(jobId)
    // An owner that came back over a new link has the job again, whenever the end of the old one is noticed.
    if (held === undefined || held.isDetached || held.link !== link) return
    held.isDetached = true
    this._listeners.delete(jobId)
    held.shard.planner.detachJob(jobId)
    this._options.clock.schedule(DETACHED_MS, () => {
      if (this._isDisposed || this._jobs.get(jobId) !== held) return
      this.release(jobId)
      this.report(jobId, { outcome: 'unused', producedMs: 0 })
    })
  }

  /**
   * The owner is back, and knows which results it has. Its old link may still look open where that went silent; what was
   * said over it since was not heard.
   */
  private _forgetReplaced (jobId: string, link: object | undefined): void {
    const held = this._jobs.get(jobId)
    if (held === undefined || (!held.isDetached && held.link === link)) return
    held.shard.planner.forgetJob(jobId)
    this._jobs.delete(jobId)
  }

  /** Takes in what an owner knows of the prompts that upstreams have read. */
  addPrefixes (hall: string, notes: readonly PrefixNote[]): void {
    this._getShard(hall).planner.addPrefixes(notes, this._options.clock.now())
  }

  /** Takes in how a request fared at the upstream that was chosen for it. */
  report (jobId: string, report: TargetReport): void {
    const held = this._jobs.get(jobId)
    if (held === undefined) return
    held.isReported = true
    held.shard.planner.reportTarget(jobId, report, this._options.clock.now())
    this._forget(jobId, held)
  }

  /** Release and report come in any order; with both, a job is over. */
  private _forget (jobId: string, held: HeldJob): void {
    if (held.isReleased && held.isReported) this._jobs.delete(jobId)
  }

  /** Makes results anew; false when the job is not known here. */
  reopen (jobId: string, listener: JobListener): boolean {
    const held = this._jobs.get(jobId)
    if (held === undefined || !held.shard.planner.reopenJob(jobId, this._options.clock.now())) return false
    const { shard, link } = held
    this._jobs.set(jobId, new HeldJob(shard, link))
    this._listeners.set(jobId, listener)
    this._scheduleDispatch(shard)
    this._scheduleSweep()
    return true
  }

  describe (): object {
    const now = this._options.clock.now()
    return [...this._shards.values()].map(shard => ({ hall: shard.hall, ...shard.planner.describe(now) }))
  }

  private _getShard (hall: string): PlanShard {
    let shard = this._shards.get(hall)
    if (shard === undefined) {
      shard = new PlanShard(hall, this._options)
      this._shards.set(hall, shard)
      this._refreshShard(shard)
    }
    return shard
  }

  private _refreshShard (shard: PlanShard): void {
    for (const entry of this._options.registry.list()) this._setUpstream(shard, entry)
  }

  private _scheduleDispatch (shard: PlanShard): void {
    if (shard.isDispatching) return
    shard.isDispatching = true
    this._options.clock.schedule(DISPATCH_DELAY_MS, () => {
      shard.isDispatching = false
      if (!this._isDisposed) this._dispatch(shard)
    })
  }

  /** Deadlines pass without any event. */
  private _scheduleSweep (): void {
    if (this._sweep !== undefined) return
    this._sweep = this._options.clock.schedule(SWEEP_PERIOD_MS, () => {
      this._sweep = undefined
      if (this._isDisposed) return
      for (const shard of this._endingShards) if (shard.planner.jobCount === 0) this._endingShards.delete(shard)
      const busy = [...this._shards.values(), ...this._endingShards].filter(shard => shard.planner.jobCount > 0)
      for (const shard of busy) this._dispatch(shard)
      for (const shard of busy) this._noteLoad(shard)
      if (busy.length > 0) this._scheduleSweep()
    })
  }

  private _noteLoad (shard: PlanShard): void {
    const now = this._options.clock.now()
    if (now - shard.loadLoggedAt < LOAD_LOG_PERIOD_MS) return
    shard.loadLoggedAt = now
    this._planLog.noteLoad(shard.hall, shard.planner.measureLoad(now))
  }

  private _dispatch (shard: PlanShard): void {
    for (const call of shard.planner.startCalls(this._options.clock.now())) void this._run(shard, call)
    this._deliver(shard)
    this._scheduleFrees(shard)
  }

  private async _run (shard: PlanShard, call: PlannedCall): Promise<void> {
    const { registry, protocol, guard, clock, log } = this._options
    const upstream = registry.get(call.upstreamId)
    const startedAt = clock.now()
    const known = registry.computeAge(startedAt)
    const outcome = upstream === undefined
      ? { kind: 'notRun' as const, reason: 'unreachable' as const }
      : await protocol.runPieces(upstream, call.pieces, { timeoutMs: call.timeoutMs, onWillSend: () => guard?.maySend(upstream.id, call.pieces[0]?.jobId ?? '') !== false })
    if (this._isDisposed) return
    if (outcome.kind !== 'answered') {
      log.info('piece_call_failed', { upstream: call.upstreamId, pieces: call.pieces.length, outcome: outcome.kind, reason: outcome.reason, took_ms: Math.round(clock.now() - startedAt) })
      if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream') registry.dropForGood(call.upstreamId, 'address answers as another')
    }
    this._planLog.noteCall(call, { outcome, tookMs: clock.now() - startedAt, known })
    shard.planner.settleCall(call.id, outcome, clock.now())
    this._deliver(shard)
    this._scheduleDispatch(shard)
  }

  private _moveAway (jobId: string): void {
    const listener = this._listeners.get(jobId)
    this._listeners.delete(jobId)
    this._jobs.delete(jobId)
    listener?.({ kind: 'moved', jobId })
  }

  private _deliver (shard: PlanShard): void {
    for (const news of shard.planner.takeNews()) {
      const listener = this._listeners.get(news.jobId)
      if (news.kind !== 'made' && news.kind !== 'lost') this._listeners.delete(news.jobId)
      if (news.kind === 'refused') this._noteRefused(news.jobId, news.refusal, shard)
      else if (news.kind === 'prepared') this._planLog.notePrepared(news)
      listener?.(news)
    }
    for (const jobId of shard.planner.takeIdleJobs()) this._moveAway(jobId)
  }

  private _noteRefused (jobId: string, refusal: JobRefusal, shard: PlanShard): void {
    this._jobs.delete(jobId)
    this._options.log.info('preparation_refused', { request: jobId, hall: shard.hall, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs, jobs: shard.planner.jobCount })
  }

  private _scheduleFrees (shard: PlanShard): void {
    if (shard.isFreeing || !shard.planner.hasFrees) return
    shard.isFreeing = true
    this._options.clock.schedule(FREE_DELAY_MS, () => {
      shard.isFreeing = false
      if (this._isDisposed) return
      for (const free of shard.planner.takeFrees()) void this._free(shard, free)
    })
  }

  private async _free (shard: PlanShard, free: PlannedFree): Promise<void> {
    const { registry, protocol } = this._options
    const upstream = registry.get(free.upstreamId)
    // An evacuated hall is sent nothing at all; what lies there goes when its lifetime ends.
    const mayFree = upstream !== undefined && !registry.isEvacuated(upstream.hall)
    const isDone = mayFree && await protocol.freeResults(upstream, free.handles)
    if (this._isDisposed) return
    shard.planner.settleFree(free, isDone, this._options.clock.now())
    if (shard.planner.jobCount > 0) this._scheduleDispatch(shard)
  }

  private _takeChange ({ kind, entry }: UpstreamChange): void {
    for (const shard of [...this._shards.values(), ...this._endingShards]) {
      if (kind === 'dropped') shard.planner.dropUpstream(entry.id)
      else this._setUpstream(shard, entry)
    }
  }

  private _setUpstream (shard: PlanShard, entry: UpstreamEntry): void {
    const work = this._options.getTable()?.getRole(entry.role)?.pieceWork
    if (work === undefined || !shard.holds(entry)) return
    const { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs } = work
    shard.planner.setUpstream({
      id: entry.id,
      role: entry.role,
      hall: entry.hall,
      work: { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs }
    })
    shard.planner.setTakesWork(entry.id, this._options.registry.mayUse(entry))
  }
}
