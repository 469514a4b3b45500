/**
 * Runs the plan of all jobs that were given to this node: makes the calls, tells owners what became of their jobs, and
 * gives results back.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { GenerationWork } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { RelayTable } from '../../relay/common/relayTable.ts'
import type { UpstreamChange, UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import type { JobEnd, JobNews, PieceCallOutcome, PlannedCall, PlannedFree } from '../common/plannedCall.ts'
import type { CarriedPiece, JobRefusal, PreparationJob } from '../common/preparationJob.ts'
import type { PrefixNote } from '../common/prefixBook.ts'
import type { TargetReport } from '../common/targetPlanner.ts'

export interface PreparationCoordinatorOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
}

/** A job as it comes to a coordinator. */
export interface SubmittedJob {
  readonly job: PreparationJob
  /** The hall whose upstreams do it; empty for all. */
  readonly hall: string
  /** What an earlier coordinator made. */
  readonly carried?: readonly CarriedPiece[]
}

/** Who is told of a job. */
export type JobListener = (news: JobNews) => void

/** How often deadlines and lifetimes are looked at while there are jobs. */
const SWEEP_PERIOD_MS = 50
/** What becomes known within this time is planned together: planning looks at all jobs. */
const DISPATCH_DELAY_MS = 2
/** Results are given back together with what becomes free within this time. */
const FREE_DELAY_MS = 10
const BYTES_PER_KB = 1000
/** A job that went on elsewhere has taken over what lies at its makers within this time. */
const DETACHED_MS = 1500

/** One plan: all upstreams, or those of one hall. */
class Shard {
  readonly planner: PreparationPlanner
  isDispatching = false
  isFreeing = false

  constructor (readonly hall: string, registry: UpstreamRegistry, computeRoleMoveMs: (role: string) => number) {
    this.planner = new PreparationPlanner(role => {
      const msPerMovedToken = computeRoleMoveMs(role)
      return registry.listRole(role).filter(entry => this.holds(entry)).map(({ id, hall }) => ({ id, hall, msPerMovedToken }))
    })
  }

  holds (entry: UpstreamEntry): boolean {
    return this.hall === '' || this.hall === entry.hall
  }
}

/** How long it takes one upstream to take a token from another. */
function computeMoveMs (work: GenerationWork | undefined): number {
  return work === undefined || work.tokenBytes <= 0 || work.linkBytesPerMs <= 0 ? Infinity : work.tokenBytes / work.linkBytesPerMs
}

/** A job that its owner has not let go of. */
class HeldJob {
  isReleased = false
  isDetached = false
  isReported = false

  constructor (readonly shard: Shard) {}
}

export class PreparationCoordinator extends Disposable {
  private readonly _options: PreparationCoordinatorOptions
  private readonly _shards = new Map<string, Shard>()
  /** Plans whose jobs go elsewhere as soon as nothing is being made for them. */
  private readonly _endingShards = new Set<Shard>()
  private readonly _listeners = new Map<string, JobListener>()
  private readonly _jobs = new Map<string, HeldJob>()
  private _sweep: IDisposable | undefined
  private _isEnding = false

  constructor (options: PreparationCoordinatorOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(change => this._takeChange(change)))
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
  submit ({ job, hall, carried = [] }: SubmittedJob, listener: JobListener): void {
    if (this._isEnding) return listener({ kind: 'moved', jobId: job.id })
    const shard = this._getShard(hall)
    if (carried.length > 0) this._options.log.info('preparation_carried', { request: job.id, hall, pieces: carried.length })
    if (this._jobs.get(job.id)?.isDetached === true) this._forgetDetached(job.id)
    const refusal = shard.planner.addJob(job, this._options.clock.now(), carried)
    if (refusal !== undefined) {
      this._noteRefused(job.id, refusal, shard)
      this._scheduleFrees(shard)
      return listener({ kind: 'refused', jobId: job.id, refusal })
    }
    this._listeners.set(job.id, listener)
    this._jobs.set(job.id, new HeldJob(shard))
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

  /** Jobs that still come for the hall start a new plan. */
  private _endShard (shard: Shard): void {
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
  detach (jobId: string): void {
    const held = this._jobs.get(jobId)
    if (held === undefined || held.isDetached) return
    held.isDetached = true
    this._listeners.delete(jobId)
    held.shard.planner.detachJob(jobId)
    this._options.clock.schedule(DETACHED_MS, () => {
      if (this._isDisposed || this._jobs.get(jobId) !== held) return
      this.release(jobId)
      this.report(jobId, { outcome: 'unused', producedMs: 0 })
    })
  }

  /** The owner is back, and knows which results it has. */
  private _forgetDetached (jobId: string): void {
    this._jobs.get(jobId)?.shard.planner.forgetJob(jobId)
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
    const shard = this._jobs.get(jobId)?.shard
    if (shard === undefined || !shard.planner.reopenJob(jobId, this._options.clock.now())) return false
    this._jobs.set(jobId, new HeldJob(shard))
    this._listeners.set(jobId, listener)
    this._scheduleDispatch(shard)
    this._scheduleSweep()
    return true
  }

  describe (): object {
    const now = this._options.clock.now()
    return [...this._shards.values()].map(shard => ({ hall: shard.hall, ...shard.planner.describe(now) }))
  }

  private _getShard (hall: string): Shard {
    let shard = this._shards.get(hall)
    if (shard === undefined) {
      shard = new Shard(hall, this._options.registry, role => computeMoveMs(this._options.getTable()?.getRole(role)?.generationWork))
      this._shards.set(hall, shard)
      this._refreshShard(shard)
    }
    return shard
  }

  private _refreshShard (shard: Shard): void {
    for (const entry of this._options.registry.list()) this._setUpstream(shard, entry)
  }

  private _scheduleDispatch (shard: Shard): void {
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
      if (busy.length > 0) this._scheduleSweep()
    })
  }

  private _dispatch (shard: Shard): void {
    for (const call of shard.planner.startCalls(this._options.clock.now())) void this._run(shard, call)
    this._deliver(shard)
    this._scheduleFrees(shard)
  }

  private async _run (shard: Shard, call: PlannedCall): Promise<void> {
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
    this._noteCall(call, outcome, clock.now() - startedAt)
    shard.planner.settleCall(call.id, outcome, clock.now())
    this._deliver(shard)
    this._scheduleDispatch(shard)
  }

  private _noteCall (call: PlannedCall, outcome: PieceCallOutcome, tookMs: number): void {
    const { id, upstreamId, role, pieces, leftWaiting, freeBytes, expectedMs } = call
    const outcomes = outcome.kind === 'answered' ? outcome.pieces : []
    const countFailed = (reason: string) => outcomes.filter(piece => piece.kind === 'failed' && piece.reason === reason).length
    this._options.log.info('piece_call', {
      call: id,
      upstream: upstreamId,
      role,
      pieces: pieces.length,
      left_waiting: leftWaiting,
      free_kb: Math.round(freeBytes / BYTES_PER_KB),
      outcome: outcome.kind,
      made: outcomes.filter(piece => piece.kind === 'made').length,
      no_room: countFailed('noRoom'),
      input_gone: countFailed('inputGone'),
      late: countFailed('late'),
      expected_ms: Math.round(expectedMs),
      took_ms: Math.round(tookMs)
    })
  }

  private _moveAway (jobId: string): void {
    const listener = this._listeners.get(jobId)
    this._listeners.delete(jobId)
    this._jobs.delete(jobId)
    listener?.({ kind: 'moved', jobId })
  }

  private _notePrepared ({ jobId, targetId, prefixSourceId, times }: JobEnd & { readonly kind: 'prepared' }): void {
    const { queuedMs, madeMs, betweenMs } = times
    this._options.log.info('preparation_done', { request: jobId, target: targetId, prefix_from: prefixSourceId, queued_ms: Math.round(queuedMs), made_ms: Math.round(madeMs), between_ms: Math.round(betweenMs) })
  }

  private _deliver (shard: Shard): void {
    for (const news of shard.planner.takeNews()) {
      const listener = this._listeners.get(news.jobId)
      if (news.kind !== 'made') this._listeners.delete(news.jobId)
      if (news.kind === 'refused') this._noteRefused(news.jobId, news.refusal, shard)
      else if (news.kind === 'prepared') this._notePrepared(news)
      listener?.(news)
    }
    for (const jobId of shard.planner.takeIdleJobs()) this._moveAway(jobId)
  }

  private _noteRefused (jobId: string, refusal: JobRefusal, shard: Shard): void {
    this._jobs.delete(jobId)
    this._options.log.info('preparation_refused', { request: jobId, hall: shard.hall, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs, jobs: shard.planner.jobCount })
  }

  private _scheduleFrees (shard: Shard): void {
    if (shard.isFreeing || !shard.planner.hasFrees) return
    shard.isFreeing = true
    this._options.clock.schedule(FREE_DELAY_MS, () => {
      shard.isFreeing = false
      if (this._isDisposed) return
      for (const free of shard.planner.takeFrees()) void this._free(shard, free)
    })
  }

  private async _free (shard: Shard, free: PlannedFree): Promise<void> {
    const upstream = this._options.registry.get(free.upstreamId)
    const isDone = upstream !== undefined && await this._options.protocol.freeResults(upstream, free.handles)
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

  private _setUpstream (shard: Shard, entry: UpstreamEntry): void {
    const work = this._options.getTable()?.getRole(entry.role)?.pieceWork
    if (work === undefined || !shard.holds(entry)) return
    const { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs } = work
    shard.planner.setUpstream({
      id: entry.id,
      role: entry.role,
      hall: entry.hall,
      work: { concurrentCalls, maxPiecesPerCall, callMs, pieceMs, resultRoomBytes, resultLifetimeMs }
    })
    if (entry.isLeaving) shard.planner.markLeaving(entry.id)
  }
}
