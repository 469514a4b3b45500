/**
 * Scores a simulated run: the credit for answers, less the costs of wasted work, data transfer, refusals and waiting.
 */
import type { LabRequestKind } from './labDeployment.ts'

export interface LabOutcome {
  readonly kind: LabRequestKind
  readonly sentAt: number
  /** Undefined if the request was not answered. */
  readonly answeredAt: number | undefined
  readonly refusals: number
  /** Time of the attempt that was answered, if the first one was refused promptly. */
  readonly returnedAt?: number | undefined
  /** Time that the request waited in attempts that ended without an answer. */
  readonly unansweredMs: number
}

export interface LabCosts {
  readonly wastedMs: number
  readonly movedBytes: number
  readonly calls: number
  readonly pieces: number
  readonly noRoom: number
}

/** Numbers of requests by outcome. */
export interface LabAnswers {
  readonly inTime: number
  /** Not in time from the first attempt, but from the second one after a prompt refusal. */
  readonly returned: number
  readonly late: number
  readonly refused: number
}

export interface LabScore {
  /** The weighted credit shares less all cost shares. */
  readonly value: number
  readonly whole: number
  readonly worstSpans: number
  readonly worstKind: number
  readonly byKind: Readonly<Record<string, number>>
  readonly answersByKind: Readonly<Record<string, LabAnswers>>
  readonly refusedShare: number
  readonly wastedShare: number
  readonly movedShare: number
  readonly heldShare: number
  readonly piecesPerCall: number
  readonly noRoom: number
}

/** Length of the windows over which the worst spans are determined. */
const WINDOW_MS = 2000
/** Weights of the whole run, of the two worst windows and of the worst kind of request. */
const WEIGHTS = { whole: 0.6, spans: 0.25, kind: 0.15 }
/** Credit deducted for each second of wasted work. */
const WASTED_CREDIT_PER_S = 2.6
/** Credit deducted for each gigabyte moved between halls. */
const MOVED_CREDIT_PER_GB = 84
/** The share of a request's credit that is deducted for a second refusal. */
const SECOND_REFUSAL_SHARE = 0.3
/** An unanswered wait costs nothing up to this share of the goal. */
const WAIT_FREE_GOAL_SHARE = 1 / 8
/** An unanswered wait costs the request's full credit from this share of the deadline on. */
const WAIT_FULL_DEADLINE_SHARE = 0.75
const BYTES_PER_GB = 1e9
const MS_PER_S = 1000

function decideAnswer ({ kind, sentAt, answeredAt, returnedAt }: LabOutcome): keyof LabAnswers {
  if (answeredAt === undefined || answeredAt - sentAt > kind.deadlineMs) return 'refused'
  if (answeredAt - sentAt <= kind.goalMs) return 'inTime'
  return returnedAt !== undefined && answeredAt - returnedAt <= kind.goalMs ? 'returned' : 'late'
}

function computeCredit (outcome: LabOutcome): number {
  const { credit, lateCredit } = outcome.kind
  return { inTime: credit, returned: (credit + lateCredit) / 2, late: lateCredit, refused: 0 }[decideAnswer(outcome)]
}

function countAnswers (outcomes: readonly LabOutcome[]): LabAnswers {
  const counts = { inTime: 0, returned: 0, late: 0, refused: 0 }
  for (const outcome of outcomes) counts[decideAnswer(outcome)]++
  return counts
}

function computeCreditShare (outcomes: readonly LabOutcome[]): number {
  const maxCredit = outcomes.reduce((sum, outcome) => sum + outcome.kind.credit, 0)
  return maxCredit === 0 ? 1 : outcomes.reduce((sum, outcome) => sum + computeCredit(outcome), 0) / maxCredit
}

function computeWaitPenalty (outcome: LabOutcome): number {
  if (outcome.answeredAt !== undefined) return 0
  const freeMs = outcome.kind.goalMs * WAIT_FREE_GOAL_SHARE
  const fullMs = outcome.kind.deadlineMs * WAIT_FULL_DEADLINE_SHARE
  return outcome.kind.credit * Math.min(1, Math.max(0, (outcome.unansweredMs - freeMs) / (fullMs - freeMs)))
}

export function scoreRun (outcomes: readonly LabOutcome[], costs: LabCosts): LabScore {
  const maxCredit = outcomes.reduce((sum, outcome) => sum + outcome.kind.credit, 0)
  const outcomesByWindow = new Map<number, LabOutcome[]>()
  const outcomesByKind = new Map<string, LabOutcome[]>()
  for (const outcome of outcomes) {
    const window = Math.floor(outcome.sentAt / WINDOW_MS)
    outcomesByWindow.set(window, [...outcomesByWindow.get(window) ?? [], outcome])
    outcomesByKind.set(outcome.kind.name, [...outcomesByKind.get(outcome.kind.name) ?? [], outcome])
  }
  const [worstShare = 1, secondWorstShare = 1] = [...outcomesByWindow.values()].map(computeCreditShare).sort((a, b) => a - b)
  const byKind = Object.fromEntries([...outcomesByKind].map(([name, ofKind]) => [name, computeCreditShare(ofKind)]))
  const answersByKind = Object.fromEntries([...outcomesByKind].map(([name, ofKind]) => [name, countAnswers(ofKind)]))
  const whole = computeCreditShare(outcomes)
  const worstKind = Math.min(...Object.values(byKind))
  const wastedShare = costs.wastedMs / MS_PER_S * WASTED_CREDIT_PER_S / maxCredit
  const movedShare = costs.movedBytes / BYTES_PER_GB * MOVED_CREDIT_PER_GB / maxCredit
  const refusedShare = outcomes.reduce((sum, outcome) => sum + (outcome.answeredAt === undefined && outcome.refusals > 1 ? outcome.kind.credit : 0), 0) * SECOND_REFUSAL_SHARE / maxCredit
  const heldShare = outcomes.reduce((sum, outcome) => sum + computeWaitPenalty(outcome), 0) / maxCredit
  const worstSpans = (worstShare + secondWorstShare) / 2
  const value = WEIGHTS.whole * whole + WEIGHTS.spans * worstSpans + WEIGHTS.kind * worstKind - wastedShare - movedShare - refusedShare - heldShare
  return { value, whole, worstSpans, worstKind, byKind, answersByKind, refusedShare, wastedShare, movedShare, heldShare, piecesPerCall: costs.pieces / Math.max(1, costs.calls), noRoom: costs.noRoom }
}
