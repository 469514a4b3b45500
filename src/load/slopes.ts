/**
 * Measures what a steward uses and how fast news travels, at one size of the fleet.
 */
import { waitFor } from '../base/node/interval.ts'
import { planFleet } from './fleetPlan.ts'
import type { LoadProfile } from './loadProfile.ts'
import { ProcessFleet } from './processFleet.ts'
import { compareReadings, readMetric, readMetricsPage, readUsage } from './processUsage.ts'

/** What one size came to, per steward where not said otherwise. */
export interface SlopeFigures {
  /** Of one core. */
  readonly processorShare: number
  readonly residentMb: number
  readonly sentBytesPerSecond: number
  readonly receivedBytesPerSecond: number
  /** Over the whole fleet. */
  readonly platformCallsPerSecond: number
  readonly configurationEverywhereMs: number
  readonly leavingEverywhereMs: number
  readonly deadEverywhereMs: number
  /** Stewards that were suspected while all lived. */
  readonly falseSuspicions: number
  readonly documentBytes: number
}

export interface SlopeOptions {
  readonly profile: LoadProfile
  readonly network: number
  readonly directory: string
  /** Entry hosts that run a gate beside their steward; gates are measured by load runs. */
  readonly gates: number
  readonly measureMs: number
}

const POLL_MS = 25
const GIVE_UP_MS = 30_000
const SETTLE_MS = 3000

export async function measureSlope (options: SlopeOptions): Promise<SlopeFigures> {
  const { profile, network, directory } = options
  const plan = planFleet({ profile, network, seed: 1, usesRelays: false, standinCount: 1 })
  const fleet = new ProcessFleet(plan, profile, directory, false, options.gates)
  const measured = plan.hosts.map((host, index) => ({ name: `steward-${index}`, metricsAddress: host.steward.metrics_address ?? '' }))
  const readAll = async (metric: string) => await Promise.all(measured.map(async item => readMetric(await readMetricsPage(item.metricsAddress).catch(() => ''), metric)))
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)
  /** Milliseconds until all values satisfy the condition; the give-up time when they never do. */
  const measureUntil = async (metric: string, condition: (value: number) => boolean, count = measured.length) => {
    const startedAt = performance.now()
    while (performance.now() - startedAt < GIVE_UP_MS) {
      if ((await readAll(metric)).filter(condition).length >= count) break
      await waitFor(POLL_MS)
    }
    return performance.now() - startedAt
  }
  try {
    await fleet.start()
    await measureUntil('members_live', value => value === measured.length)
    await waitFor(SETTLE_MS)
    const [usage, sent, received, suspicions, calls, startedAt] = [await readUsage(measured), sum(await readAll('control_bytes_sent')), sum(await readAll('control_bytes_received')), sum(await readAll('suspicions_total')), await fleet.control.readPlatformCalls(), performance.now()]
    await waitFor(options.measureMs)
    const seconds = (performance.now() - startedAt) / 1000
    const used = compareReadings(usage, await readUsage(measured))
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
    const configurationEverywhereMs = await measureUntil('configuration_version', value => value === version)
    await fleet.control.setFaults(plan.configuration.upstreams[0]?.name ?? '', { leaving_quietly: true })
    const leavingEverywhereMs = await measureUntil('upstreams_leaving', value => value === 1)
    await fleet.apply({ at_ms: 0, action: 'kill', target: `steward-${measured.length - 1}`, faults: {} })
    const deadEverywhereMs = await measureUntil('members_live', value => value === measured.length - 1, measured.length - 1)
    return { ...steady, configurationEverywhereMs, leavingEverywhereMs, deadEverywhereMs, documentBytes: plan.configurationText.length }
  } finally {
    await fleet.stop()
  }
}
