/**
 * Plans the pieces of all jobs that a coordinator holds: which go together into a call, at which upstream, and when.
 * Pure: time is passed in, and calls are made by others.
 */
import { BatchChoice } from './batchChoice.ts'
import { computeRetryAfter, decideAdmission } from './jobForecast.ts'
import { JobOrder } from './jobOrder.ts'
import { JobState } from './jobState.ts'
import { JobTargets } from './jobTargets.ts'
import type { JobTargetsOptions } from './jobTargets.ts'
import { HallLoads } from './hallLoads.ts'
import { HeldResults } from './heldResults.ts'
import { computeCallMs, PieceUpstream } from './pieceUpstream.ts'
import type { PieceUpstreamOptions, PieceWorkSpec } from './pieceUpstream.ts'
import { PieceUpstreams } from './pieceUpstreams.ts'
import { PendingFrees } from './pendingFrees.ts'
import { isCutOff } from './plannedCall.ts'
import type { JobNews, PieceCallOutcome, PieceOutcome, PlannedCall, PlannedFree } from './plannedCall.ts'
import { hasPieces } from './preparationJob.ts'
import type { AdmissionTerms, JobDecline, JobRefusal, NewJobOptions, PieceResult, PreparationJob } from './preparationJob.ts'
import { measurePlanLoad } from './planLoad.ts'
import type { PlanLoad } from './planLoad.ts'
import { createPlannedPiece, getPiece, listLostNews, listMadeNews } from './readyPiece.ts'
import type { PieceKey, ReadyPiece } from './readyPiece.ts'
import { findMainHall } from './resultHalls.ts'
import type { PrefixNote } from './prefixBook.ts'
import type { TargetReport } from './targetPlanner.ts'

interface StartedCall {
  readonly call: PlannedCall
  readonly pieces: readonly ReadyPiece[]
  readonly startedAt: number
}

/** A call that takes so many times what it should, and some more, is given up. */
const TIMEOUT_FACTOR = 3
const TIMEOUT_EXTRA_MS = 500
const FULL_PAUSE_MS = 60
/** A result this close to the end of its lifetime is not relied on. */
const LIFETIME_MARGIN_MS = 400
const INTERRUPTED_RETRY_MS = 300
/** How often it is looked at what can still be done in time. */
const FORECAST_PERIOD_MS = 50

export class PreparationPlanner {
  private readonly _upstreams = new Map<string, PieceUpstream>()
  /** What upstreams of a role do; the configuration says the same of all of them. */
  private readonly _works = new Map<string, PieceWorkSpec>()
  private readonly _jobs = new Map<string, JobState>()
  private readonly _pool = new PieceUpstreams(this._upstreams)
  private readonly _order = new JobOrder(this._works, this._pool)
  private readonly _batches = new BatchChoice(this._pool, this._order)
  private readonly _halls = new HallLoads(this._upstreams, this._jobs, this._works)
  private readonly _calls = new Map<number, StartedCall>()
  private readonly _frees = new PendingFrees()
  private readonly _results = new HeldResults(this._upstreams, this._frees)
  private readonly _targets: JobTargets
  private readonly _blocked = new Set<JobState>()
  private _news: JobNews[] = []
  private _nextCallId = 1
  private _forecastAt = -Infinity
  private _isEnding = false

  /** The targets are the upstreams that requests themselves go to; without the second, those that are listed are all. */
  constructor (listTargets: JobTargetsOptions['listTargets'], hasOpenTarget: JobTargetsOptions['hasOpenTarget'] = role => listTargets(role).some(({ limit }) => limit === undefined)) {
    this._targets = new JobTargets({ listTargets, hasOpenTarget, halls: this._halls, upstreams: this._upstreams })
  }

  get jobCount (): number {
    return this._jobs.size
  }

  get hasFrees (): boolean {
    return !this._frees.isEmpty
  }

  /** Adds an upstream or takes in what changed of it. */
  setUpstream (options: PieceUpstreamOptions): void {
    const held = this._upstreams.get(options.id)
    this._works.set(options.role, options.work)
    if (held === undefined) this._upstreams.set(options.id, new PieceUpstream(options))
    else held.work = options.work
  }

  /** Whether new calls may go there; results that lie there can still be fetched. */
  setTakesWork (upstreamId: string, takesWork: boolean): void {
    const upstream = this._upstreams.get(upstreamId)
    if (upstream !== undefined) upstream.takesWork = takesWork
  }

  /** The upstream is gone, and with it its results. */
  dropUpstream (upstreamId: string): void {
    this._targets.planner.drop(upstreamId)
    if (!this._upstreams.delete(upstreamId)) return
    this._frees.drop(upstreamId)
    for (const state of this._jobs.values()) this._results.reopenLost(state, result => result.upstreamId === upstreamId)
  }

  /** Takes a job in, or says why not. What an earlier plan made for it is used, or given back. */
  addJob (job: PreparationJob, now: number, { carried = [], isOffer = false }: NewJobOptions = {}): JobRefusal | JobDecline | undefined {
    if (this._jobs.has(job.id)) return undefined
    const state = new JobState(job, now)
    this._results.restore(state, carried, now)
    this._targets.choose(state, now)
    const refusal = hasPieces(job) ? this._decideAdmission(state, now, { isOffer }) : undefined
    if (refusal !== undefined) {
      this._results.freeAll(state)
      return refusal
    }
    this._jobs.set(job.id, state)
    job.stages.forEach(stage => this._pool.getRate(stage.role).recordArrival(job.rank, stage.pieceCount, now))
    state.chainHall = this._halls.chooseChainHall(state, now)
    if (carried.length > 0 || state.isDone) this._advance(state, now)
    return undefined
  }

  private _decideAdmission (state: JobState, now: number, terms: AdmissionTerms): JobRefusal | JobDecline | undefined {
    const capacities = this._pool.computeCapacities(now)
    const forecast = this._order.forecast([...this._jobs.values(), state], capacities, now, state).find(other => other.state === state)
    return forecast === undefined ? undefined : decideAdmission(this._targets.addWait(forecast, this._jobs.values(), now), capacities, now, terms)
  }

  /** Takes in what owners know of the prompts that upstreams have read. */
  addPrefixes (notes: readonly PrefixNote[], now: number): void {
    this._targets.planner.addPrefixes(notes, now)
  }

  /** Takes in how a request fared at its target. */
  reportTarget (jobId: string, report: TargetReport, now: number): void {
    this._targets.planner.settle(jobId, report, now)
  }

  /** The owner needs the results no more: they are given back, and what was not made is not made. */
  releaseJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state === undefined) return
    this._jobs.delete(jobId)
    this._blocked.delete(state)
    this._results.freeAll(state)
  }

  /**
   * From now on no call starts, and jobs leave with `takeIdleJobs`. Their results stay where they are: the next plan
   * goes on from them.
   */
  end (): void {
    this._isEnding = true
  }

  /** Jobs of a plan that ends and for which nothing is being made any more. */
  takeIdleJobs (): readonly string[] {
    if (!this._isEnding) return []
    const idle = [...this._jobs.values()].filter(state => !state.isHandedOver && !state.isRunning)
    for (const state of idle) this._jobs.delete(state.job.id)
    return idle.map(state => state.job.id)
  }

  /** Nobody is known to want the job: nothing more is made for it, and its results stay until it is released. */
  detachJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state !== undefined) state.isDetached = true
  }

  /** Leaves a job out without giving its results back: its owner brings them with it again. */
  forgetJob (jobId: string): void {
    const state = this._jobs.get(jobId)
    if (state === undefined) return
    this._jobs.delete(jobId)
    this._results.forgetAll(state)
  }

  /** An upstream of the request found inputs missing: those that may be gone are made again. */
  reopenJob (jobId: string, now: number): boolean {
    const state = this._jobs.get(jobId)
    if (state === undefined) return false
    state.isHandedOver = false
    const isSuspect = (result: PieceResult) => this._upstreams.get(result.upstreamId)?.isUsable(now) !== true
    const hasSuspects = state.listFinalResults().some(isSuspect)
    this._results.reopenLost(state, result => !hasSuspects || isSuspect(result))
    return true
  }

  /** Starts the calls that should be made now. */
  startCalls (now: number): readonly PlannedCall[] {
    this._expire(now)
    if (this._isEnding) return []
    const idle = this._pool.groupIdle(now)
    if (idle.size === 0 || this._jobs.size === 0) return []
    const ready = this._batches.groupReady(this._jobs.values(), idle, now)
    const calls: PlannedCall[] = []
    for (const [role, upstreams] of idle) {
      const pieces = ready.get(role) ?? []
      let startedCount = 0
      this._batches.spread(pieces, upstreams, now, (upstream, chosen, leftWaiting) => {
        calls.push(this._start(upstream, chosen, leftWaiting, now))
        startedCount += chosen.length
      })
      this._pool.getRate(role).setBacklog(pieces.length > startedCount, now)
    }
    return calls
  }

  /** Takes in how a call ended. */
  settleCall (callId: number, outcome: PieceCallOutcome, now: number): void {
    const started = this._calls.get(callId)
    if (started === undefined) return
    this._calls.delete(callId)
    const upstream = this._upstreams.get(started.call.upstreamId)
    if (upstream !== undefined) {
      upstream.runningCalls--
      if (started.pieces.some(piece => piece.isSuspect)) upstream.hasSuspectCall = false
    }
    for (const piece of started.pieces) piece.state.clock.recordEnd(now)
    if (outcome.kind === 'answered') {
      upstream?.recordCall(now - started.startedAt, started.call.expectedMs, now)
      const madePieces = outcome.pieces.filter(piece => piece.kind === 'made').length
      this._pool.getRate(started.call.role).recordCall(madePieces, now - started.startedAt, now)
      started.pieces.forEach((piece, index) => this._settlePiece(piece, outcome.pieces[index] ?? { kind: 'failed', reason: 'failed' }, upstream, started, now))
    } else {
      this._settleFailedCall(started, outcome, upstream, now)
    }
    this._news.push(...listMadeNews(started.pieces.filter(({ state }) => this._holds(state))))
    for (const state of new Set(started.pieces.map(piece => piece.state))) this._advance(state, now)
  }

  /** What the owners of jobs have to be told since the last time. */
  takeNews (): readonly JobNews[] {
    const news = this._news
    this._news = []
    return news
  }

  /** What has to be given back at upstreams since the last time. */
  takeFrees (): readonly PlannedFree[] {
    return this._frees.take()
  }

  settleFree (free: PlannedFree, isDone: boolean, now: number): void {
    const upstream = this._upstreams.get(free.upstreamId)
    if (isDone) upstream?.releaseRoom(free.bytes)
    else upstream?.loseRoom(free.bytes, now)
  }

  measureLoad (now: number): PlanLoad {
    return measurePlanLoad(this._jobs.values(), this._upstreams.values(), this._pool.computeCapacities(now))
  }

  describe (now: number): object {
    return {
      jobs: this._jobs.size,
      calls: this._calls.size,
      upstreams: [...this._upstreams.values()].map(upstream => ({
        id: upstream.id,
        role: upstream.role,
        runningCalls: upstream.runningCalls,
        slowness: upstream.getSlowness(now),
        freeBytes: upstream.getFreeBytes(now),
        isUsable: upstream.isUsable(now)
      }))
    }
  }

  private _start (upstream: PieceUpstream, chosen: readonly ReadyPiece[], leftWaiting: number, now: number): PlannedCall {
    const expectedMs = computeCallMs(upstream.work, chosen.length)
    const call: PlannedCall = {
      id: this._nextCallId++,
      upstreamId: upstream.id,
      role: upstream.role,
      leftWaiting,
      freeBytes: upstream.getFreeBytes(now),
      pieces: chosen.map(piece => createPlannedPiece(piece, now)),
      expectedMs,
      timeoutMs: expectedMs * TIMEOUT_FACTOR * Math.max(1, upstream.getSlowness(now)) + TIMEOUT_EXTRA_MS
    }
    upstream.runningCalls++
    upstream.hasSuspectCall = chosen.some(piece => piece.isSuspect)
    for (const piece of chosen) {
      getPiece(piece).status = 'running'
      piece.state.clock.recordStart(now)
      upstream.holdRoom(piece.bytes)
    }
    this._calls.set(call.id, { call, pieces: chosen, startedAt: now })
    return call
  }

  private _settlePiece (started: PieceKey, outcome: PieceOutcome, upstream: PieceUpstream | undefined, call: StartedCall, now: number): void {
    const piece = getPiece(started)
    const bytes = started.state.job.stages[started.stage]?.resultBytes ?? 0
    if (outcome.kind === 'made') {
      piece.status = 'made'
      piece.madeAt = now
      piece.result = { handle: outcome.handle, upstreamId: call.call.upstreamId }
      if (upstream === undefined) started.state.reopen(started.stage, piece)
      else if (!this._holds(started.state)) this._results.freePiece(piece, bytes)
      return
    }
    upstream?.releaseRoom(bytes)
    if (outcome.reason === 'noRoom') upstream?.noteFull(now)
    else piece.failures++
    started.state.reopen(started.stage, piece)
    if (outcome.reason === 'inputGone') this._reopenInputs(started.state, started.stage, now)
  }

  /** An input is gone: those at upstreams that cannot be relied on are made again, or all of them. */
  private _reopenInputs (state: JobState, stage: number, now: number): void {
    const inputs = state.listInputs(stage)
    const isSuspect = (result: PieceResult) => this._upstreams.get(result.upstreamId)?.isUsable(now) !== true
    const suspects = inputs.filter(isSuspect)
    const lost = new Set((suspects.length > 0 ? suspects : inputs).map(result => result.handle))
    this._results.reopenLost(state, result => lost.has(result.handle))
  }

  private _settleFailedCall (started: StartedCall, outcome: PieceCallOutcome, upstream: PieceUpstream | undefined, now: number): void {
    const bytes = started.pieces.reduce((sum, piece) => sum + (piece.state.job.stages[piece.stage]?.resultBytes ?? 0), 0)
    if (outcome.kind === 'lost') upstream?.loseRoom(bytes, now)
    else upstream?.releaseRoom(bytes)
    if (outcome.kind === 'notRun' && (outcome.reason === 'full' || outcome.reason === 'withheld')) upstream?.avoidBriefly(now, FULL_PAUSE_MS)
    else if (outcome.kind === 'notRun' && outcome.reason === 'backingOff') upstream?.noteBackoff(now, outcome.retryInMs)
    else if (outcome.kind === 'notRun' && outcome.reason === 'limited') upstream?.noteLimited(now, outcome.retryInMs)
    else upstream?.avoid(now)
    for (const { state, stage, index } of started.pieces) {
      const piece = getPiece({ state, stage, index })
      if (outcome.kind === 'lost') piece.failures++
      if (isCutOff(outcome)) state.noteCut(piece)
      state.reopen(stage, piece)
    }
    if (isCutOff(outcome)) this._news.push(...listLostNews(started.pieces, { upstreamId: started.call.upstreamId, sentBeforeMs: now - started.startedAt }))
  }

  /** Hands over what is done, gives back what was used, and gives up what fails again and again. */
  private _advance (state: JobState, now: number): void {
    if (!this._holds(state) || state.isHandedOver) return
    if (state.pieces.some(stage => stage.some(piece => piece.hasFailedForGood))) return this._refuse(state, { reason: 'interrupted', retryAfterMs: INTERRUPTED_RETRY_MS })
    for (const stage of state.listUsedUpStages()) this._results.freeStage(state, stage)
    if (!state.isDone || state.isDetached) return
    if (this._targets.isBlocked(state, this._blocked.size, now)) {
      this._blocked.add(state)
      return
    }
    state.isHandedOver = true
    const results = state.listFinalResults()
    this._targets.choose(state, now)
    this._news.push({ kind: 'prepared', jobId: state.job.id, results, targetId: state.targetId, prefixSourceId: state.prefixSourceId, hall: findMainHall(results, id => this._upstreams.get(id)?.hall), times: state.clock.measure(now) })
  }

  /** Jobs whose results are there and whose request no upstream accepted, in the order in which they should go. */
  private _advanceBlocked (now: number): void {
    const blocked = this._order.rank(this._blocked, now)
    this._blocked.clear()
    for (const state of blocked) this._advance(state, now)
    let ahead = 0
    for (const state of [...this._blocked]) {
      const waitMs = this._targets.estimateWaitMs(state, ahead++, now)
      if (now + waitMs + state.requestMs > state.deadlineAt) this._refuse(state, { reason: 'overloaded', retryAfterMs: Math.round(Math.min(waitMs, state.job.deadlineInMs)) })
    }
  }

  private _expire (now: number): void {
    if (now - this._forecastAt < FORECAST_PERIOD_MS) return
    this._forecastAt = now
    for (const state of [...this._jobs.values()]) {
      if (state.isDetached) continue
      if (now >= state.deadlineAt) this._refuse(state, { reason: 'tooLate', retryAfterMs: 0 })
      else if (!state.isHandedOver) this._reopenExpired(state, now)
    }
    this._advanceBlocked(now)
    this._refuseHopeless(now)
  }

  /** Refuses what would not be done before its caller leaves, as soon as that can be seen: its work would be lost. */
  private _refuseHopeless (now: number): void {
    const forecasts = this._order.forecast(this._jobs.values(), this._pool.computeCapacities(now), now)
    for (const forecast of forecasts) {
      const { state } = forecast
      state.isLate = forecast.isLate
      const isHopeless = forecast.endAt > state.deadlineAt && !state.hasBegun
      const isOver = now + this._order.estimateRemaining(state, now) > state.deadlineAt
      if (isHopeless || isOver) this._refuse(state, { reason: 'overloaded', retryAfterMs: computeRetryAfter(forecast, state.deadlineAt) })
    }
  }

  /** Results that lie too long go; what still needs them has them made again. */
  private _reopenExpired (state: JobState, now: number): void {
    this._results.reopenLost(state, (result, piece) => {
      const lifetimeMs = this._upstreams.get(result.upstreamId)?.work.resultLifetimeMs ?? 0
      return now - piece.madeAt > lifetimeMs - LIFETIME_MARGIN_MS
    })
  }

  private _refuse (state: JobState, refusal: JobRefusal): void {
    if (!state.isHandedOver) this._news.push({ kind: 'refused', jobId: state.job.id, refusal })
    this.releaseJob(state.job.id)
  }

  private _holds (state: JobState): boolean {
    return this._jobs.get(state.job.id) === state
  }
}
