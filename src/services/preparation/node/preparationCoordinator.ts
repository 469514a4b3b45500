/**
 * Runs the plans of all jobs that were submitted to this node: makes the planned calls, sends job updates to the owners,
 * and frees results that are no longer needed.
 */
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { RateLimitSource } from '../../quota/common/rateLimitSource.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { StatedLoads } from '../../upstream/common/statedLoads.ts'
import type { UpstreamChange, UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { JobUpdate, PlannedCall, PlannedFree } from '../common/plannedCall.ts'
import type { CarriedPiece, JobRefusal, PreparationJob, ReservationEntry, ReturnNotice } from '../common/preparationJob.ts'
import type { PrefixEntry } from '../common/prefixIndex.ts'
import { sumPieces } from '../common/preparationFeasibility.ts'
import type { TargetReport } from '../common/targetPlanner.ts'
import { PieceCallRunner } from './pieceCallRunner.ts'
import type { PieceCallRunnerOptions } from './pieceCallRunner.ts'
import { PlanLog } from './planLog.ts'
import { PlanShard, TrackedJob } from './planShard.ts'
import type { ReturningCaller } from './planShard.ts'
import { addReturningJob, formatReturnKey, NO_RETURNS, ReturnLog, sumReturnCounts } from './returnLog.ts'
import type { ReturnCounts } from '../common/returnReservations.ts'

export interface PreparationCoordinatorOptions extends PieceCallRunnerOptions {
  readonly getTable: () => RelayTable | undefined
  readonly limits?: RateLimitSource
  /** Loads that upstreams stated to this node; without it none has stated any. */
  readonly loads?: Pick<StatedLoads, 'getSlowness'>
  readonly handlesContention?: boolean
  /** How many pieces all jobs together may have; without it any number. */
  readonly maxPieces?: number
}

export interface JobSubmission {
  readonly job: PreparationJob
  /** The hall whose upstreams compute the pieces; empty for all halls. */
  readonly hall: string
  /** The plan may decline the job if it would finish late; the owner then tries another plan. */
  readonly isOffer?: boolean
  /** Results that were computed under an earlier coordinator. */
  readonly carried?: readonly CarriedPiece[]
  /** The connection that the job arrived over; undefined for this node's own jobs. */
  readonly link?: object
}

/** Receives the updates of one job. */
export type JobListener = (update: JobUpdate) => void

/** Interval at which deadlines and result lifetimes are checked while there are jobs. */
const SWEEP_PERIOD_MS = 50
/** Pause for the caller of a job for whose pieces there is no memory. */
const FULL_RETRY_MS = 300
/** Minimum time between two log lines on the load of a plan. */
const LOAD_LOG_PERIOD_MS = 1000
/** Events within this time are covered by one planning pass, because each pass examines all jobs. */
const DISPATCH_DELAY_MS = 2
/** Results that become unused within this time are freed together. */
const FREE_DELAY_MS = 10
/**
 * How long the results of a detached job are kept. A job that continued under another coordinator has consumed them by
 * then: an owner considers a silent coordinator lost after 600 ms, and a stage takes about 400 ms.
 */
const DETACHED_RETENTION_MS = 1500

export class PreparationCoordinator extends Disposable {
  private readonly _options: PreparationCoordinatorOptions
  private readonly _shards = new Map<string, PlanShard>()
  /** Plans that start no more calls; each of their jobs is moved once none of its calls is in flight. */
  private readonly _drainingShards = new Set<PlanShard>()
  private readonly _listeners = new Map<string, JobListener>()
  private readonly _jobs = new Map<string, TrackedJob>()
  private _sweepTimer: IDisposable | undefined
  private _isDraining = false
  private readonly _calls: PieceCallRunner
  private readonly _planLog: PlanLog
  private readonly _returnLog: ReturnLog
  /** Counts of plans that no longer exist. */
  private _endedReturns = NO_RETURNS

  constructor (options: PreparationCoordinatorOptions) {
    super()
    this._options = options
    this._calls = new PieceCallRunner(options)
    this._planLog = new PlanLog(options.log)
    this._returnLog = new ReturnLog(options.log)
    this._register(options.registry.onDidChange(change => this._applyUpstreamChange(change)))
    this._register(options.registry.onDidEvacuate(hall => this._drainHall(hall)))
    this._register(toDisposable(() => {
      this._listeners.clear()
      this._sweepTimer?.dispose()
    }))
  }

  get jobCount (): number {
    return this._jobs.size
  }

  /** Pieces of all jobs, whatever has become of them. */
  get pieceCount (): number {
    return [...this._shards.values(), ...this._drainingShards].reduce((sum, { planner }) => sum + planner.pieceCount, 0)
  }

  /** What became of the reservations of all plans since the start of this process. */
  get returnCounts (): ReturnCounts {
    return [...this._shards.values(), ...this._drainingShards].reduce((sum, { planner }) => sumReturnCounts(sum, planner.returnCounts), this._endedReturns)
  }

  /** Whether this coordinator already has a plan for the hall. */
  hasPlan (hall: string): boolean {
    return this._shards.has(hall)
  }

  hasJob (jobId: string): boolean {
    return this._jobs.has(jobId)
  }

  /** Applies the roles of the current configuration to all plans. */
  refresh (): void {
    for (const shard of this._shards.values()) this._refreshShard(shard)
  }

  /** Adds a job to the plan of a hall; the empty hall stands for all halls. */
  submit ({ job, hall, carried = [], isOffer, link }: JobSubmission, listener: JobListener): void {
    if (this._isDraining) return listener({ kind: 'moved', jobId: job.id })
    if (!this._hasRoomFor(job)) return listener({ kind: 'refused', jobId: job.id, refusal: { reason: 'overloaded', retryAfterMs: FULL_RETRY_MS } })
    const shard = this._getShard(hall)
    if (carried.length > 0) this._options.log.info('preparation_carried', { request: job.id, hall, pieces: carried.length })
    this._forgetReplacedJob(job.id, link)
    const { refusal, isKept, isMissed } = addReturningJob(shard.planner, () => shard.planner.addJob(job, this._options.clock.now(), { carried, isOffer }))
    if (refusal?.reason === 'late') {
      this._planLog.recordDeclined(hall, job.id, refusal)
      return listener({ kind: 'declined', jobId: job.id, endInMs: refusal.endInMs })
    }
    if (refusal !== undefined) {
      this._removeRefusedJob(job.id, refusal, shard, { returnKey: job.returnKey, hasReturned: isMissed })
      this._scheduleFrees(shard)
      return listener({ kind: 'refused', jobId: job.id, refusal })
    }
    this._listeners.set(job.id, listener)
    if (isKept) this._returnLog.recordKept(hall, job)
    this._jobs.set(job.id, new TrackedJob(shard, link, { returnKey: job.returnKey, hasReturned: isKept }))
    this._scheduleDispatch(shard)
    this._scheduleSweep()
  }

  /** Whether the pieces of all jobs, with those of a new one, fit into the memory that they may take. */
  private _hasRoomFor (job: PreparationJob): boolean {
    const { maxPieces = Infinity, log } = this._options
    const wanted = sumPieces(job.stages)
    const planned = this.pieceCount
    if (planned + wanted <= maxPieces) return true
    log.warn('preparation_full', { request: job.id, wanted, planned, max: maxPieces })
    return false
  }

  /**
   * Moves each job, with its results, to the next coordinator as soon as none of its calls is in flight. Jobs that are
   * submitted from now on are answered with `moved` at once.
   */
  drain (): void {
    this._isDraining = true
    for (const shard of this._shards.values()) this._drainShard(shard)
  }

  /**
   * Drains the plans that another coordinator is responsible for. Nodes that start at the same time briefly plan alone.
   * Two plans then fill the result capacity of the same upstreams, and each regards capacity that the other uses as free.
   */
  movePlans (shouldMove: (hall: string) => boolean): void {
    for (const shard of [...this._shards.values()]) if (shard.planner.jobCount > 0 && shouldMove(shard.hall)) this._drainShard(shard)
  }

  /** Nothing can be computed in an evacuated hall, so its jobs move to other plans at once. */
  private _drainHall (hall: string): void {
    const shard = this._shards.get(hall)
    if (shard !== undefined) this._drainShard(shard)
  }

  /** A job that is submitted for the hall from now on starts a new plan. */
  private _drainShard (shard: PlanShard): void {
    this._options.log.info('plan_ending', { hall: shard.hall, jobs: shard.planner.jobCount })
    this._shards.delete(shard.hall)
    this._drainingShards.add(shard)
    shard.planner.beginDraining()
    this._deliverUpdates(shard)
  }

  /** Frees the results of a job that its owner no longer needs. */
  release (jobId: string): void {
    const trackedJob = this._jobs.get(jobId)
    if (trackedJob === undefined) return
    // The owner has not received a target yet, so no report will follow.
    if (this._listeners.delete(jobId)) trackedJob.isReported = true
    trackedJob.isReleased = true
    trackedJob.shard.planner.releaseJob(jobId)
    this._scheduleFrees(trackedJob.shard)
    this._forgetIfFinished(jobId, trackedJob)
  }

  /**
   * Handles the loss of the link to a job's owner. If the owner has failed, the results are useless; if only the link
   * broke, another coordinator may be continuing from them. No more pieces are computed, and the results are freed after
   * `DETACHED_RETENTION_MS`, when they must have been consumed.
   */
  detach (jobId: string, link: object): void {
    const trackedJob = this._jobs.get(jobId)
    // If the owner has already submitted the job again over a new link, the close of the old link does not matter.
    if (trackedJob === undefined || trackedJob.isDetached || trackedJob.link !== link) return
    trackedJob.isDetached = true
    this._listeners.delete(jobId)
    trackedJob.shard.planner.detachJob(jobId)
    this._options.clock.schedule(DETACHED_RETENTION_MS, () => {
      if (this._isDisposed || this._jobs.get(jobId) !== trackedJob) return
      this.release(jobId)
      this.report(jobId, { outcome: 'unused', producedMs: 0 })
    })
  }

  /**
   * Forgets the state of a job that its owner submits again, together with the results that it has received. A stalled
   * old link may still look open, but updates that were sent over it since then have not been received.
   */
  private _forgetReplacedJob (jobId: string, link: object | undefined): void {
    const trackedJob = this._jobs.get(jobId)
    if (trackedJob === undefined || (!trackedJob.isDetached && trackedJob.link === link)) return
    trackedJob.shard.planner.forgetJob(jobId)
    this._jobs.delete(jobId)
  }

  /** Adds an owner's records of the prompt prefixes that upstreams have processed. */
  addPrefixes (hall: string, prefixEntries: readonly PrefixEntry[]): void {
    this._getShard(hall).planner.addPrefixes(prefixEntries, this._options.clock.now())
  }

  /** Adds reservations of an earlier coordinator's plan. Plans without contention have none, and a draining one passes none on. */
  adoptReservations (hall: string, entries: readonly ReservationEntry[]): void {
    const { clock, log, handlesContention } = this._options
    if (handlesContention !== true || hall === '' || this._isDraining) return
    log.info('reservations_adopted', { hall, reservations: entries.length })
    this._getShard(hall).planner.adoptReservations(entries, clock.now())
  }

  /** Adds an owner's notice that another plan has reserved capacity for its caller. A plan that does not exist yet needs none. */
  addReturnNotice (hall: string, notice: ReturnNotice): void {
    this._shards.get(hall)?.planner.addReturnNotice(notice, this._options.clock.now())
  }

  /** Records the outcome of a request at the upstream that was chosen for it. */
  report (jobId: string, report: TargetReport): void {
    const trackedJob = this._jobs.get(jobId)
    if (trackedJob === undefined) return
    trackedJob.isReported = true
    if (report.outcome === 'failed') this._planLog.recordFailedTarget(trackedJob.shard.hall, jobId)
    trackedJob.shard.planner.reportTarget(jobId, report, this._options.clock.now())
    this._forgetIfFinished(jobId, trackedJob)
  }

  /** Release and report arrive in any order; after both, a job is finished. */
  private _forgetIfFinished (jobId: string, trackedJob: TrackedJob): void {
    if (trackedJob.isReleased && trackedJob.isReported) this._jobs.delete(jobId)
  }

  /** Computes the results of a job again. Returns false if the job is not known here. */
  reopen (jobId: string, listener: JobListener): boolean {
    const trackedJob = this._jobs.get(jobId)
    if (trackedJob === undefined || !trackedJob.shard.planner.reopenJob(jobId, this._options.clock.now())) return false
    const { shard, link, returning } = trackedJob
    this._jobs.set(jobId, new TrackedJob(shard, link, returning))
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
    if (shard.isDispatchScheduled) return
    shard.isDispatchScheduled = true
    this._options.clock.schedule(DISPATCH_DELAY_MS, () => {
      shard.isDispatchScheduled = false
      if (!this._isDisposed) this._dispatch(shard)
    })
  }

  /** Deadlines pass without any event, so they are checked periodically. */
  private _scheduleSweep (): void {
    if (this._sweepTimer !== undefined) return
    this._sweepTimer = this._options.clock.schedule(SWEEP_PERIOD_MS, () => {
      this._sweepTimer = undefined
      if (this._isDisposed) return
      for (const shard of this._drainingShards) if (shard.planner.jobCount === 0) this._removeDrainedShard(shard)
      const busyShards = [...this._shards.values(), ...this._drainingShards].filter(shard => shard.planner.jobCount > 0)
      for (const shard of busyShards) this._dispatch(shard)
      for (const shard of busyShards) this._recordLoad(shard)
      if (busyShards.length > 0) this._scheduleSweep()
    })
  }

  private _removeDrainedShard (shard: PlanShard): void {
    this._drainingShards.delete(shard)
    this._endedReturns = sumReturnCounts(this._endedReturns, shard.planner.returnCounts)
  }

  private _recordLoad (shard: PlanShard): void {
    const now = this._options.clock.now()
    if (now - shard.loadLoggedAt < LOAD_LOG_PERIOD_MS) return
    shard.loadLoggedAt = now
    this._planLog.recordLoad(shard.hall, shard.planner.measureLoad(now))
  }

  private _dispatch (shard: PlanShard): void {
    for (const call of shard.planner.startCalls(this._options.clock.now())) void this._runCall(shard, call)
    this._deliverUpdates(shard)
    this._scheduleFrees(shard)
  }

  private async _runCall (shard: PlanShard, call: PlannedCall): Promise<void> {
    const ended = await this._calls.runCall(call)
    if (this._isDisposed) return
    this._calls.recordFailure(call, ended)
    this._planLog.recordCall(call, ended)
    shard.planner.completeCall(call.id, ended.outcome, this._options.clock.now())
    this._deliverUpdates(shard)
    this._scheduleDispatch(shard)
  }

  private _notifyMoved (jobId: string): void {
    const listener = this._listeners.get(jobId)
    this._listeners.delete(jobId)
    this._jobs.delete(jobId)
    listener?.({ kind: 'moved', jobId })
  }

  private _deliverUpdates (shard: PlanShard): void {
    for (const update of shard.planner.dequeueUpdates()) {
      const listener = this._listeners.get(update.jobId)
      if (update.kind !== 'made' && update.kind !== 'lost') this._listeners.delete(update.jobId)
      if (update.kind === 'refused') this._removeRefusedJob(update.jobId, update.refusal, shard, this._jobs.get(update.jobId)?.returning)
      else if (update.kind === 'prepared') this._planLog.recordPrepared(update)
      listener?.(update)
    }
    for (const jobId of shard.planner.removeIdleJobs()) this._notifyMoved(jobId)
  }

  private _removeRefusedJob (jobId: string, refusal: JobRefusal, shard: PlanShard, { returnKey, hasReturned = false }: ReturningCaller = {}): void {
    this._jobs.delete(jobId)
    this._options.log.info('preparation_refused', { request: jobId, hall: shard.hall, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs, jobs: shard.planner.jobCount, ...formatReturnKey(returnKey) })
    this._returnLog.recordRefusal(shard.hall, { id: jobId, returnKey }, refusal, hasReturned)
  }

  private _scheduleFrees (shard: PlanShard): void {
    if (shard.isFreeScheduled || !shard.planner.hasPendingFrees) return
    shard.isFreeScheduled = true
    this._options.clock.schedule(FREE_DELAY_MS, () => {
      shard.isFreeScheduled = false
      if (this._isDisposed) return
      for (const free of shard.planner.dequeueFrees()) void this._freeResults(shard, free)
    })
  }

  private async _freeResults (shard: PlanShard, free: PlannedFree): Promise<void> {
    const isDone = await this._calls.freeResults(free)
    if (this._isDisposed) return
    shard.planner.completeFree(free, isDone, this._options.clock.now())
    if (shard.planner.jobCount > 0) this._scheduleDispatch(shard)
  }

  private _applyUpstreamChange ({ kind, entry }: UpstreamChange): void {
    for (const shard of [...this._shards.values(), ...this._drainingShards]) {
      if (kind === 'dropped') shard.planner.removeUpstream(entry.id)
      else this._setUpstream(shard, entry)
    }
  }

  private _setUpstream (shard: PlanShard, entry: UpstreamEntry): void {
    const { loads } = this._options
    const work = this._options.getTable()?.getRole(entry.role)?.pieceWork
    if (work === undefined || !shard.isInScope(entry)) return
    const { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs } = work
    shard.planner.setUpstream({
      id: entry.id,
      role: entry.role,
      hall: entry.hall,
      work: { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs },
      getStatedSlowness: loads === undefined ? undefined : now => loads.getSlowness(entry.id, now)
    })
    shard.planner.setAcceptsWork(entry.id, this._options.registry.isAvailable(entry))
  }
}
