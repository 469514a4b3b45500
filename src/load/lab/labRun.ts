/**
 * Runs the production planner of pieces in virtual time against simulated upstreams and callers. A caller retries once
 * after a refusal and aborts at its deadline.
 */
import { SeededRandom } from '../../base/common/random.ts'
import type { IRandom } from '../../base/common/random.ts'
import { PreparationPlanner } from '../../services/preparation/common/preparationPlanner.ts'
import type { PlannedCall } from '../../services/preparation/common/plannedCall.ts'
import type { CarriedPiece, JobRefusal, ComputedPiece, PreparationJob } from '../../services/preparation/common/preparationJob.ts'
import { LabUpstreamModel } from './labUpstreamModel.ts'
import type { LabDeployment, LabRequestKind, LabWave } from './labDeployment.ts'
import { scoreRun } from './labScore.ts'
import type { LabOutcome, LabScore } from './labScore.ts'
import { VirtualTimeScheduler } from './virtualTimeScheduler.ts'

const PLANNER_INTERVAL_MS = 25
/** Delay until a request to free results reaches the upstream. */
const FREE_DELAY_MS = 12
/** The part of the time to the first event after which the model has fetched the results, so that they can be freed. */
const RESULTS_FETCHED_SHARE = 0.5
/** The longest wait before a retry, as a share of the time left to the deadline. */
const MAX_RETRY_WAIT_SHARE = 1 / 3
/** Every request ends within this time after the last arrival. The rest of a stream after its first event is not simulated. */
const DRAIN_MS = 20_000
/** A refusal is prompt within this share of the goal. */
const PROMPT_REFUSAL_SHARE = 1 / 4
const MS_PER_S = 1000
const PIECE_COUNT_SIGMA = 0.5
const FIRST_EVENT_SIGMA = 0.6
const MAX_PIECE_COUNT_FACTOR = 4

export interface LabRunOptions {
  /** Whether the planner reserves capacity for refused callers. */
  readonly hasContention?: boolean
}

class LabRequest {
  refusals = 0
  unansweredMs = 0
  submittedAt = 0
  hasEnded = false
  /** Time of the second attempt, if the first was refused so soon that the second earns credit of its own. */
  returnedAt: number | undefined
  resultHandles: readonly string[] = []
  private readonly _computedPieces = new Map<string, ComputedPiece & { readonly at: number }>()

  constructor (readonly id: string, readonly kind: LabRequestKind, readonly sentAt: number, readonly pieceCounts: readonly number[], readonly firstEventMs: number) {}

  recordComputed (pieces: readonly ComputedPiece[], at: number): void {
    for (const piece of pieces) this._computedPieces.set(`${piece.stage}/${piece.index}`, { ...piece, at })
  }

  listCarriedPieces (now: number): readonly CarriedPiece[] {
    return [...this._computedPieces.values()].map(({ stage, index, result, at }) => ({ stage, index, result, ageMs: now - at }))
  }
}

export class LabRun {
  private readonly _scheduler = new VirtualTimeScheduler()
  private readonly _random: IRandom
  private readonly _upstreams: ReadonlyMap<string, LabUpstreamModel>
  private readonly _requests = new Map<string, LabRequest>()
  private readonly _outcomes: LabOutcome[] = []
  private readonly _upstreamIdByHandle = new Map<string, string>()
  /** Processing time behind each result that has not been used yet, by result handle. */
  private readonly _unusedWorkMs = new Map<string, number>()
  private readonly _hasContention: boolean
  private _planner: PreparationPlanner
  private _plannerEpoch = 0
  private _usedWorkMs = 0
  private _totalWorkMs = 0
  private _movedBytes = 0
  private _callCount = 0
  private _pieceCount = 0
  private _noRoomCount = 0

  constructor (private readonly _deployment: LabDeployment, { hasContention = false }: LabRunOptions = {}) {
    this._hasContention = hasContention
    this._random = new SeededRandom(_deployment.seed + 1)
    this._upstreams = new Map(_deployment.upstreams.map(upstream => [upstream.id, new LabUpstreamModel(upstream, _deployment.slowdowns)]))
    this._planner = this._createPlanner()
  }

  run (): LabScore {
    for (const kind of this._deployment.kinds) this._scheduleArrival(kind, 0)
    for (const loss of this._deployment.plannerLosses) this._scheduler.schedule(loss.at, () => this._replacePlanner(loss.detectedAfterMs))
    const endAt = this._deployment.durationMs + DRAIN_MS
    for (let at = 0; at < endAt; at += PLANNER_INTERVAL_MS) this._scheduler.schedule(at, () => this._runPlanner())
    this._scheduler.advance(endAt)
    return scoreRun(this._outcomes, { wastedMs: this._totalWorkMs - this._usedWorkMs, movedBytes: this._movedBytes, calls: this._callCount, pieces: this._pieceCount, noRoom: this._noRoomCount })
  }

  private _createPlanner (): PreparationPlanner {
    const halls = [...new Set(this._deployment.upstreams.map(upstream => upstream.hall))]
    const planner = new PreparationPlanner(() => halls.flatMap(hall => [{ id: `model-${hall}-0`, hall, msPerMovedToken: Infinity }, { id: `model-${hall}-1`, hall, msPerMovedToken: Infinity }]), undefined, { hasContention: this._hasContention })
    for (const upstream of this._deployment.upstreams) planner.setUpstream(upstream)
    return planner
  }

  private _scheduleArrival (kind: LabRequestKind, from: number): void {
    const factor = this._deployment.bursts.reduce((product, burst) => product * (from >= burst.startAt && from < burst.startAt + burst.durationMs && (burst.kind ?? kind.name) === kind.name ? burst.factor : 1), 1)
    const wave = computeWaveFactor(this._deployment.wave, from)
    const at = from - Math.log(1 - this._random.next()) / (kind.requestsPerSecond * factor * wave) * MS_PER_S
    if (at >= this._deployment.durationMs) return
    this._scheduler.schedule(at, () => {
      this._scheduleArrival(kind, at)
      const pieceCounts = kind.stages.map(stage => this._random.next() < stage.share ? this._drawPieceCount(stage.meanPieces) : 0)
      const request = new LabRequest(`${kind.name}-${this._requests.size}`, kind, at, pieceCounts, kind.firstEventMs * this._drawLogNormal(FIRST_EVENT_SIGMA))
      this._requests.set(request.id, request)
      this._scheduler.schedule(at + kind.deadlineMs, () => this._endRequest(request, undefined))
      this._startAttempt(request)
    })
  }

  private _drawPieceCount (mean: number): number {
    return mean <= 1 ? 1 : Math.min(Math.ceil(mean * MAX_PIECE_COUNT_FACTOR), Math.max(1, Math.round(mean * this._drawLogNormal(PIECE_COUNT_SIGMA))))
  }

  /** Draws from a log-normal distribution with mean 1: a few requests are much larger than most. */
  private _drawLogNormal (sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next())
    return Math.exp(sigma * normal - sigma * sigma / 2)
  }

  private _startAttempt (request: LabRequest): void {
    if (request.hasEnded) return
    request.submittedAt = this._scheduler.now
    if (this._deployment.hasReturnCredit === true && request.refusals === 1 && request.unansweredMs <= request.kind.goalMs * PROMPT_REFUSAL_SHARE) request.returnedAt = this._scheduler.now
    if (request.pieceCounts.every(count => count === 0)) return this._sendRequest(request)
    this._submitJob(request)
  }

  private _submitJob (request: LabRequest): void {
    const refusal = this._planner.addJob(this._createJob(request), this._scheduler.now, { carried: request.listCarriedPieces(this._scheduler.now) })
    if (refusal !== undefined && refusal.reason !== 'late') this._handleRefusal(request, refusal)
    else this._scheduler.schedule(this._scheduler.now + 2, () => this._runPlanner())
  }

  private _createJob (request: LabRequest): PreparationJob {
    const { kind, pieceCounts, id } = request
    const now = this._scheduler.now
    const waitedMs = now - request.submittedAt
    return {
      id,
      key: id,
      ...this._hasContention ? { returnKey: id, returnWithinMs: (request.sentAt + kind.deadlineMs - now) * MAX_RETRY_WAIT_SHARE } : {},
      rank: kind.rank,
      // The goal counts from the current attempt, since a retry does not state when the request was first sent.
      goalInMs: Math.max(0, kind.goalMs - waitedMs),
      deadlineInMs: Math.max(0, request.sentAt + kind.deadlineMs - now),
      request: { role: 'model', shared: [], inputTokens: 0 },
      stages: kind.stages.map((stage, index) => ({
        role: stage.role,
        after: stage.after.filter(before => (pieceCounts[before] ?? 0) > 0),
        pieceCount: pieceCounts[index] ?? 0,
        resultBytes: stage.resultBytes
      }))
    }
  }

  private _runPlanner (): void {
    const now = this._scheduler.now
    for (const call of this._planner.startCalls(now)) this._startCall(call)
    for (const update of this._planner.dequeueUpdates()) {
      const request = this._requests.get(update.jobId)
      if (request === undefined) continue
      if (update.kind === 'refused') this._handleRefusal(request, update.refusal)
      else if (update.kind === 'made') request.recordComputed(update.pieces, now)
      else if (update.kind === 'prepared') {
        request.resultHandles = update.results.map(result => result.handle)
        this._countMovedBytes(request.resultHandles, update.targetId.split('-')[1] ?? '', request.id)
        this._sendRequest(request)
      }
    }
    const planner = this._planner
    for (const free of planner.dequeueFrees()) {
      this._scheduler.schedule(now + FREE_DELAY_MS, () => {
        this._upstreams.get(free.upstreamId)?.free(free.handles)
        planner.completeFree(free, true, this._scheduler.now)
      })
    }
  }

  private _startCall (call: PlannedCall): void {
    const upstream = this._upstreams.get(call.upstreamId)
    if (upstream === undefined) return
    const epoch = this._plannerEpoch
    const pieces = call.pieces.map(piece => {
      const stage = this._requests.get(piece.jobId)?.kind.stages[piece.stage]
      return { bytes: stage?.resultBytes ?? 0, costFactor: stage?.costFactor ?? 1 }
    })
    const { outcome, endAt, workMs } = upstream.run(call, pieces, handle => this._hasResult(handle), this._scheduler.now)
    this._callCount++
    this._pieceCount += call.pieces.length
    this._totalWorkMs += workMs
    if (outcome.kind === 'answered') {
      const workMsPerPiece = workMs / Math.max(1, outcome.pieces.length)
      outcome.pieces.forEach((piece, index) => {
        if (piece.kind === 'failed') {
          if (piece.reason === 'noRoom') this._noRoomCount++
          return
        }
        this._upstreamIdByHandle.set(piece.handle, call.upstreamId)
        this._unusedWorkMs.set(piece.handle, workMsPerPiece)
        this._countMovedBytes(call.pieces[index]?.inputs ?? [], upstream.hall, call.pieces[index]?.jobId ?? '')
      })
    }
    this._scheduler.schedule(endAt, () => {
      if (epoch !== this._plannerEpoch) return
      this._planner.completeCall(call.id, outcome, this._scheduler.now)
      if (outcome.kind === 'answered') outcome.pieces.forEach((piece, index) => { if (piece.kind === 'made') this._recordUse(call.pieces[index]?.inputs ?? []) })
      this._scheduler.schedule(this._scheduler.now + 2, () => this._runPlanner())
    })
  }

  private _hasResult (handle: string): boolean {
    return this._upstreams.get(this._upstreamIdByHandle.get(handle) ?? '')?.hasResult(handle, this._scheduler.now) === true
  }

  private _recordUse (handles: readonly string[]): void {
    for (const handle of handles) {
      this._usedWorkMs += this._unusedWorkMs.get(handle) ?? 0
      this._unusedWorkMs.delete(handle)
    }
  }

  private _countMovedBytes (handles: readonly string[], hall: string, jobId: string): void {
    const stages = this._requests.get(jobId)?.kind.stages ?? []
    for (const handle of handles) {
      const producerId = this._upstreamIdByHandle.get(handle) ?? ''
      const bytes = Math.max(0, ...stages.filter(stage => producerId.startsWith(stage.role)).map(stage => stage.resultBytes))
      if (this._upstreams.get(producerId)?.hall !== hall) this._movedBytes += bytes
    }
  }

  private _sendRequest (request: LabRequest): void {
    if (request.hasEnded) return
    const now = this._scheduler.now
    const planner = this._planner
    this._recordUse(request.resultHandles)
    this._scheduler.schedule(now + request.firstEventMs * RESULTS_FETCHED_SHARE, () => {
      if (planner === this._planner) planner.releaseJob(request.id)
      else for (const handle of request.resultHandles) this._upstreams.get(this._upstreamIdByHandle.get(handle) ?? '')?.free([handle])
    })
    this._scheduler.schedule(now + request.firstEventMs, () => {
      planner.reportTarget(request.id, { outcome: 'produced', producedMs: request.firstEventMs }, this._scheduler.now)
      this._endRequest(request, this._scheduler.now)
    })
  }

  private _handleRefusal (request: LabRequest, refusal: JobRefusal): void {
    if (request.hasEnded) return
    const now = this._scheduler.now
    request.refusals++
    request.unansweredMs += now - request.submittedAt
    if (request.refusals > 1) return this._endRequest(request, undefined)
    const timeLeftMs = request.sentAt + request.kind.deadlineMs - now
    request.submittedAt = Infinity
    this._scheduler.schedule(now + Math.min(refusal.retryAfterMs, timeLeftMs * MAX_RETRY_WAIT_SHARE), () => this._startAttempt(request))
  }

  private _endRequest (request: LabRequest, answeredAt: number | undefined): void {
    if (request.hasEnded) return
    request.hasEnded = true
    const { kind, sentAt, refusals } = request
    const unansweredMs = request.unansweredMs + (answeredAt === undefined && Number.isFinite(request.submittedAt) && refusals < 2 ? this._scheduler.now - request.submittedAt : 0)
    if (answeredAt === undefined) this._planner.releaseJob(request.id)
    this._outcomes.push({ kind, sentAt, answeredAt, refusals, unansweredMs, returnedAt: request.returnedAt })
  }

  /** Discards the planner with all its state. Once the loss is detected, the owners submit their open jobs to the new planner. */
  private _replacePlanner (detectedAfterMs: number): void {
    this._plannerEpoch++
    this._planner = this._createPlanner()
    const openRequests = [...this._requests.values()].filter(request => !request.hasEnded && request.resultHandles.length === 0 && Number.isFinite(request.submittedAt))
    this._scheduler.schedule(this._scheduler.now + detectedAfterMs, () => { for (const request of openRequests) if (!request.hasEnded) this._submitJob(request) })
  }
}

function computeWaveFactor (wave: LabWave | undefined, at: number): number {
  return wave === undefined ? 1 : 1 + wave.swing * Math.sin(2 * Math.PI * (at / wave.periodMs + wave.phase))
}
