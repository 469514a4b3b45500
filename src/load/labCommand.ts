/**
 * `pepperwood-load lab`: runs the planner of pieces in virtual time on randomly generated deployments.
 */
import { defineCommand } from 'citty'
import { generateContendedDeployment, generateDeployment } from './lab/labDeployment.ts'
import { LabRun } from './lab/labRun.ts'
import type { LabScore } from './lab/labScore.ts'

const COLUMNS = ['value', 'whole', 'worstSpans', 'worstKind', 'wastedShare', 'movedShare', 'refusedShare', 'heldShare', 'piecesPerCall', 'noRoom'] as const

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

/** Half the width of the 95% confidence interval of the mean. */
function computeMargin (values: readonly number[]): number {
  const mean = computeMean(values)
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / Math.max(1, values.length - 1)
  return 1.96 * Math.sqrt(variance / Math.max(1, values.length))
}

function formatTable (scores: readonly LabScore[]): string {
  const lines = COLUMNS.map(column => {
    const values = scores.map(score => score[column])
    return `${column.padEnd(14)} ${computeMean(values).toFixed(3)} ±${computeMargin(values).toFixed(3)}`
  })
  const kinds = Object.keys(scores[0]?.byKind ?? {})
  return [...lines, ...kinds.map(kind => `${kind.padEnd(14)} ${computeMean(scores.map(score => score.byKind[kind] ?? 0)).toFixed(3)}`)].join('\n')
}

export const labCommand = defineCommand({
  meta: { name: 'lab', description: 'Run the planner of pieces on generated deployments in virtual time; the same seeds give the same runs' },
  args: {
    first: { type: 'string', default: '1', description: 'the first seed' },
    count: { type: 'string', default: '40', description: 'number of deployments to generate' },
    contended: { type: 'boolean', default: false, description: 'deployments whose last stage is short of capacity for seconds; refused callers get a time of return' },
    contention: { type: 'enum', options: ['on', 'off'], default: 'on', description: 'with --contended, whether the planner reserves capacity for refused callers' },
    json: { type: 'boolean', default: false, description: 'one line of JSON for each deployment instead of the table' }
  },
  run ({ args }) {
    const seeds = Array.from({ length: Number(args.count) }, (_, index) => Number(args.first) + index)
    const hasContention = args.contended && args.contention === 'on'
    const generate = args.contended ? generateContendedDeployment : generateDeployment
    const scores = seeds.map(seed => new LabRun(generate(seed), { hasContention }).run())
    process.stdout.write(args.json ? scores.map((score, index) => `${JSON.stringify({ seed: seeds[index], ...score })}\n`).join('') : `${formatTable(scores)}\n`)
  }
})
