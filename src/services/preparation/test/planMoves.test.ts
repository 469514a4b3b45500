import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PieceCallOutcome, PlannedCall } from '../common/plannedCall.ts'
import type { CarriedPiece, PreparationJob } from '../common/preparationJob.ts'
import { PreparationPlanner } from '../common/preparationPlanner.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const SEED = 20261203
const CAPACITY_BYTES = 80
const STEP_MS = 20
const test = suite('planMoves')

function createPlanner (): PreparationPlanner {
  const planner = new PreparationPlanner(() => [])
  for (const role of ['a', 'b']) {
    for (const index of [0, 1]) planner.setUpstream({ id: `${role}-${index}`, role, hall: 'h', work: { ...WORK, resultRoomBytes: CAPACITY_BYTES } })
  }
  return planner
}

/** Each handle begins with the id of its job. */
function createOutcome (call: PlannedCall, serial: number): PieceCallOutcome {
  return { kind: 'answered', pieces: call.pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.stage}.${piece.index}/${serial}` })) }
}

/** The owner of all jobs, which submits them to one planner after the other. */
class JobOwner {
  readonly prepared = new Map<string, readonly string[]>()
  readonly foreignInputs: string[] = []
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

  /** Starts calls and completes one of the calls in flight, if any; updates reach the owner. */
  step (): void {
    this._now += STEP_MS
    const started = this.planner.startCalls(this._now)
    for (const { pieces } of started) for (const { jobId, inputs } of pieces) this.foreignInputs.push(...inputs.filter(handle => !handle.startsWith(`${jobId}/`)))
    const [ended, ...rest] = [...this._running, ...started]
    this._running = rest
    if (ended !== undefined) this.planner.completeCall(ended.id, createOutcome(ended, ++this._serial), this._now)
    this._collectUpdates()
    for (const free of this.planner.dequeueFrees()) this.planner.completeFree(free, true, this._now)
  }

  /** A planned stop: calls in flight complete first. */
  stopPlanner (): void {
    this.planner.beginDraining()
    while (this._running.length > 0) this.step()
    this._moveJobs(new Set(this.planner.removeIdleJobs()), 1)
  }

  /** A crash: calls in flight are lost, and so is a part of the updates that the owner should have received. */
  killPlanner (receivedShare: number): void {
    this._running = []
    this._moveJobs(new Set([...this._jobs.keys()].filter(id => !this.prepared.has(id))), receivedShare)
  }

  private _moveJobs (jobIds: ReadonlySet<string>, receivedShare: number): void {
    this.planner = createPlanner()
    for (const id of jobIds) {
      const job = this._jobs.get(id)
      const carried = this._carried.get(id) ?? []
      if (job !== undefined) this.planner.addJob(job, this._now, { carried: carried.slice(0, Math.ceil(carried.length * receivedShare)) })
    }
  }

  private _collectUpdates (): void {
    for (const update of this.planner.dequeueUpdates()) {
      if (update.kind === 'made') this._carried.set(update.jobId, [...this._carried.get(update.jobId) ?? [], ...update.pieces.map(piece => ({ ...piece, ageMs: STEP_MS }))])
      if (update.kind !== 'prepared') continue
      this.prepared.set(update.jobId, update.results.map(result => result.handle))
      this.planner.releaseJob(update.jobId)
    }
  }
}

test('a job that moves between plans ends with its own results, and no result capacity stays allocated', () => {
  const job = fc.record({ first: fc.integer({ min: 0, max: 3 }), second: fc.integer({ min: 1, max: 4 }), steps: fc.integer({ min: 0, max: 3 }), move: fc.constantFrom('none', 'none', 'stop', 'lose'), receivedShare: fc.double({ min: 0, max: 1, noNaN: true }) })
  fc.assert(fc.property(fc.array(job, { minLength: 1, maxLength: 8 }), jobs => {
    const owner = new JobOwner()
    jobs.forEach(({ first, second, steps, move, receivedShare }, index) => {
      const stages = [createStage('a', first), createStage('b', second, first > 0 ? [0] : [])]
      owner.add(createJob(`j${index}`, stages, { goalInMs: 1e6, deadlineInMs: 2e6 }))
      for (let count = 0; count < steps; count++) owner.step()
      if (move === 'stop') owner.stopPlanner()
      else if (move === 'lose') owner.killPlanner(receivedShare)
    })
    for (let count = 0; count < 1000 && !owner.isIdle; count++) owner.step()
    assert.equal(owner.foreignInputs, [])
    jobs.forEach(({ second }, index) => {
      const handles = owner.prepared.get(`j${index}`) ?? []
      assert.is(handles.length, second)
      assert.ok(handles.every(handle => handle.startsWith(`j${index}/1.`)))
    })
    for (const free of owner.planner.dequeueFrees()) owner.planner.completeFree(free, true, owner.now)
    const { upstreams } = owner.planner.describe(owner.now) as { readonly upstreams: readonly { readonly freeBytes: number }[] }
    assert.ok(upstreams.every(({ freeBytes }) => freeBytes === CAPACITY_BYTES))
  }), { seed: SEED, numRuns: 300 })
})

test.run()
