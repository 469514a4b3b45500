/**
 * Guards against late jobs in one hall while another has free capacity. Each hall has its own plan, and a job went to the
 * hall given by the hash of its prompt, regardless of the queue there: with 61 nodes, one hall had 64 late jobs of 103
 * and 1.6 s of queued work for the bottleneck role, while the next hall had no late job and 0.25 s of queued work.
 * Only a refused job was sent to a second hall, and a job that is merely late is not refused.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Emitter } from '../../../base/common/event.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { RelayTable } from '../../relay/common/relayTable.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { listPlans } from '../common/coordinatorChoice.ts'
import { PieceProtocol } from '../common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../common/plannedCall.ts'
import { computeCallMs } from '../common/pieceUpstream.ts'
import type { PreparationJob } from '../common/preparationJob.ts'
import { PreparationClient } from '../node/preparationClient.ts'
import { PreparationCoordinator } from '../node/preparationCoordinator.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('busyHall')

const HALLS = ['x', 'y', 'z']
const UPSTREAMS_PER_HALL = 2
const GOAL_IN_MS = 500
const STEP_MS = 5

/** Computes pieces in the time that the configuration states, and counts them by hall. */
class TimedPieces extends PieceProtocol {
  readonly countByHall = new Map<string, number>()

  constructor (private readonly _clock: VirtualClock) {
    super()
  }

  runPieces ({ hall }: UpstreamEntry, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    this.countByHall.set(hall, (this.countByHall.get(hall) ?? 0) + pieces.length)
    return new Promise(resolve => {
      this._clock.schedule(computeCallMs(WORK, pieces.length), () => resolve({ kind: 'answered', pieces: pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.index}` })) }))
    })
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }
}

interface OutcomeCounts {
  readonly inTime: number
  readonly late: number
  readonly refused: number
}

/** A hall that is evacuated while its jobs are in progress. */
interface HallEvacuation {
  readonly hall: string
  readonly atMs: number
}

/** Runs jobs that arrive all at once at a single node, which plans for all halls. */
async function runJobs (jobs: readonly PreparationJob[], evacuations: readonly HallEvacuation[] = []): Promise<{ readonly outcomes: OutcomeCounts, readonly countByHall: ReadonlyMap<string, number> }> {
  const clock = new VirtualClock()
  const log = new LogService({ program: 'test', silent: true })
  const registry = new UpstreamRegistry()
  const pieces = new TimedPieces(clock)
  const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'a', pieceWork: WORK }] }))
  const coordinator = new PreparationCoordinator({ clock, log, protocol: pieces, registry, getTable: () => table })
  for (const hall of HALLS) {
    for (let index = 0; index < UPSTREAMS_PER_HALL; index++) registry.update({ id: `a-${hall}-${index}`, role: 'a', address: '127.0.0.1:1', hall, slots: 1, isLeaving: false }, 'test')
  }
  const address = '127.0.0.1:1'
  const client = new PreparationClient({
    clock,
    log,
    protocol: pieces,
    registry,
    coordinator,
    address,
    isMembershipKnown: () => true,
    onDidReceiveMembers: new Emitter<void>().event,
    listCoordinators: () => [{ address, hall: 'x', incarnation: 1, weight: 100 }],
    listPieceUpstreams: () => registry.listAvailable('a')
  })
  for (const { hall, atMs } of evacuations) clock.schedule(atMs, () => { registry.setEvacuated(hall, true) })
  const outcomes = { inTime: 0, late: 0, refused: 0 }
  const ends = jobs.map(async job => {
    const result = await client.prepare(job, new AbortController().signal)
    if (result.isLeft()) outcomes.refused++
    else if (clock.now() <= job.goalInMs) outcomes.inTime++
    else outcomes.late++
    result.ifRight(inputs => { inputs.release() })
  })
  const all = Promise.all(ends).then(() => true)
  for (let isOver = false; !isOver;) {
    clock.advance(STEP_MS)
    isOver = await Promise.race([all, new Promise<boolean>(resolve => { setImmediate(() => resolve(false)) })])
  }
  client.dispose()
  coordinator.dispose()
  return { outcomes, countByHall: pieces.countByHall }
}

/** Returns keys of prompts whose first choice is this hall. */
function listKeys (hall: string, count: number): readonly string[] {
  const upstreams = HALLS.flatMap(name => Array.from({ length: UPSTREAMS_PER_HALL }, () => ({ role: 'a', hall: name })))
  const keys: string[] = []
  for (let index = 0; keys.length < count; index++) if (listPlans(upstreams, `key-${index}`)[0] === hall) keys.push(`key-${index}`)
  return keys
}

function createJobs (hall: string, count: number): readonly PreparationJob[] {
  return listKeys(hall, count).map(key => createJob(key, [createStage('a', 1)], { goalInMs: GOAL_IN_MS, request: { role: 'model', shared: [{ key, tokens: 100 }], inputTokens: 100 } }))
}

test('a job that would be late in its own hall is computed in another hall in time', async () => {
  // A hall computes about 24 pieces within the goal.
  const { outcomes } = await runJobs(createJobs('x', 60))
  assert.equal(outcomes, { inTime: 60, late: 0, refused: 0 })
})

test('a job that can be in time stays in its own hall, where its prefix is cached', async () => {
  const { outcomes, countByHall } = await runJobs(createJobs('x', 12))
  assert.is(outcomes.inTime, 12)
  assert.equal([...countByHall], [['x', 12]])
})

test('the jobs of an evacuated hall are computed in other halls, and no more calls start there', async () => {
  // By then, one call of four pieces has started at each of the two upstreams.
  const { outcomes, countByHall } = await runJobs(createJobs('x', 24), [{ hall: 'x', atMs: 50 }])
  assert.equal(outcomes, { inTime: 24, late: 0, refused: 0 })
  assert.is(countByHall.get('x'), 8)
})

test('when all halls are evacuated, jobs are refused at once', async () => {
  const { outcomes } = await runJobs(createJobs('x', 6), HALLS.map(hall => ({ hall, atMs: 0 })))
  assert.equal(outcomes, { inTime: 0, late: 0, refused: 6 })
})

test('jobs that would be late in every hall are still computed, distributed over all halls', async () => {
  const { outcomes, countByHall } = await runJobs(createJobs('x', 150))
  assert.is(outcomes.refused, 0)
  assert.is(outcomes.inTime + outcomes.late, 150)
  for (const hall of HALLS) assert.ok((countByHall.get(hall) ?? 0) >= 35, `${hall}: ${countByHall.get(hall)} of 150`)
})

test.run()
