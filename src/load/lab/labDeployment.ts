/**
 * Generates simulated deployments and their load from a seed: upstreams by role, kinds of request, bursts, slow upstreams
 * and failures of the planner. The ranges are wide, so that planning rules that suit only one deployment score badly.
 */
import { drawBetween, drawInteger, SeededRandom } from '../../base/common/random.ts'
import type { IRandom } from '../../base/common/random.ts'
import { computeMsPerPiece } from '../../services/preparation/common/pieceUpstream.ts'
import type { PieceWorkSpec } from '../../services/preparation/common/pieceUpstream.ts'

export interface LabUpstream {
  readonly id: string
  readonly role: string
  readonly hall: string
  readonly work: PieceWorkSpec
}

export interface LabStage {
  readonly role: string
  readonly after: readonly number[]
  readonly meanPieces: number
  /** The share of requests that include the stage. */
  readonly share: number
  readonly resultBytes: number
  /** Processing time of a piece relative to the role's usual piece. */
  readonly costFactor: number
}

export interface LabRequestKind {
  readonly name: string
  readonly rank: number
  readonly requestsPerSecond: number
  readonly goalMs: number
  readonly deadlineMs: number
  /** Credit for an answer within the goal. */
  readonly credit: number
  /** Credit for an answer after the goal but within the deadline. */
  readonly lateCredit: number
  readonly stages: readonly LabStage[]
  /** Mean time from the last preparation result to the first event of the answer. */
  readonly firstEventMs: number
}

export interface LabInterval {
  readonly startAt: number
  readonly durationMs: number
}

export interface LabBurst extends LabInterval {
  readonly factor: number
  /** The kind of request that the burst affects; undefined for all kinds. */
  readonly kind?: string
}

export interface LabSlowdown extends LabInterval {
  readonly upstreamId: string
  readonly factor: number
}

/** The loss of a planner with all its state. The owners of its jobs detect the loss after a delay. */
export interface LabPlannerLoss {
  readonly at: number
  readonly detectedAfterMs: number
}

/** Periodic variation of all arrival rates: the factor swings around 1. */
export interface LabWave {
  readonly swing: number
  readonly periodMs: number
  readonly phase: number
}

export interface LabDeployment {
  readonly seed: number
  readonly durationMs: number
  readonly wave?: LabWave
  /** Whether an answer within the goal of the second attempt earns more than a late one, if the first was refused promptly. */
  readonly hasReturnCredit?: boolean
  readonly upstreams: readonly LabUpstream[]
  readonly kinds: readonly LabRequestKind[]
  readonly bursts: readonly LabBurst[]
  readonly slowdowns: readonly LabSlowdown[]
  readonly plannerLosses: readonly LabPlannerLoss[]
}

const ARRIVALS_MS = 34_000
const LARGE_BYTES = 1_500_000
const MIDDLE_BYTES = 60_000
const SMALL_BYTES = 8000
const MS_PER_S = 1000

function createWork (random: IRandom, resultBytes: number): PieceWorkSpec {
  const callMs = Math.round(drawBetween(random, 150, 220))
  const maxPiecesPerCall = resultBytes === LARGE_BYTES ? drawInteger(random, 6, 12) : drawInteger(random, 18, 60)
  return {
    concurrentCalls: 1,
    maxPiecesPerCall,
    callMs,
    pieceMs: callMs * drawBetween(random, 0.7, 0.95) / maxPiecesPerCall,
    resultRoomBytes: Math.round(resultBytes * maxPiecesPerCall * drawBetween(random, 1.45, 2.3)),
    resultLifetimeMs: 4000
  }
}

function createUpstreams (random: IRandom, role: string, halls: number, resultBytes: number): readonly LabUpstream[] {
  const work = createWork(random, resultBytes)
  const count = drawInteger(random, 3, 9)
  return Array.from({ length: count }, (_, index) => ({ id: `${role}-${index}`, role, hall: `h${index % halls}`, work }))
}

/** Scales the request rates so that the busiest role, with full calls and outside bursts, reaches a random utilization. */
function createKinds (random: IRandom, upstreams: readonly LabUpstream[]): readonly LabRequestKind[] {
  const createChain = (previousStage: number): readonly LabStage[] => [
    { role: 'large', after: [], meanPieces: 1, share: 1, resultBytes: SMALL_BYTES, costFactor: 0.3 },
    { role: 'middle', after: [previousStage], meanPieces: 6, share: 1, resultBytes: MIDDLE_BYTES, costFactor: 1 },
    { role: 'small', after: [previousStage + 1], meanPieces: 10, share: 1, resultBytes: SMALL_BYTES, costFactor: 1 }
  ]
  const drawLargeStage = (meanPieces: number, share: number): LabStage => ({ role: 'large', after: [], meanPieces, share, resultBytes: LARGE_BYTES, costFactor: 1 })
  const drawWeight = () => drawBetween(random, 0.6, 1.4)
  const kinds: readonly LabRequestKind[] = [
    { name: 'urgent', rank: 0, requestsPerSecond: drawWeight(), goalMs: drawBetween(random, 900, 1300), deadlineMs: 6000, credit: 4.5, lateCredit: 0.7, stages: [drawLargeStage(2.5, 0.7)], firstEventMs: 160 },
    { name: 'normal', rank: 1, requestsPerSecond: drawWeight(), goalMs: drawBetween(random, 1600, 2500), deadlineMs: 7000, credit: 1.1, lateCredit: 0.17, stages: createChain(0), firstEventMs: 70 },
    { name: 'least', rank: 2, requestsPerSecond: drawWeight(), goalMs: drawBetween(random, 1400, 2500), deadlineMs: 16_000, credit: 0.42, lateCredit: 0.06, stages: [drawLargeStage(1.5, 0.4), ...createChain(1)], firstEventMs: 40 }
  ]
  const utilization = drawBetween(random, 0.55, 0.7)
  const scale = utilization / Math.max(...['large', 'middle', 'small'].map(role => computeUtilization(role, kinds, upstreams)))
  return kinds.map(kind => ({ ...kind, requestsPerSecond: kind.requestsPerSecond * scale }))
}

function computeUtilization (role: string, kinds: readonly LabRequestKind[], upstreams: readonly LabUpstream[]): number {
  const roleUpstreams = upstreams.filter(upstream => upstream.role === role)
  const work = roleUpstreams[0]?.work
  if (work === undefined) return 0
  const pieces = kinds.reduce((sum, kind) => sum + kind.requestsPerSecond * kind.stages.filter(stage => stage.role === role).reduce((count, stage) => count + stage.meanPieces * stage.share, 0), 0)
  return pieces * computeMsPerPiece(work) / MS_PER_S / roleUpstreams.length
}

/** The same seed always gives the same deployment. */
export function generateDeployment (seed: number): LabDeployment {
  const random = new SeededRandom(seed)
  const halls = drawInteger(random, 1, 4)
  const upstreams = [
    ...createUpstreams(random, 'large', halls, LARGE_BYTES),
    ...createUpstreams(random, 'middle', halls, MIDDLE_BYTES),
    ...createUpstreams(random, 'small', halls, SMALL_BYTES)
  ]
  const createBurst = (at: number, kind: string | undefined): LabBurst => ({ startAt: at, durationMs: drawBetween(random, 4000, 7000), factor: drawBetween(random, kind === undefined ? 1.5 : 2, kind === undefined ? 1.8 : 2.6), kind })
  const slowUpstream = upstreams[drawInteger(random, 0, upstreams.length - 1)]
  return {
    seed,
    durationMs: ARRIVALS_MS,
    upstreams,
    kinds: createKinds(random, upstreams),
    bursts: [createBurst(4000, 'normal'), createBurst(15_000, 'urgent'), createBurst(26_000, undefined)],
    slowdowns: [{ upstreamId: slowUpstream?.id ?? '', startAt: drawBetween(random, 2000, 24_000), durationMs: 5000, factor: 3 }],
    plannerLosses: [{ at: drawBetween(random, 3000, 12_000), detectedAfterMs: 30 }, { at: drawBetween(random, 14_000, 22_000), detectedAfterMs: 600 }]
  }
}

/** A deployment whose last stage is short of capacity at the crest of a wave and in bursts. */
export function generateContendedDeployment (seed: number): LabDeployment {
  const random = new SeededRandom(seed)
  const createRole = (role: string, count: number, work: PieceWorkSpec) => Array.from({ length: count }, (_, index) => ({ id: `${role}-${index}`, role, hall: 'h0', work }))
  const common = { concurrentCalls: 1, callMs: 150, resultLifetimeMs: 4000 }
  const upstreams = [
    ...createRole('large', 3, { ...common, maxPiecesPerCall: 14, pieceMs: 9.2, resultRoomBytes: 81e6 }),
    ...createRole('middle', drawInteger(random, 2, 3), { ...common, maxPiecesPerCall: 67, pieceMs: 1.91, resultRoomBytes: 11.5e6 }),
    ...createRole('small', drawInteger(random, 2, 3), { ...common, maxPiecesPerCall: 98, pieceMs: 1.75, resultRoomBytes: 1.74e6 })
  ]
  const createChain = (previousStage: number): readonly LabStage[] => [
    { role: 'large', after: [], meanPieces: 1, share: 1, resultBytes: 8000, costFactor: 0.3 },
    { role: 'middle', after: [previousStage], meanPieces: 8, share: 1, resultBytes: 60_000, costFactor: 1 },
    { role: 'small', after: [previousStage + 1], meanPieces: 16, share: 1, resultBytes: 6000, costFactor: 1 }
  ]
  const drawLargeStage = (meanPieces: number, share: number): LabStage => ({ role: 'large', after: [], meanPieces, share, resultBytes: 3e6, costFactor: 1 })
  const kinds: readonly LabRequestKind[] = [
    { name: 'normal', rank: 0, requestsPerSecond: 30, goalMs: 1500, deadlineMs: 6000, credit: 1.9, lateCredit: 0.28, stages: createChain(0), firstEventMs: 80 },
    { name: 'urgent', rank: 1, requestsPerSecond: 27, goalMs: 930, deadlineMs: 6000, credit: 3.1, lateCredit: 0.46, stages: [drawLargeStage(2.5, 0.7)], firstEventMs: 200 },
    { name: 'least', rank: 2, requestsPerSecond: 6.6, goalMs: 1400, deadlineMs: 15_000, credit: 1.6, lateCredit: 0.24, stages: [drawLargeStage(1.5, 0.4), ...createChain(1)], firstEventMs: 45 }
  ]
  const smallCount = upstreams.filter(({ role }) => role === 'small').length
  const createBurst = (at: number, kind: string | undefined): LabBurst => ({ startAt: at, durationMs: drawBetween(random, 4000, 6500), factor: drawBetween(random, kind === undefined ? 1.8 : 2.4, kind === undefined ? 2.2 : 3), kind })
  const urgentFirst = random.next() < 0.5
  return {
    seed,
    durationMs: ARRIVALS_MS,
    hasReturnCredit: true,
    wave: { swing: 0.55, periodMs: 13_000, phase: random.next() },
    upstreams,
    kinds: kinds.map(kind => ({ ...kind, requestsPerSecond: kind.requestsPerSecond * smallCount / 2.75 })),
    bursts: [createBurst(3500, urgentFirst ? 'urgent' : 'normal'), createBurst(15_000, urgentFirst ? 'normal' : 'urgent'), createBurst(26_000, undefined)],
    slowdowns: [],
    plannerLosses: []
  }
}
