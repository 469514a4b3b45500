/**
 * `pepperwood-load run`: runs a profile once, with or without a scenario.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { defineCommand } from 'citty'
import { parse } from 'smol-toml'
import { PolicySettingsSchema } from '../gate/gateSettings.ts'
import type { PolicySettings } from '../gate/gateSettings.ts'
import { exitCodes, exitWith } from '../services/program/node/program.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import { checkSettings, loadSettings } from '../services/settings/node/settingsFile.ts'
import { runExperiment } from './experiment.ts'
import { renderReport } from './htmlReport.ts'
import { LoadProfileSchema } from './loadProfile.ts'
import type { LoadProfile } from './loadProfile.ts'
import { formatReport, isCorrect } from './loadReport.ts'
import { computeImbalance, formatUsage } from './processUsage.ts'
import { ScenarioSchema, STEADY_SCENARIO } from './scenario.ts'
import type { Scenario } from './scenario.ts'

const LOOPBACK_NETWORK_COUNT = 200

export function loadProfile (file: string): LoadProfile {
  return loadSettings(file, LoadProfileSchema).ifLeft(error => exitWith(error, exitCodes.usage)).unsafeCoerce()
}

export function loadScenario (file: string | undefined): Scenario {
  if (file === undefined) return STEADY_SCENARIO
  return loadSettings(file, ScenarioSchema).ifLeft(error => exitWith(error, exitCodes.usage)).unsafeCoerce()
}

/** Parses settings such as `router = "round-robin"`, separated by semicolons, that override the profile's policy. */
export function parsePolicy (text: string | undefined, profile: LoadProfile): PolicySettings {
  if (text === undefined) return profile.policy
  return checkSettings('--policy', { ...profile.policy, ...parse(text.replaceAll(';', '\n')) }, PolicySettingsSchema)
    .ifLeft(error => exitWith(error, exitCodes.usage))
    .unsafeCoerce()
}

/** Chooses the second octet of the loopback addresses by process id, so that concurrent fleets are unlikely to share it. */
export function chooseNetwork (): number {
  return 1 + process.pid % LOOPBACK_NETWORK_COUNT
}

export const runCommand = defineCommand({
  meta: { name: 'run', description: 'Run a profile. Example: pepperwood-load run --profile bench/profiles/kingston.toml --seed 1 --out out/run' },
  args: {
    profile: { type: 'string', required: true, description: 'The profile (TOML)', valueHint: 'FILE' },
    faults: { type: 'string', description: 'The scenario: load shape and faults (TOML)', valueHint: 'FILE' },
    policy: { type: 'string', description: 'Policy settings that override the profile\'s, such as: router="round-robin"; admission="none"' },
    seed: { type: 'string', default: '1', description: 'Seed of arrivals and faults' },
    out: { type: 'string', default: 'out/run', description: 'Directory for the report, settings and logs', valueHint: 'DIR' },
    json: { type: 'boolean', default: false, description: 'Print the report as JSON' }
  },
  async run ({ args }) {
    const profile = loadProfile(args.profile)
    const scenario = loadScenario(args.faults)
    const seed = Number(args.seed)
    if (!Number.isInteger(seed)) exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected a whole number', place: '--seed', value: args.seed }), exitCodes.usage)
    mkdirSync(args.out, { recursive: true })
    const { report, outcomes, platformCallsPerSecond, usage, prefixHitShare } = await runExperiment({
      profile,
      scenario,
      policy: parsePolicy(args.policy, profile),
      seed,
      network: chooseNetwork(),
      directory: args.out,
      onDidProgress: line => process.stderr.write(`${line}\n`)
    })
    writeFileSync(join(args.out, 'report.json'), JSON.stringify(report, undefined, 2))
    writeFileSync(join(args.out, 'report.html'), renderReport(`${profile.name} under ${scenario.name}, seed ${seed}`, report, outcomes))
    process.stdout.write(`${args.json ? JSON.stringify({ ...report, platformCallsPerSecond, prefixHitShare, busiestGate: computeImbalance(usage) }) : `${formatReport(report)}\nplatform_calls_per_s=${platformCallsPerSecond.toFixed(2)} prefix_hits=${prefixHitShare.toFixed(3)} busiest_gate=${computeImbalance(usage).toFixed(2)}\n${formatUsage(usage, 'gate')}\n${formatUsage(usage, 'steward')}`}\n`)
    process.exit(isCorrect(report.counters) ? exitCodes.ok : exitCodes.refused)
  }
})
