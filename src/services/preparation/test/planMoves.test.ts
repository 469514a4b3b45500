import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'
import type { CarriedPiece, PreparationJob } from '../common/preparationJob.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const SEED = 20261203
const ROOM_BYTES = 80
const STEP_MS = 20
const test = suite('planMoves')

function createPlanner (): PreparationPlanner {
  const planner = new PreparationPlanner(() => [])
  for (const role of ['a', 'b']) {
    for (const index of [0, 1]) planner.setUpstream({ id: `${role}-${index}`, role, hall: 'h', work: { ...WORK, resultRoomBytes: ROOM_BYTES } })
  }
  return planner
}

/** Handles tell the job that they were made for. */
function createOutcome (call: PlannedCall, serial: number): PieceCallOutcome {
  return { kind: 'answered', pieces: call.pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.stage}.${piece.index}/${serial}` })) }
}

/** The owner of all jobs, and the plans that come one after the other. */
class Fleet {
  readonly prepared = new Map<string, readonly string[]>()
  readonly foreign: string[] = []
  planner = createPlanner()
  private readonly _jobs = new Map<string, PreparationJob>()
  private readonly _carried = new Map<string, CarriedPiece[]>()
  private _running: readonly PlannedCall[] = []
  private _serial = 0
  private _now = 0

  get now (): number {
    return this._now
  }

  get isIdle (): boolean {
    return this.prepared.size === this._jobs.size && this._running.length === 0
  }

  add (job: PreparationJob): void {
    this._jobs.set(job.id, job)
    this.planner.addJob(job, this._now)
  }

  /** One of the calls ends, if any runs; owners hear of it. */
  step (): void {
    this._now += STEP_MS
    const started = this.planner.startCalls(this._now)
    for (const { pieces } of started) for (const { jobId, inputs } of pieces) this.foreign.push(...inputs.filter(handle => !handle.startsWith(`${jobId}/`)))
    const [ended, ...rest] = [...this._running, ...started]
    this._running = rest
    if (ended !== undefined) this.planner.settleCall(ended.id, createOutcome(ended, ++this._serial), this._now)
    this._collectNews()
    for (const free of this.planner.takeFrees()) this.planner.settleFree(free, true, this._now)
  }

  /** A planned stop: calls end first. */
  stopPlanner (): void {
    this.planner.end()
    while (this._running.length > 0) this.step()
    this._moveJobs(new Set(this.planner.takeIdleJobs()), 1)
  }

  /** A crash: what runs is lost, and so is a part of what the owners should have heard. */
  losePlanner (heardShare: number): void {
    this._running = []
    this._moveJobs(new Set([...this._jobs.keys()].filter(id => !this.prepared.has(id))), heardShare)
  }

  private _moveJobs (jobIds: ReadonlySet<string>, heardShare: number): void {
    this.planner = createPlanner()
    for (const id of jobIds) {
      const job = this._jobs.get(id)
      const carried = this._carried.get(id) ?? []
      if (job !== undefined) this.planner.addJob(job, this._now, { carried: carried.slice(0, Math.ceil(carried.length * heardShare)) })
    }
  }

  private _collectNews (): void {
    for (const news of this.planner.takeNews()) {
      if (news.kind === 'made') this._carried.set(news.jobId, [...this._carried.get(news.jobId) ?? [], ...news.pieces.map(piece => ({ ...piece, ageMs: STEP_MS }))])
      if (news.kind !== 'prepared') continue
      this.prepared.set(news.jobId, news.results.map(result => result.handle))
      this.planner.releaseJob(news.jobId)
    }
  }
}

test('whatever plan a job moves to, it ends with results of its own, and no room stays held', () => {
  const job = fc.record({ first: fc.integer({ min: 0, max: 3 }), second: fc.integer({ min: 1, max: 4 }), steps: fc.integer({ min: 0, max: 3 }), move: fc.constantFrom('none', 'none', 'stop', 'lose'), heardShare: fc.double({ min: 0, max: 1, noNaN: true }) })
  fc.assert(fc.property(fc.array(job, { minLength: 1, maxLength: 8 }), jobs => {
    const fleet = new Fleet()
    jobs.forEach(({ first, second, steps, move, heardShare }, index) => {
      const stages = [createStage('a', first), createStage('b', second, first > 0 ? [0] : [])]
      fleet.add(createJob(`j${index}`, stages, { goalInMs: 1e6, deadlineInMs: 2e6 }))
      for (let count = 0; count < steps; count++) fleet.step()
      if (move === 'stop') fleet.stopPlanner()
      else if (move === 'lose') fleet.losePlanner(heardShare)
    })
    for (let count = 0; count < 1000 && !fleet.isIdle; count++) fleet.step()
    assert.equal(fleet.foreign, [])
    jobs.forEach(({ second }, index) => {
      const handles = fleet.prepared.get(`j${index}`) ?? []
      assert.is(handles.length, second)
      assert.ok(handles.every(handle => handle.startsWith(`j${index}/1.`)))
    })
    for (const free of fleet.planner.takeFrees()) fleet.planner.settleFree(free, true, fleet.now)
    const { upstreams } = fleet.planner.describe(fleet.now) as { readonly upstreams: readonly { readonly freeBytes: number }[] }
    assert.ok(upstreams.every(({ freeBytes }) => freeBytes === ROOM_BYTES))
  }), { seed: SEED, numRuns: 300 })
})

test.run()
