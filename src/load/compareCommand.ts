/**
 * `pepperwood-load compare`: runs several policies over the same scenarios and seeds, and prints one table.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { defineCommand } from 'citty'
import { PolicySettingsSchema } from '../gate/gateSettings.ts'
import type { PolicySettings } from '../gate/gateSettings.ts'
import { exitCodes, exitWith } from '../services/program/node/program.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import { SeededRandom } from '../base/common/random.ts'
import { planArrivals } from './arrivals.ts'
import { computeAttainmentBound } from './attainmentBound.ts'
import { runExperiment } from './experiment.ts'
import type { ExperimentResult } from './experiment.ts'
import type { LoadProfile } from './loadProfile.ts'
import { isCorrect } from './loadReport.ts'
import { computeImbalance } from './processUsage.ts'
import { chooseNetwork, loadProfile, loadScenario, parsePolicy } from './runCommand.ts'
import { createRateShape } from './scenario.ts'
import type { Scenario } from './scenario.ts'

const BASELINE_POLICY = { admission: 'none', limits: 'fixed', queue: 'fifo', retries: 'unlimited', health: 'trusting' } as const

/** Resolves a policy's name, or parses settings. `policy` is the profile's own policy. */
function findPolicy (name: string, profile: LoadProfile): PolicySettings {
  if (name === 'policy') return profile.policy
  if (name === 'round-robin') return PolicySettingsSchema.make({ router: 'round-robin', ...BASELINE_POLICY })
  if (name === 'least-reported') return PolicySettingsSchema.make({ router: 'least-reported', ...BASELINE_POLICY })
  return parsePolicy(name, profile)
}

interface RunMetrics {
  readonly attainment: number
  /** Attainment of the two customers with the smallest shares. */
  readonly smallCustomers: number
  readonly wasted: number
  readonly retries: number
  readonly busyMsPerAnswer: number
  readonly prefixHits: number
  /** Requests of the busiest gate relative to the mean. */
  readonly gateImbalance: number
  readonly isCorrect: boolean
}

interface Row {
  readonly scenario: string
  readonly policy: string
  readonly bound: number
  readonly runs: readonly RunMetrics[]
}

function createRunMetrics (result: ExperimentResult, profile: LoadProfile): RunMetrics {
  const { report, usage, prefixHitShare } = result
  const smallCustomerNames = [...profile.customers].sort((a, b) => a.share - b.share).slice(0, 2).map(customer => customer.name)
  const rows = report.byCustomer.filter(row => smallCustomerNames.includes(row.name))
  const whole = report.byCustomer.reduce((sum, row) => sum + row.whole, 0)
  const busyMs = report.costs.reduce((sum, cost) => sum + cost.busyMs, 0)
  return {
    attainment: report.attainment,
    smallCustomers: rows.reduce((sum, row) => sum + row.whole, 0) / Math.max(1, rows.reduce((sum, row) => sum + row.requests, 0)),
    wasted: report.wastedShare,
    retries: report.retryShare,
    busyMsPerAnswer: busyMs / Math.max(1, whole),
    prefixHits: prefixHitShare,
    gateImbalance: computeImbalance(usage),
    isCorrect: isCorrect(report.counters)
  }
}

/** Formats the median, followed by the range if there are several values. */
function formatMedian (values: readonly number[], digits = 3): string {
  const sorted = [...values].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  const text = median.toFixed(digits)
  return sorted.length === 1 ? text : `${text} (${sorted[0]?.toFixed(digits)}–${sorted.at(-1)?.toFixed(digits)})`
}

function formatRow (row: Row): string {
  const cells = [
    row.scenario,
    row.policy,
    row.bound.toFixed(3),
    formatMedian(row.runs.map(item => item.attainment)),
    formatMedian(row.runs.map(item => item.smallCustomers)),
    formatMedian(row.runs.map(item => item.wasted)),
    formatMedian(row.runs.map(item => item.retries)),
    formatMedian(row.runs.map(item => item.busyMsPerAnswer), 0),
    formatMedian(row.runs.map(item => item.prefixHits)),
    formatMedian(row.runs.map(item => item.gateImbalance), 2),
    row.runs.every(item => item.isCorrect) ? '0' : 'NOT 0'
  ]
  return `| ${cells.join(' | ')} |`
}

const HEADER = '| scenario | policy | bound | attainment | two smallest customers | cost for nobody | retries | busy ms per whole answer | prefix hits | busiest gate / mean | counters |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'

async function measureRow (profile: LoadProfile, scenario: Scenario, policyName: string, seeds: readonly number[], out: string): Promise<Row> {
  const runs: RunMetrics[] = []
  const bounds: number[] = []
  for (const seed of seeds) {
    const directory = join(out, `${scenario.name}-${policyName.replaceAll(/[^a-z-]+/g, '_').slice(0, 40)}-${seed}`)
    const result = await runExperiment({ profile, scenario, policy: findPolicy(policyName, profile), seed, network: chooseNetwork(), directory })
    writeFileSync(join(directory, 'report.json'), JSON.stringify(result.report, undefined, 2))
    runs.push(createRunMetrics(result, profile))
    bounds.push(computeAttainmentBound(profile, planArrivals(profile, createRateShape(profile, scenario), scenario.seconds * 1000, 'r', new SeededRandom(seed))))
  }
  return { scenario: scenario.name, policy: policyName, bound: bounds.reduce((sum, bound) => sum + bound, 0) / bounds.length, runs }
}

export const compareCommand = defineCommand({
  meta: { name: 'compare', description: 'Compare policies. Example: pepperwood-load compare --profile bench/profiles/kingston.toml --scenarios bench/scenarios/burst.toml --policies policy,round-robin --seeds 1,2,3' },
  args: {
    profile: { type: 'string', required: true, description: 'The profile (TOML)', valueHint: 'FILE' },
    scenarios: { type: 'string', required: true, description: 'Scenario files, separated by commas', valueHint: 'FILES' },
    policies: { type: 'string', default: 'policy,round-robin,least-reported', description: 'policy, round-robin, least-reported, or settings such as limits="fixed"; separated by commas' },
    seeds: { type: 'string', default: '1', description: 'Seeds, separated by commas' },
    out: { type: 'string', default: 'out/compare', description: 'Directory for reports and logs', valueHint: 'DIR' }
  },
  async run ({ args }) {
    const profile = loadProfile(args.profile)
    const seeds = args.seeds.split(',').map(Number)
    if (!seeds.every(Number.isInteger)) exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected whole numbers', place: '--seeds', value: args.seeds }), exitCodes.usage)
    mkdirSync(args.out, { recursive: true })
    process.stdout.write(`${HEADER}\n`)
    let allCorrect = true
    for (const file of args.scenarios.split(',')) {
      const scenario = loadScenario(file)
      for (const policyName of args.policies.split(',')) {
        const row = await measureRow(profile, scenario, policyName, seeds, args.out)
        allCorrect &&= row.runs.every(item => item.isCorrect)
        process.stdout.write(`${formatRow(row)}\n`)
      }
    }
    process.exit(allCorrect ? exitCodes.ok : exitCodes.refused)
  }
})
