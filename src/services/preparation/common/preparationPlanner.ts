/**
 * Schedules the pieces of all jobs of one coordinator: how they are batched into calls, on which upstream each call runs,
 * and when. Does no I/O and reads no clock: the caller passes the time in, makes the planned calls and reports the results.
 */
import { BatchPlanner } from './batchPlanner.ts'
import { ContendedAdmission } from './contendedAdmission.ts'
import { PatientAdmission } from './jobAdmission.ts'
import type { JobAdmission } from './jobAdmission.ts'
import { JobOrder } from './jobOrder.ts'
import { JobState } from './jobState.ts'
import { JobTargets } from './jobTargets.ts'
import type { JobTargetsOptions } from './jobTargets.ts'
import { HallLoads } from './hallLoads.ts'
import { JobResults } from './jobResults.ts'
import { computeCallMs, PieceUpstream } from './pieceUpstream.ts'
import type { PieceUpstreamOptions, PieceWorkSpec } from './pieceUpstream.ts'
import { PieceUpstreams } from './pieceUpstreams.ts'
import { PendingFrees } from './pendingFrees.ts'
import { isPossibleCrash } from './plannedCall.ts'
import type { JobUpdate, PieceCallOutcome, PieceOutcome, PlannedCall, PlannedFree } from './plannedCall.ts'
import { hasPieces } from './preparationJob.ts'
import type { JobDecline, JobRefusal, NewJobOptions, PieceResult, PreparationJob, ReservationEntry, ReturnNotice } from './preparationJob.ts'
import { measurePlanLoad } from './planLoad.ts'
import type { PlanLoad } from './planLoad.ts'
import { createPlannedPiece, getPiece, createLostUpdates, createComputedUpdates } from './readyPiece.ts'
import type { PieceKey, ReadyPiece } from './readyPiece.ts'
import { findMainHall } from './resultHalls.ts'
import type { PrefixEntry } from './prefixIndex.ts'
import { sumPieces } from './preparationFeasibility.ts'
import type { ReturnCounts } from './returnReservations.ts'
import type { TargetReport } from './targetPlanner.ts'

export interface PreparationPlannerOptions {
  /** Whether late jobs get only the capacity that jobs in time leave over, and refused callers a reservation. */
  readonly hasContention?: boolean
}

interface StartedCall {
  readonly call: PlannedCall
  readonly pieces: readonly ReadyPiece[]
  readonly startedAt: number
}

/** A call times out after its expected duration (scaled by the slowness of the upstream) times the factor, plus the extra. */
const TIMEOUT_FACTOR = 3
const TIMEOUT_EXTRA_MS = 500
/** Results are recomputed this long before the upstream may evict them. */
const LIFETIME_MARGIN_MS = 400
const INTERRUPTED_RETRY_MS = 300
/** Minimum interval between two forecasts of all jobs. */
const FORECAST_PERIOD_MS = 50

export class PreparationPlanner {
  private readonly _upstreams = new Map<string, PieceUpstream>()
  /** By role; the configuration defines the same values for all upstreams of a role. */
  private readonly _workSpecs = new Map<string, PieceWorkSpec>()
  private readonly _jobs = new Map<string, JobState>()
  private readonly _pool = new PieceUpstreams(this._upstreams)
  private readonly _jobOrder: JobOrder
  private readonly _batchPlanner: BatchPlanner
  private readonly _hallLoads = new HallLoads(this._upstreams, this._jobs, this._workSpecs)
  private readonly _calls = new Map<number, StartedCall>()
  private readonly _pendingFrees = new PendingFrees()
  private readonly _jobResults = new JobResults(this._upstreams, this._pendingFrees)
  private readonly _targets: JobTargets
  private readonly _admission: JobAdmission
  private readonly _blockedJobs = new Set<JobState>()
  private _updates: JobUpdate[] = []
  private _nextCallId = 1
  private _forecastAt = -Infinity
  private _isDraining = false

  /** Targets are the upstreams that run the requests themselves. Without `hasOpenTarget`, the listed targets are regarded as all that exist. */
  constructor (listTargets: JobTargetsOptions['listTargets'], hasOpenTarget: JobTargetsOptions['hasOpenTarget'] = role => listTargets(role).some(({ limit }) => limit === undefined), { hasContention = false }: PreparationPlannerOptions = {}) {
    // Under contention, a guaranteed share for late jobs makes as many others late, which are then late in turn.
    this._jobOrder = new JobOrder(this._workSpecs, this._pool, hasContention ? { minLateCapacityRatio: 0 } : {})
    this._batchPlanner = new BatchPlanner(this._pool, this._jobOrder)
    this._targets = new JobTargets({ listTargets, hasOpenTarget, halls: this._hallLoads, upstreams: this._upstreams })
    const parts = { pool: this._pool, jobOrder: this._jobOrder, targets: this._targets, jobs: this._jobs }
    this._admission = hasContention ? new ContendedAdmission(parts) : new PatientAdmission(parts)
  }

  get returnCounts (): ReturnCounts {
    return this._admission.returnCounts
  }

  get jobCount (): number {
    return this._jobs.size
  }

  /** Pieces of all jobs, whatever has become of them. */
  get pieceCount (): number {
    let count = 0
    for (const { job } of this._jobs.values()) count += sumPieces(job.stages)
    return count
  }

  get hasPendingFrees (): boolean {
    return !this._pendingFrees.isEmpty
  }

  /** Adds an upstream, or updates the work specification of a known one. */
  setUpstream (options: PieceUpstreamOptions): void {
    const existing = this._upstreams.get(options.id)
    this._workSpecs.set(options.role, options.work)
    if (existing === undefined) this._upstreams.set(options.id, new PieceUpstream(options))
    else existing.work = options.work
  }

  /** Sets whether the upstream accepts new calls. Results that it holds can be fetched in either case. */
  setAcceptsWork (upstreamId: string, acceptsWork: boolean): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream !== undefined) upstream.acceptsWork = acceptsWork
  }

  /** Removes an upstream. Its results are lost, and those that are still needed are recomputed. */
  removeUpstream (upstreamId: string): void {
    this._targets.planner.removeTarget(upstreamId)
    if (!this._upstreams.delete(upstreamId)) return
    this._pendingFrees.discard(upstreamId)
    for (const state of this._jobs.values()) this._jobResults.reopenLost(state, result => result.upstreamId === upstreamId)
  }

  /** Admits a job, or returns why not. Results carried over from an earlier plan are reused, or freed on refusal. */
  addJob (job: PreparationJob, now: number, { carried = [], isOffer = false }: NewJobOptions = {}): JobRefusal | JobDecline | undefined {
    if (this._jobs.has(job.id)) return undefined
    const state = new JobState(job, now)
    this._jobResults.restore(state, carried, now)
    this._targets.choose(state, now)
    const refusal = hasPieces(job) ? this._admission.decide(state, now, { isOffer }) : undefined
    if (refusal !== undefined) {
      this._jobResults.freeAll(state)
      return refusal
    }
    this._jobs.set(job.id, state)
    job.stages.forEach(stage => this._pool.getRate(stage.role).recordArrival(job.rank, stage.pieceCount, now))
    state.chainHall = this._hallLoads.chooseChainHall(state, now)
    if (carried.length > 0 || state.isDone) this._advance(state, now)
    return undefined
  }

  /** Returns the capacity that is reserved for refused callers. */
  listReservations (now: number): readonly ReservationEntry[] {
    return this._admission.listReservations(now)
  }

  /** Adds reservations that an earlier plan has made. Of two for the same key, the later one stays. */
  adoptReservations (entries: readonly ReservationEntry[], now: number): void {
    this._admission.adoptReservations(entries, now)
  }

  /** Has the plan decline the return of a caller once, since another plan has its reservation. */
  addReturnNotice (notice: ReturnNotice, now: number): void {
    this._admission.addReturnNotice(notice, now)
  }

  /** Merges prefix cache entries that owners of jobs have recorded. */
  addPrefixes (prefixEntries: readonly PrefixEntry[], now: number): void {
    this._targets.planner.addPrefixes(prefixEntries, now)
  }

  /** Records the outcome of a request at its target. */
  reportTarget (jobId: string, report: TargetReport, now: number): void {
    this._targets.planner.recordReport(jobId, report, now)
  }

  /** Removes a job whose owner no longer needs the results. Its results are freed, and no further pieces start. */
  releaseJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state === undefined) return
    this._jobs.delete(jobId)
    this._blockedJobs.delete(state)
    this._jobResults.freeAll(state)
  }

  /**
   * Stops starting calls. Jobs leave once they have no running call; their results stay at the upstreams, so that the next
   * plan can reuse them.
   */
  beginDraining (): void {
    this._isDraining = true
  }

  /** Removes and returns the jobs of a draining plan that have no running call. */
  removeIdleJobs (): readonly string[] {
    if (!this._isDraining) return []
    const idleJobs = [...this._jobs.values()].filter(state => !state.isHandedOver && !state.isRunning)
    for (const state of idleJobs) this._jobs.delete(state.job.id)
    return idleJobs.map(state => state.job.id)
  }

  /** Suspends a job whose owner is disconnected: no further calls start for it, and its results stay until it is released. */
  detachJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state !== undefined) state.isDetached = true
  }

  /** Removes a job without freeing its results: its owner submits the job again and lists them. */
  forgetJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state === undefined) return
    this._jobs.delete(jobId)
    this._jobResults.forgetAll(state)
  }

  /** Recomputes inputs that the target did not find: those at unusable upstreams, or all if every upstream is usable. False for an unknown job. */
  reopenJob (jobId: string, now: number): boolean {
    const state = this._jobs.get(jobId)
    if (state === undefined) return false
    state.isHandedOver = false
    const isAtUnusable = (result: PieceResult) => this._upstreams.get(result.upstreamId)?.isUsable(now) !== true
    const hasUnusable = state.listFinalResults().some(isAtUnusable)
    this._jobResults.reopenLost(state, result => !hasUnusable || isAtUnusable(result))
    return true
  }

  /** Plans the calls that should start now and marks their pieces as running; the caller sends them. */
  startCalls (now: number): readonly PlannedCall[] {
    this._expireJobs(now)
    if (this._isDraining) return []
    const availableByRole = this._pool.groupAvailable(now)
    if (availableByRole.size === 0 || this._jobs.size === 0) return []
    const ready = this._batchPlanner.groupReady(this._jobs.values(), availableByRole, now)
    const calls: PlannedCall[] = []
    for (const [role, upstreams] of availableByRole) {
      const pieces = ready.get(role) ?? []
      let startedCount = 0
      this._batchPlanner.assignBatches(pieces, upstreams, now, (upstream, chosen, leftWaiting) => {
        calls.push(this._startCall(upstream, chosen, leftWaiting, now))
        startedCount += chosen.length
      })
      this._pool.getRate(role).setBacklog(pieces.length > startedCount, now)
    }
    return calls
  }

  /** Records the outcome of a call. */
  completeCall (callId: number, outcome: PieceCallOutcome, now: number): void {
    const started = this._calls.get(callId)
    if (started === undefined) return
    this._calls.delete(callId)
    const upstream = this._upstreams.get(started.call.upstreamId)
    if (upstream !== undefined) {
      upstream.runningCalls--
      if (started.pieces.some(piece => piece.isSuspect)) upstream.hasSuspectCall = false
    }
    for (const piece of started.pieces) piece.state.timer.recordEnd(now)
    if (outcome.kind === 'answered') {
      upstream?.recordCall(now - started.startedAt, started.call.expectedMs, now)
      const computedCount = outcome.pieces.filter(piece => piece.kind === 'made').length
      this._pool.getRate(started.call.role).recordCall(computedCount, now - started.startedAt, now)
      started.pieces.forEach((piece, index) => this._recordPieceOutcome(piece, outcome.pieces[index] ?? { kind: 'failed', reason: 'failed' }, upstream, started, now))
    } else {
      this._recordFailedCall(started, outcome, upstream, now)
    }
    this._updates.push(...createComputedUpdates(started.pieces.filter(({ state }) => this._hasJob(state))))
    for (const state of new Set(started.pieces.map(piece => piece.state))) this._advance(state, now)
  }

  /** Returns the updates for owners of jobs since the last call, and clears them. */
  dequeueUpdates (): readonly JobUpdate[] {
    const updates = this._updates
    this._updates = []
    return updates
  }

  /** Returns the results to free at upstreams since the last call, and clears them. */
  dequeueFrees (): readonly PlannedFree[] {
    return this._pendingFrees.dequeueAll()
  }

  completeFree (free: PlannedFree, isDone: boolean, now: number): void {
    const upstream = this._upstreams.get(free.upstreamId)
    if (isDone) upstream?.releaseCapacity(free.bytes)
    else upstream?.retainCapacity(free.bytes, now)
  }

  measureLoad (now: number): PlanLoad {
    return measurePlanLoad(this._jobs.values(), this._upstreams.values(), this._pool.computeCapacities(now))
  }

  describe (now: number): object {
    return { jobs: this._jobs.size, calls: this._calls.size, upstreams: [...this._upstreams.values()].map(upstream => upstream.describe(now)) }
  }

  private _startCall (upstream: PieceUpstream, batch: readonly ReadyPiece[], leftWaiting: number, now: number): PlannedCall {
    const expectedMs = upstream.predictCallMs(batch.length, now)
    const call: PlannedCall = {
      id: this._nextCallId++,
      upstreamId: upstream.id,
      role: upstream.role,
      leftWaiting,
      freeBytes: upstream.getFreeBytes(now),
      pieces: batch.map(piece => createPlannedPiece(piece, now)),
      expectedMs,
      timeoutMs: computeCallMs(upstream.work, batch.length) * TIMEOUT_FACTOR * Math.max(1, upstream.getSlowness(now)) + TIMEOUT_EXTRA_MS
    }
    upstream.runningCalls++
    upstream.hasSuspectCall = batch.some(piece => piece.isSuspect)
    for (const piece of batch) {
      getPiece(piece).status = 'running'
      piece.state.timer.recordStart(now)
      upstream.reserveCapacity(piece.bytes)
    }
    this._calls.set(call.id, { call, pieces: batch, startedAt: now })
    return call
  }

  private _recordPieceOutcome (pieceKey: PieceKey, outcome: PieceOutcome, upstream: PieceUpstream | undefined, startedCall: StartedCall, now: number): void {
    const piece = getPiece(pieceKey)
    const bytes = pieceKey.state.job.stages[pieceKey.stage]?.resultBytes ?? 0
    if (outcome.kind === 'made') {
      piece.status = 'made'
      piece.computedAt = now
      piece.result = { handle: outcome.handle, upstreamId: startedCall.call.upstreamId }
      if (upstream === undefined) pieceKey.state.reopen(pieceKey.stage, piece)
      else if (!this._hasJob(pieceKey.state)) this._jobResults.freePiece(piece, bytes)
      return
    }
    upstream?.releaseCapacity(bytes)
    if (outcome.reason === 'noRoom') upstream?.recordFull(now)
    else piece.failures++
    pieceKey.state.reopen(pieceKey.stage, piece)
    if (outcome.reason === 'inputGone') this._reopenInputs(pieceKey.state, pieceKey.stage, now)
  }

  /** Recomputes missing inputs of a stage: those at unusable upstreams, or all if every upstream is usable. */
  private _reopenInputs (state: JobState, stage: number, now: number): void {
    const inputs = state.listInputs(stage)
    const isAtUnusable = (result: PieceResult) => this._upstreams.get(result.upstreamId)?.isUsable(now) !== true
    const unreliableInputs = inputs.filter(isAtUnusable)
    const lostHandles = new Set((unreliableInputs.length > 0 ? unreliableInputs : inputs).map(result => result.handle))
    this._jobResults.reopenLost(state, result => lostHandles.has(result.handle))
  }

  private _recordFailedCall (started: StartedCall, outcome: PieceCallOutcome, upstream: PieceUpstream | undefined, now: number): void {
    const bytes = started.pieces.reduce((sum, piece) => sum + (piece.state.job.stages[piece.stage]?.resultBytes ?? 0), 0)
    if (outcome.kind === 'lost') upstream?.retainCapacity(bytes, now)
    else upstream?.releaseCapacity(bytes)
    upstream?.recordFailedCall(outcome, now)
    for (const { state, stage, index } of started.pieces) {
      const piece = getPiece({ state, stage, index })
      if (outcome.kind === 'lost') piece.failures++
      if (isPossibleCrash(outcome)) state.recordPossibleCrash(piece)
      state.reopen(stage, piece)
    }
    if (isPossibleCrash(outcome)) this._updates.push(...createLostUpdates(started.pieces, { upstreamId: started.call.upstreamId, sentBeforeMs: now - started.startedAt }))
  }

  /** Hands over a job that is done, frees results that no stage needs any more, and refuses a job with a piece that keeps failing. */
  private _advance (state: JobState, now: number): void {
    if (!this._hasJob(state) || state.isHandedOver) return
    if (state.pieces.some(stage => stage.some(piece => piece.hasFailedPermanently))) return this._refuse(state, { reason: 'interrupted', retryAfterMs: INTERRUPTED_RETRY_MS })
    for (const stage of state.listConsumedStages()) this._jobResults.freeStage(state, stage)
    if (!state.isDone || state.isDetached) return
    this._admission.recordPrepared(state, now)
    if (this._targets.isBlocked(state, this._blockedJobs.size, now)) {
      this._blockedJobs.add(state)
      return
    }
    state.isHandedOver = true
    const results = state.listFinalResults()
    this._targets.choose(state, now)
    this._updates.push({ kind: 'prepared', jobId: state.job.id, results, targetId: state.targetId, prefixSourceId: state.prefixSourceId, hall: findMainHall(results, id => this._upstreams.get(id)?.hall), times: state.timer.measure(now) })
  }

  /** Hands over jobs that waited for a target with capacity, in scheduling order. Refuses those that would wait past their deadline. */
  private _advanceBlocked (now: number): void {
    const blocked = this._jobOrder.rank(this._blockedJobs, now)
    this._blockedJobs.clear()
    for (const state of blocked) this._advance(state, now)
    let ahead = 0
    for (const state of [...this._blockedJobs]) {
      const waitMs = this._targets.estimateWaitMs(state, ahead++, now)
      if (now + waitMs + state.expectedRequestMs > state.deadlineAt) this._refuse(state, { reason: 'overloaded', retryAfterMs: Math.round(Math.min(waitMs, state.job.deadlineInMs)) })
    }
  }

  private _expireJobs (now: number): void {
    if (now - this._forecastAt < FORECAST_PERIOD_MS) return
    this._forecastAt = now
    for (const state of [...this._jobs.values()]) {
      if (state.isDetached) continue
      if (now >= state.deadlineAt) this._refuse(state, { reason: 'tooLate', retryAfterMs: 0 })
      else if (!state.isHandedOver) this._reopenExpired(state, now)
    }
    this._advanceBlocked(now)
    for (const { state, refusal } of this._admission.updateForecasts(now)) this._refuse(state, refusal)
  }

  /** Frees results that are about to exceed their lifetime, and schedules their pieces again. */
  private _reopenExpired (state: JobState, now: number): void {
    this._jobResults.reopenLost(state, (result, piece) => {
      const lifetimeMs = this._upstreams.get(result.upstreamId)?.work.resultLifetimeMs ?? 0
      return now - piece.computedAt > lifetimeMs - LIFETIME_MARGIN_MS
    })
  }

  private _refuse (state: JobState, refusal: JobRefusal): void {
    if (!state.isHandedOver) {
      this._updates.push({ kind: 'refused', jobId: state.job.id, refusal })
      this._admission.recordRefused(state)
    }
    this.releaseJob(state.job.id)
  }

  private _hasJob (state: JobState): boolean {
    return this._jobs.get(state.job.id) === state
  }
}
