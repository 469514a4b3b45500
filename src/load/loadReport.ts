/**
 * Summarizes a run: attainment by customer and pipeline, cost by stage, and correctness counters that must be 0.
 */
import { build } from 'hdr-histogram-js'
import type { Configuration } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { computeExpectedAnswer, readMarker } from '../standin/modelAnswers.ts'
import type { RunRecord } from '../standin/runLedger.ts'
import type { Outcome } from './loadRunner.ts'

/** Counters of violated guarantees. All must be 0. */
export interface CorrectnessCounters {
  /** Requests that were neither answered nor refused. */
  readonly lost: number
  /** Unrepeatable stages that ran more than once. */
  readonly doubled: number
  /** Answers that do not belong to the request. */
  readonly misdelivered: number
  /** Requests that were refused as not run although a stage had run. */
  readonly ranAfterNotRun: number
  /** Calls sent to upstreams more than two seconds after they announced that they were leaving. */
  readonly sentToLeaving: number
}

export interface AttainmentRow {
  readonly name: string
  readonly requests: number
  readonly whole: number
  readonly attainment: number
  readonly p50Ms: number
  readonly p95Ms: number
}

export interface CostRow {
  readonly role: string
  readonly attempts: number
  readonly busyMs: number
  /** Busy time that did not contribute to an answer within its deadline. */
  readonly wastedMs: number
}

export interface LoadReport {
  readonly requests: number
  readonly attainment: number
  readonly byCustomer: readonly AttainmentRow[]
  readonly byPipeline: readonly AttainmentRow[]
  readonly byResult: Readonly<Record<string, number>>
  /** Refusals by place and message, with numbers replaced by N. */
  readonly byReason: Readonly<Record<string, number>>
  readonly costs: readonly CostRow[]
  readonly wastedShare: number
  readonly retryShare: number
  readonly firstChunkP95Ms: number
  readonly counters: CorrectnessCounters
}

export interface LoadReportInputs {
  readonly configuration: Configuration
  readonly outcomes: readonly Outcome[]
  readonly runs: readonly RunRecord[]
  /** Busy time by role in milliseconds, as counted by the stand-ins. */
  readonly busyByRole: ReadonlyMap<string, number>
  readonly callsAfterLeaving: number
}

const MAX_TRACKED_MS = 120_000

function summarizeOutcomes (name: string, outcomes: readonly Outcome[]): AttainmentRow {
  const whole = outcomes.filter(outcome => outcome.kind === 'whole')
  const times = build({ highestTrackableValue: MAX_TRACKED_MS })
  for (const outcome of whole) times.recordValue(Math.round(outcome.elapsedMs))
  return {
    name,
    requests: outcomes.length,
    whole: whole.length,
    attainment: outcomes.length === 0 ? 1 : whole.length / outcomes.length,
    p50Ms: times.getValueAtPercentile(50),
    p95Ms: times.getValueAtPercentile(95)
  }
}

function groupBy (outcomes: readonly Outcome[], getKey: (outcome: Outcome) => string): readonly AttainmentRow[] {
  const groups = new Map<string, Outcome[]>()
  for (const outcome of outcomes) groups.set(getKey(outcome), [...groups.get(getKey(outcome)) ?? [], outcome])
  return [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([name, items]) => summarizeOutcomes(name, items))
}

function countCorrectness (inputs: LoadReportInputs): CorrectnessCounters {
  const runsByMarker = new Map<string, RunRecord[]>()
  for (const run of inputs.runs) {
    const key = run.marker
    const existing = runsByMarker.get(key)
    if (existing === undefined) runsByMarker.set(key, [run])
    else existing.push(run)
  }
  const counters = { lost: 0, doubled: 0, misdelivered: 0, ranAfterNotRun: 0, sentToLeaving: inputs.callsAfterLeaving }
  for (const outcome of inputs.outcomes) {
    const { arrival } = outcome
    const pipeline = inputs.configuration.pipelines.find(item => item.name === arrival.pipeline)
    const runs = runsByMarker.get(readMarker(arrival.input)) ?? []
    if (outcome.kind === 'lost') counters.lost++
    if (outcome.kind === 'refused' && outcome.error?.execution === 'notRun' && runs.length > 0) counters.ranAfterNotRun++
    const isAnswered = outcome.kind === 'whole' || outcome.kind === 'late'
    if (isAnswered && pipeline !== undefined && outcome.text !== computeExpectedAnswer(inputs.configuration, pipeline, arrival.input)) counters.misdelivered++
    for (const stage of pipeline?.stages ?? []) {
      const count = runs.filter(run => run.role === stage.role).length
      if ((arrival.unrepeatable || stage.unrepeatable) && count > 1) counters.doubled++
    }
  }
  return counters
}

function sumUsefulBusyMs (outcomes: readonly Outcome[]): ReadonlyMap<string, number> {
  const useful = new Map<string, number>()
  for (const outcome of outcomes) {
    if (outcome.kind !== 'whole') continue
    for (const cost of outcome.costs) useful.set(cost.stage, (useful.get(cost.stage) ?? 0) + cost.busyMs)
  }
  return useful
}

export function createLoadReport (inputs: LoadReportInputs): LoadReport {
  const { outcomes, runs, busyByRole } = inputs
  const usefulBusyMs = sumUsefulBusyMs(outcomes)
  const costs = [...busyByRole].map(([role, busyMs]) => ({
    role,
    attempts: runs.filter(run => run.role === role).length,
    busyMs,
    wastedMs: Math.max(0, busyMs - (usefulBusyMs.get(role) ?? 0))
  }))
  const byResult: Record<string, number> = {}
  const byReason: Record<string, number> = {}
  for (const outcome of outcomes) {
    const result = outcome.error === undefined ? outcome.kind : `${outcome.error.resultName}/${outcome.error.execution}`
    byResult[result] = (byResult[result] ?? 0) + 1
    if (outcome.error === undefined) continue
    const reason = `${outcome.error.resultName} ${outcome.error.place}: ${outcome.error.message.replaceAll(/[0-9]+/g, 'N')}`
    byReason[reason] = (byReason[reason] ?? 0) + 1
  }
  const firstChunks = build({ highestTrackableValue: MAX_TRACKED_MS })
  for (const outcome of outcomes) if (outcome.kind === 'whole') firstChunks.recordValue(Math.max(0, Math.round(outcome.firstChunkMs)))
  const firstAttemptCount = new Set(runs.map(run => `${run.marker}/${run.role}`)).size
  const totalBusyMs = costs.reduce((sum, cost) => sum + cost.busyMs, 0)
  return {
    requests: outcomes.length,
    attainment: summarizeOutcomes('all', outcomes).attainment,
    byCustomer: groupBy(outcomes, outcome => outcome.arrival.customer),
    byPipeline: groupBy(outcomes, outcome => outcome.arrival.pipeline),
    byResult,
    byReason,
    costs,
    wastedShare: totalBusyMs === 0 ? 0 : costs.reduce((sum, cost) => sum + cost.wastedMs, 0) / totalBusyMs,
    retryShare: firstAttemptCount === 0 ? 0 : (runs.length - firstAttemptCount) / firstAttemptCount,
    firstChunkP95Ms: firstChunks.getValueAtPercentile(95),
    counters: countCorrectness(inputs)
  }
}

export function isCorrect (counters: CorrectnessCounters): boolean {
  return Object.values(counters).every(count => count === 0)
}

function formatRow (cells: readonly (string | number)[], widths: readonly number[]): string {
  return cells.map((cell, index) => index === 0 ? String(cell).padEnd(widths[index] ?? 0) : String(cell).padStart(widths[index] ?? 0)).join('  ')
}

function formatAttainment (title: string, rows: readonly AttainmentRow[]): readonly string[] {
  const widths = [24, 9, 9, 11, 8, 8]
  return [
    formatRow([title, 'requests', 'whole', 'attainment', 'p50 ms', 'p95 ms'], widths),
    ...rows.map(row => formatRow([row.name, row.requests, row.whole, row.attainment.toFixed(4), row.p50Ms, row.p95Ms], widths))
  ]
}

/** Formats the report as plain text tables. */
export function formatReport (report: LoadReport): string {
  const costWidths = [24, 9, 12, 12]
  const { counters } = report
  return [
    ...formatAttainment('customer', report.byCustomer),
    '',
    ...formatAttainment('pipeline', report.byPipeline),
    '',
    formatRow(['stage (role)', 'runs', 'busy ms', 'for nobody'], costWidths),
    ...report.costs.map(cost => formatRow([cost.role, cost.attempts, Math.round(cost.busyMs), Math.round(cost.wastedMs)], costWidths)),
    '',
    `results: ${Object.entries(report.byResult).map(([result, count]) => `${result}=${count}`).join(' ')}`,
    `attainment=${report.attainment.toFixed(4)} wasted=${report.wastedShare.toFixed(4)} retries=${report.retryShare.toFixed(4)} first_chunk_p95_ms=${report.firstChunkP95Ms}`,
    `lost=${counters.lost} doubled=${counters.doubled} misdelivered=${counters.misdelivered} ran_after_not_run=${counters.ranAfterNotRun} sent_to_leaving=${counters.sentToLeaving}`
  ].join('\n')
}
