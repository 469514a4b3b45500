/**
 * Measures the resource usage of stewards and the propagation time of updates at one fleet size.
 */
import { waitFor } from '../base/node/interval.ts'
import { planFleet } from './fleetPlan.ts'
import type { LoadProfile } from './loadProfile.ts'
import { ProcessFleet } from './processFleet.ts'
import { computeUsage, readMetric, readMetricsPage, readUsage } from './processUsage.ts'

/** Figures for one fleet size, per steward unless stated otherwise. */
export interface FleetFigures {
  /** Share of one core. */
  readonly processorShare: number
  readonly residentMb: number
  readonly sentBytesPerSecond: number
  readonly receivedBytesPerSecond: number
  /** Over the whole fleet. */
  readonly platformCallsPerSecond: number
  readonly configurationEverywhereMs: number
  readonly leavingEverywhereMs: number
  readonly deadEverywhereMs: number
  /** Number of times that a steward was suspected although all were alive. */
  readonly falseSuspicions: number
  readonly documentBytes: number
}

export interface FleetMeasurementOptions {
  readonly profile: LoadProfile
  readonly network: number
  readonly directory: string
  /** Number of entry hosts that also run a gate. Gates themselves are measured by load runs. */
  readonly gates: number
  readonly measureMs: number
}

const POLL_INTERVAL_MS = 25
const PROPAGATION_TIMEOUT_MS = 30_000
const STABILIZATION_MS = 3000

export async function measureFleet (options: FleetMeasurementOptions): Promise<FleetFigures> {
  const { profile, network, directory } = options
  const plan = planFleet({ profile, network, seed: 1, usesRelays: false, standinCount: 1 })
  const fleet = new ProcessFleet(plan, profile, directory, false, options.gates)
  const measured = plan.hosts.map((host, index) => ({ name: `steward-${index}`, metricsAddress: host.steward.metrics_address ?? '' }))
  const readAll = async (metric: string) => await Promise.all(measured.map(async item => readMetric(await readMetricsPage(item.metricsAddress).catch(() => ''), metric)))
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)
  /** Returns the time in milliseconds until enough values satisfy the condition, or about the timeout if they do not. */
  const measureTimeUntil = async (metric: string, condition: (value: number) => boolean, count = measured.length) => {
    const startedAt = performance.now()
    while (performance.now() - startedAt < PROPAGATION_TIMEOUT_MS) {
      if ((await readAll(metric)).filter(condition).length >= count) break
      await waitFor(POLL_INTERVAL_MS)
    }
    return performance.now() - startedAt
  }
  try {
    await fleet.start()
    await measureTimeUntil('members_live', value => value === measured.length)
    await waitFor(STABILIZATION_MS)
    const [usage, sent, received, suspicions, calls, startedAt] = [await readUsage(measured), sum(await readAll('control_bytes_sent')), sum(await readAll('control_bytes_received')), sum(await readAll('suspicions_total')), await fleet.control.readPlatformCalls(), performance.now()]
    await waitFor(options.measureMs)
    const seconds = (performance.now() - startedAt) / 1000
    const used = computeUsage(usage, await readUsage(measured))
    const computeRate = (before: number, after: number) => (after - before) / seconds / measured.length
    const steady = {
      processorShare: sum(used.map(item => item.processorShare)) / Math.max(1, used.length),
      residentMb: Math.max(...used.map(item => item.residentMb)),
      sentBytesPerSecond: computeRate(sent, sum(await readAll('control_bytes_sent'))),
      receivedBytesPerSecond: computeRate(received, sum(await readAll('control_bytes_received'))),
      platformCallsPerSecond: (await fleet.control.readPlatformCalls() - calls) / seconds,
      falseSuspicions: sum(await readAll('suspicions_total')) - suspicions
    }
    const version = await fleet.publishNext()
    const configurationEverywhereMs = await measureTimeUntil('configuration_version', value => value === version)
    await fleet.control.setFaults(plan.configuration.upstreams[0]?.name ?? '', { leaving_quietly: true })
    const leavingEverywhereMs = await measureTimeUntil('upstreams_leaving', value => value === 1)
    await fleet.apply({ at_ms: 0, action: 'kill', target: `steward-${measured.length - 1}`, faults: {} })
    const deadEverywhereMs = await measureTimeUntil('members_live', value => value === measured.length - 1, measured.length - 1)
    return { ...steady, configurationEverywhereMs, leavingEverywhereMs, deadEverywhereMs, documentBytes: plan.configurationText.length }
  } finally {
    await fleet.stop()
  }
}
