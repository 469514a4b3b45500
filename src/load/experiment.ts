/**
 * Runs one experiment: starts a fleet, sends the load, injects the scenario's faults, and creates the report.
 */
import { join } from 'node:path'
import { SeededRandom } from '../base/common/random.ts'
import { waitFor } from '../base/node/interval.ts'
import type { PolicySettings } from '../gate/gateSettings.ts'
import { planArrivals } from './arrivals.ts'
import { planFleet } from './fleetPlan.ts'
import type { LoadProfile } from './loadProfile.ts'
import { createLoadReport } from './loadReport.ts'
import type { LoadReport } from './loadReport.ts'
import { runLoad } from './loadRunner.ts'
import type { Outcome } from './loadRunner.ts'
import { ProcessFleet } from './processFleet.ts'
import { computeUsage, readUsage } from './processUsage.ts'
import type { ProcessUsage } from './processUsage.ts'
import { createRateShape } from './scenario.ts'
import type { Scenario } from './scenario.ts'

export interface ExperimentOptions {
  readonly profile: LoadProfile
  readonly scenario: Scenario
  readonly policy?: PolicySettings
  readonly seed: number
  /** The second octet of the fleet's addresses. */
  readonly network: number
  readonly directory: string
  readonly onDidProgress?: (line: string) => void
}

export interface ExperimentResult {
  readonly report: LoadReport
  readonly outcomes: readonly Outcome[]
  /** Calls to the platform per second of the run. */
  readonly platformCallsPerSecond: number
  readonly usage: readonly ProcessUsage[]
  /** The share of generations whose prefix was in the prefix cache. */
  readonly prefixHitShare: number
}

const STANDIN_COUNT = 3
const CALLERS_PER_CUSTOMER = 6
const PROGRESS_PERIOD_MS = 1000
/** Relays are not used for shorter round trips, unless the scenario asks for them. */
const MIN_RELAYED_RTT_MS = 2

export async function runExperiment (options: ExperimentOptions): Promise<ExperimentResult> {
  const { profile, scenario, seed, network } = options
  const usesRelays = scenario.relays || profile.client_rtt_ms >= MIN_RELAYED_RTT_MS
  const plan = planFleet({ profile, network, seed, usesRelays, standinCount: STANDIN_COUNT, policy: options.policy })
  const fleet = new ProcessFleet(plan, profile, join(options.directory, 'fleet'), usesRelays)
  try {
    await fleet.start()
    const entries = plan.hosts.map(host => host.gate.address)
    const sendLoad = (seconds: number, runId: string, shape = createRateShape(profile, scenario), onDidEnd?: (outcome: Outcome) => void) => runLoad({
      arrivals: planArrivals(profile, shape, seconds * 1000, runId, new SeededRandom(seed)),
      customers: profile.customers.map(customer => customer.name),
      entries,
      network,
      callersPerCustomer: CALLERS_PER_CUSTOMER,
      onDidEnd
    })
    // Lets the fleet collect call latencies before the measurement starts.
    const warmupShape = { ...createRateShape(profile, scenario), burstFactor: 1, floodFactor: 1 }
    await sendLoad(scenario.warmup_ms / 1000, 'w', { ...warmupShape, rate: Math.min(warmupShape.rate, profile.nominal_rate * 0.5) })
    const busyBefore = await fleet.control.readBusyByRole()
    const callsBefore = await fleet.control.readPlatformCalls()
    const measuredProcesses = plan.hosts.flatMap((host, index) => [
      { name: `gate-${index}`, metricsAddress: host.gate.metrics_address ?? '' },
      { name: `steward-${index}`, metricsAddress: host.steward.metrics_address ?? '' }
    ])
    const prefixBefore = await fleet.control.readPrefixCounts()
    const usageBefore = await readUsage(measuredProcesses)
    const startedAt = performance.now()
    const progress = new ProgressReporter(options.onDidProgress)
    const steps = Promise.all(scenario.steps.map(async step => {
      await waitFor(step.at_ms)
      await fleet.apply(step)
    }))
    const outcomes = await sendLoad(scenario.seconds, 'r', undefined, outcome => progress.add(outcome))
    progress.stop()
    const usage = computeUsage(usageBefore, await readUsage(measuredProcesses))
    await steps
    const prefixAfter = await fleet.control.readPrefixCounts()
    const busyAfter = await fleet.control.readBusyByRole()
    const busyByRole = new Map([...busyAfter].map(([role, busyMs]) => [role, Math.max(0, busyMs - (busyBefore.get(role) ?? 0))]))
    const runs = (await fleet.control.readRuns()).filter(run => run.marker.startsWith('r.'))
    const calls = await fleet.control.readPlatformCalls() - callsBefore
    return {
      report: createLoadReport({ configuration: plan.configuration, outcomes, runs, busyByRole, callsAfterLeaving: await fleet.control.readCallsAfterLeaving() }),
      outcomes,
      usage,
      prefixHitShare: (prefixAfter.hits - prefixBefore.hits) / Math.max(1, prefixAfter.starts - prefixBefore.starts),
      platformCallsPerSecond: calls / (performance.now() - startedAt) * 1000
    }
  } finally {
    await fleet.stop()
  }
}

/** Reports the number of requests by outcome once a second. */
class ProgressReporter {
  private readonly _counts = { whole: 0, late: 0, refused: 0, lost: 0 }
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _onDidProgress: ((line: string) => void) | undefined) {
    this._timer = setInterval(() => this._report(), PROGRESS_PERIOD_MS)
  }

  add (outcome: Outcome): void {
    this._counts[outcome.kind]++
  }

  stop (): void {
    clearInterval(this._timer)
  }

  private _report (): void {
    this._onDidProgress?.(Object.entries(this._counts).map(([kind, count]) => `${kind}=${count}`).join(' '))
  }
}
