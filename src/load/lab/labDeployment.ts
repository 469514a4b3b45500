/**
 * Deployments and loads drawn from a seed: roles, upstreams, kinds of request, bursts, slow upstreams and lost planners.
 * The ranges are wide, so that a decision that only fits one deployment shows.
 */
import { drawBetween, drawInteger, SeededRandom } from '../../base/common/random.ts'
import type { IRandom } from '../../base/common/random.ts'
import { computePieceCost } from '../../services/preparation/common/pieceUpstream.ts'
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
  /** The share of requests that have the stage at all. */
  readonly share: number
  readonly resultBytes: number
  /** What a piece takes against the role's usual piece. */
  readonly costFactor: number
}

export interface LabKind {
  readonly name: string
  readonly rank: number
  readonly perSecond: number
  readonly goalMs: number
  readonly deadlineMs: number
  readonly worth: number
  readonly lateWorth: number
  readonly stages: readonly LabStage[]
  /** From the last result to the first event. */
  readonly requestMs: number
}

export interface LabSpan {
  readonly at: number
  readonly forMs: number
}

export interface LabBurst extends LabSpan {
  readonly factor: number
  /** Every kind when it is missing. */
  readonly kind?: string
}

export interface LabSlowness extends LabSpan {
  readonly upstreamId: string
  readonly factor: number
}

/** A planner that is lost; the owners of jobs notice later. */
export interface LabLoss {
  readonly at: number
  readonly noticedAfterMs: number
}

export interface LabDeployment {
  readonly seed: number
  readonly lengthMs: number
  readonly upstreams: readonly LabUpstream[]
  readonly kinds: readonly LabKind[]
  readonly bursts: readonly LabBurst[]
  readonly slowness: readonly LabSlowness[]
  readonly losses: readonly LabLoss[]
}

const LENGTH_MS = 34_000
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

/** Kinds with rates that fill the fullest role, in full calls, to a drawn part on a calm day. */
function createKinds (random: IRandom, upstreams: readonly LabUpstream[]): readonly LabKind[] {
  const createChain = (from: number): readonly LabStage[] => [
    { role: 'large', after: [], meanPieces: 1, share: 1, resultBytes: SMALL_BYTES, costFactor: 0.3 },
    { role: 'middle', after: [from], meanPieces: 6, share: 1, resultBytes: MIDDLE_BYTES, costFactor: 1 },
    { role: 'small', after: [from + 1], meanPieces: 10, share: 1, resultBytes: SMALL_BYTES, costFactor: 1 }
  ]
  const drawLarge = (meanPieces: number, share: number): LabStage => ({ role: 'large', after: [], meanPieces, share, resultBytes: LARGE_BYTES, costFactor: 1 })
  const drawWeight = () => drawBetween(random, 0.6, 1.4)
  const kinds: readonly LabKind[] = [
    { name: 'urgent', rank: 0, perSecond: drawWeight(), goalMs: drawBetween(random, 900, 1300), deadlineMs: 6000, worth: 4.5, lateWorth: 0.7, stages: [drawLarge(2.5, 0.7)], requestMs: 160 },
    { name: 'normal', rank: 1, perSecond: drawWeight(), goalMs: drawBetween(random, 1600, 2500), deadlineMs: 7000, worth: 1.1, lateWorth: 0.17, stages: createChain(0), requestMs: 70 },
    { name: 'least', rank: 2, perSecond: drawWeight(), goalMs: drawBetween(random, 1400, 2500), deadlineMs: 16_000, worth: 0.42, lateWorth: 0.06, stages: [drawLarge(1.5, 0.4), ...createChain(1)], requestMs: 40 }
  ]
  const use = drawBetween(random, 0.55, 0.7)
  const scale = use / Math.max(...['large', 'middle', 'small'].map(role => computeUse(role, kinds, upstreams)))
  return kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * scale }))
}

function computeUse (role: string, kinds: readonly LabKind[], upstreams: readonly LabUpstream[]): number {
  const own = upstreams.filter(upstream => upstream.role === role)
  const work = own[0]?.work
  if (work === undefined) return 0
  const pieces = kinds.reduce((sum, kind) => sum + kind.perSecond * kind.stages.filter(stage => stage.role === role).reduce((count, stage) => count + stage.meanPieces * stage.share, 0), 0)
  return pieces * computePieceCost(work) / MS_PER_S / own.length
}

/** Everything follows from the seed. */
export function drawDeployment (seed: number): LabDeployment {
  const random = new SeededRandom(seed)
  const halls = drawInteger(random, 1, 4)
  const upstreams = [
    ...createUpstreams(random, 'large', halls, LARGE_BYTES),
    ...createUpstreams(random, 'middle', halls, MIDDLE_BYTES),
    ...createUpstreams(random, 'small', halls, SMALL_BYTES)
  ]
  const createBurst = (at: number, kind: string | undefined): LabBurst => ({ at, forMs: drawBetween(random, 4000, 7000), factor: drawBetween(random, kind === undefined ? 1.5 : 2, kind === undefined ? 1.8 : 2.6), kind })
  const slow = upstreams[drawInteger(random, 0, upstreams.length - 1)]
  return {
    seed,
    lengthMs: LENGTH_MS,
    upstreams,
    kinds: createKinds(random, upstreams),
    bursts: [createBurst(4000, 'normal'), createBurst(15_000, 'urgent'), createBurst(26_000, undefined)],
    slowness: [{ upstreamId: slow?.id ?? '', at: drawBetween(random, 2000, 24_000), forMs: 5000, factor: 3 }],
    losses: [{ at: drawBetween(random, 3000, 12_000), noticedAfterMs: 30 }, { at: drawBetween(random, 14_000, 22_000), noticedAfterMs: 600 }]
  }
}
