/**
 * The real planner of pieces in virtual time, before modelled upstreams and callers with patience and one retry.
 */
import { SeededRandom } from '../../base/common/random.ts'
import type { IRandom } from '../../base/common/random.ts'
import { PreparationPlanner } from '../../services/preparation/common/preparationPlanner.ts'
import type { PlannedCall } from '../../services/preparation/common/plannedCall.ts'
import type { CarriedPiece, JobRefusal, ComputedPiece, PreparationJob } from '../../services/preparation/common/preparationJob.ts'
import { LabUpstreamModel } from './labUpstreamModel.ts'
import type { LabDeployment, LabKind } from './labDeployment.ts'
import { scoreRun } from './labScore.ts'
import type { LabEnd, LabScore } from './labScore.ts'
import { VirtualEvents } from './virtualEvents.ts'

const STEP_MS = 25
const FREE_DELAY_MS = 12
const FETCHED_SHARE = 0.5
const MAX_RETRY_SHARE = 1 / 3
/** Callers' patience for the rest of a stream is not modelled; the longest ends within this after the last request. */
const DRAIN_MS = 20_000
const MS_PER_S = 1000
const PIECES_SPREAD = 0.5
const REQUEST_SPREAD = 0.6
const MAX_FACTOR = 4

class LabRequest {
  refusals = 0
  heldMs = 0
  askedAt = 0
  isOver = false
  results: readonly string[] = []
  private readonly _made = new Map<string, ComputedPiece & { readonly at: number }>()

  constructor (readonly id: string, readonly kind: LabKind, readonly sentAt: number, readonly counts: readonly number[], readonly requestMs: number) {}

  recordMade (pieces: readonly ComputedPiece[], at: number): void {
    for (const piece of pieces) this._made.set(`${piece.stage}/${piece.index}`, { ...piece, at })
  }

  listCarried (now: number): readonly CarriedPiece[] {
    return [...this._made.values()].map(({ stage, index, result, at }) => ({ stage, index, result, ageMs: now - at }))
  }
}

export class LabRun {
  private readonly _events = new VirtualEvents()
  private readonly _random: IRandom
  private readonly _upstreams: ReadonlyMap<string, LabUpstreamModel>
  private readonly _requests = new Map<string, LabRequest>()
  private readonly _ends: LabEnd[] = []
  private readonly _makers = new Map<string, string>()
  /** What each result took to make, until it is used or thrown away. */
  private readonly _workMs = new Map<string, number>()
  private _planner: PreparationPlanner
  private _generation = 0
  private _usedMs = 0
  private _allMs = 0
  private _movedBytes = 0
  private _calls = 0
  private _pieces = 0
  private _noRoom = 0

  constructor (private readonly _deployment: LabDeployment) {
    this._random = new SeededRandom(_deployment.seed + 1)
    this._upstreams = new Map(_deployment.upstreams.map(upstream => [upstream.id, new LabUpstreamModel(upstream, _deployment.slowness)]))
    this._planner = this._createPlanner()
  }

  run (): LabScore {
    for (const kind of this._deployment.kinds) this._scheduleNext(kind, 0)
    for (const loss of this._deployment.losses) this._events.schedule(loss.at, () => this._losePlanner(loss.noticedAfterMs))
    const endAt = this._deployment.lengthMs + DRAIN_MS
    for (let at = 0; at < endAt; at += STEP_MS) this._events.schedule(at, () => this._step())
    this._events.advance(endAt)
    return scoreRun(this._ends, { wastedMs: this._allMs - this._usedMs, movedBytes: this._movedBytes, calls: this._calls, pieces: this._pieces, noRoom: this._noRoom })
  }

  private _createPlanner (): PreparationPlanner {
    const halls = [...new Set(this._deployment.upstreams.map(upstream => upstream.hall))]
    const planner = new PreparationPlanner(() => halls.flatMap(hall => [{ id: `model-${hall}-0`, hall, msPerMovedToken: Infinity }, { id: `model-${hall}-1`, hall, msPerMovedToken: Infinity }]))
    for (const upstream of this._deployment.upstreams) planner.setUpstream(upstream)
    return planner
  }

  private _scheduleNext (kind: LabKind, from: number): void {
    const factor = this._deployment.bursts.reduce((product, burst) => product * (from >= burst.at && from < burst.at + burst.forMs && (burst.kind ?? kind.name) === kind.name ? burst.factor : 1), 1)
    const at = from - Math.log(1 - this._random.next()) / (kind.perSecond * factor) * MS_PER_S
    if (at >= this._deployment.lengthMs) return
    this._events.schedule(at, () => {
      this._scheduleNext(kind, at)
      const counts = kind.stages.map(stage => this._random.next() < stage.share ? this._drawPieces(stage.meanPieces) : 0)
      const request = new LabRequest(`${kind.name}-${this._requests.size}`, kind, at, counts, kind.requestMs * this._drawFactor(REQUEST_SPREAD))
      this._requests.set(request.id, request)
      this._events.schedule(at + kind.deadlineMs, () => this._end(request, undefined))
      this._ask(request)
    })
  }

  private _drawPieces (mean: number): number {
    return mean <= 1 ? 1 : Math.min(Math.ceil(mean * MAX_FACTOR), Math.max(1, Math.round(mean * this._drawFactor(PIECES_SPREAD))))
  }

  /** Log-normal with mean 1: a few requests are much larger than most. */
  private _drawFactor (spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next())
    return Math.exp(spread * normal - spread * spread / 2)
  }

  private _ask (request: LabRequest): void {
    if (request.isOver) return
    request.askedAt = this._events.now
    if (request.counts.every(count => count === 0)) return this._send(request)
    this._submit(request)
  }

  private _submit (request: LabRequest): void {
    const refusal = this._planner.addJob(this._createJob(request), this._events.now, { carried: request.listCarried(this._events.now) })
    if (refusal !== undefined && refusal.reason !== 'late') this._refuse(request, refusal)
    else this._events.schedule(this._events.now + 2, () => this._step())
  }

  private _createJob (request: LabRequest): PreparationJob {
    const { kind, counts, id } = request
    const now = this._events.now
    const waitedMs = now - request.askedAt
    return {
      id,
      key: id,
      rank: kind.rank,
      // A caller that comes back asks anew; nothing tells when it asked first.
      goalInMs: Math.max(0, kind.goalMs - waitedMs),
      deadlineInMs: Math.max(0, request.sentAt + kind.deadlineMs - now),
      request: { role: 'model', shared: [], inputTokens: 0 },
      stages: kind.stages.map((stage, index) => ({
        role: stage.role,
        after: stage.after.filter(before => (counts[before] ?? 0) > 0),
        pieceCount: counts[index] ?? 0,
        resultBytes: stage.resultBytes
      }))
    }
  }

  private _step (): void {
    const now = this._events.now
    for (const call of this._planner.startCalls(now)) this._start(call)
    for (const news of this._planner.dequeueUpdates()) {
      const request = this._requests.get(news.jobId)
      if (request === undefined) continue
      if (news.kind === 'refused') this._refuse(request, news.refusal)
      else if (news.kind === 'made') request.recordMade(news.pieces, now)
      else if (news.kind === 'prepared') {
        request.results = news.results.map(result => result.handle)
        this._countMoves(request.results, news.targetId.split('-')[1] ?? '', request.id)
        this._send(request)
      }
    }
    const planner = this._planner
    for (const free of planner.dequeueFrees()) {
      this._events.schedule(now + FREE_DELAY_MS, () => {
        this._upstreams.get(free.upstreamId)?.free(free.handles)
        planner.completeFree(free, true, this._events.now)
      })
    }
  }

  private _start (call: PlannedCall): void {
    const upstream = this._upstreams.get(call.upstreamId)
    if (upstream === undefined) return
    const generation = this._generation
    const pieces = call.pieces.map(piece => {
      const stage = this._requests.get(piece.jobId)?.kind.stages[piece.stage]
      return { bytes: stage?.resultBytes ?? 0, costFactor: stage?.costFactor ?? 1 }
    })
    const { outcome, endAt, workMs } = upstream.run(call, pieces, handle => this._holdsResult(handle), this._events.now)
    this._calls++
    this._pieces += call.pieces.length
    this._allMs += workMs
    if (outcome.kind === 'answered') {
      const share = workMs / Math.max(1, outcome.pieces.length)
      outcome.pieces.forEach((piece, index) => {
        if (piece.kind === 'failed') {
          if (piece.reason === 'noRoom') this._noRoom++
          return
        }
        this._makers.set(piece.handle, call.upstreamId)
        this._workMs.set(piece.handle, share)
        this._countMoves(call.pieces[index]?.inputs ?? [], upstream.hall, call.pieces[index]?.jobId ?? '')
      })
    }
    this._events.schedule(endAt, () => {
      if (generation !== this._generation) return
      this._planner.completeCall(call.id, outcome, this._events.now)
      if (outcome.kind === 'answered') outcome.pieces.forEach((piece, index) => { if (piece.kind === 'made') this._useInputs(call.pieces[index]?.inputs ?? []) })
      this._events.schedule(this._events.now + 2, () => this._step())
    })
  }

  private _holdsResult (handle: string): boolean {
    return this._upstreams.get(this._makers.get(handle) ?? '')?.holdsResult(handle, this._events.now) === true
  }

  private _useInputs (handles: readonly string[]): void {
    for (const handle of handles) {
      this._usedMs += this._workMs.get(handle) ?? 0
      this._workMs.delete(handle)
    }
  }

  private _countMoves (handles: readonly string[], hall: string, jobId: string): void {
    const stages = this._requests.get(jobId)?.kind.stages ?? []
    for (const handle of handles) {
      const maker = this._makers.get(handle) ?? ''
      const bytes = Math.max(0, ...stages.filter(stage => maker.startsWith(stage.role)).map(stage => stage.resultBytes))
      if (this._upstreams.get(maker)?.hall !== hall) this._movedBytes += bytes
    }
  }

  private _send (request: LabRequest): void {
    if (request.isOver) return
    const now = this._events.now
    const planner = this._planner
    this._useInputs(request.results)
    this._events.schedule(now + request.requestMs * FETCHED_SHARE, () => {
      if (planner === this._planner) planner.releaseJob(request.id)
      else for (const handle of request.results) this._upstreams.get(this._makers.get(handle) ?? '')?.free([handle])
    })
    this._events.schedule(now + request.requestMs, () => {
      planner.reportTarget(request.id, { outcome: 'produced', producedMs: request.requestMs }, this._events.now)
      this._end(request, this._events.now)
    })
  }

  private _refuse (request: LabRequest, refusal: JobRefusal): void {
    if (request.isOver) return
    const now = this._events.now
    request.refusals++
    request.heldMs += now - request.askedAt
    if (request.refusals > 1) return this._end(request, undefined)
    const leftMs = request.sentAt + request.kind.deadlineMs - now
    request.askedAt = Infinity
    this._events.schedule(now + Math.min(refusal.retryAfterMs, leftMs * MAX_RETRY_SHARE), () => this._ask(request))
  }

  private _end (request: LabRequest, answeredAt: number | undefined): void {
    if (request.isOver) return
    request.isOver = true
    const { kind, sentAt, refusals } = request
    const heldMs = request.heldMs + (answeredAt === undefined && Number.isFinite(request.askedAt) && refusals < 2 ? this._events.now - request.askedAt : 0)
    if (answeredAt === undefined) this._planner.releaseJob(request.id)
    this._ends.push({ kind, sentAt, answeredAt, refusals, heldMs })
  }

  /** All that the planner knew is gone; owners give their open jobs to the next one. */
  private _losePlanner (noticedAfterMs: number): void {
    this._generation++
    this._planner = this._createPlanner()
    const open = [...this._requests.values()].filter(request => !request.isOver && request.results.length === 0 && Number.isFinite(request.askedAt))
    this._events.schedule(this._events.now + noticedAfterMs, () => { for (const request of open) if (!request.isOver) this._submit(request) })
  }
}
