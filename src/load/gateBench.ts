/**
 * Measures one gate: requests and chunks per second, and the latency that it adds compared with calling the upstream directly.
 */
import { Agent, request } from 'node:http'
import { build } from 'hdr-histogram-js'
import { parseAddress } from '../base/common/address.ts'
import { PepperwoodClient } from '../client/pepperwoodClient.ts'
import { formatCustomerKey, planFleet } from './fleetPlan.ts'
import type { FleetPlan } from './fleetPlan.ts'
import type { LoadProfile } from './loadProfile.ts'
import { ProcessFleet } from './processFleet.ts'
import { readMetric, readMetricsPage } from './processUsage.ts'

export interface GateBenchOptions {
  readonly profile: LoadProfile
  readonly network: number
  readonly directory: string
  readonly measureMs: number
  readonly concurrency: number
}

export interface GateBenchResult {
  readonly directMs: number
  readonly throughGateMs: number
  readonly requestsPerSecond: number
  readonly chunksPerSecond: number
  readonly gateMsPerRequest: number
  readonly gateMsPerChunk: number
  readonly idleGateMb: number
  readonly idleStewardMb: number
}

const WARM_UP_MS = 4000
const MICROSECONDS_PER_MS = 1000

/** Repeats a call sequentially and returns the median latency in milliseconds. */
async function measureMedian (durationMs: number, call: () => Promise<void>): Promise<number> {
  const times = build({ highestTrackableValue: 60_000_000 })
  const until = performance.now() + durationMs
  while (performance.now() < until) {
    const startedAt = performance.now()
    await call()
    times.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MS))
  }
  return times.getValueAtPercentile(50) / MICROSECONDS_PER_MS
}

/** Repeats a call in concurrent loops and returns the number of calls per second. */
async function measureRate (durationMs: number, concurrency: number, call: () => Promise<void>): Promise<number> {
  const startedAt = performance.now()
  let count = 0
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (performance.now() - startedAt < durationMs) {
      await call()
      count++
    }
  }))
  return count / (performance.now() - startedAt) * 1000
}

function createDirectCall (plan: FleetPlan): () => Promise<void> {
  const address = parseAddress(plan.configuration.upstreams.find(upstream => upstream.role === 'encode')?.address ?? '')
  const agent = new Agent({ keepAlive: true })
  const body = JSON.stringify({ attempt: 'direct', request: 'direct', role: 'encode', input: 'x', previous: '', priority: 1, timeLeftMs: 1000 })
  return () => new Promise((resolve, reject) => {
    const call = request({ host: address?.host, port: address?.port, method: 'POST', path: '/v1/run', agent }, response => {
      response.resume()
      response.on('end', resolve)
    })
    call.on('error', reject)
    call.end(body)
  })
}

export async function measureGate (options: GateBenchOptions): Promise<GateBenchResult> {
  const { profile, network, directory, measureMs, concurrency } = options
  const plan = planFleet({ profile, network, seed: 1, usesRelays: false })
  const fleet = new ProcessFleet(plan, profile, directory, false)
  const [host] = plan.hosts
  const gateMetrics = host?.gate.metrics_address ?? ''
  const readCpuMs = async () => readMetric(await readMetricsPage(gateMetrics), 'process_cpu_seconds') * 1000
  const readResidentMb = async (address: string) => readMetric(await readMetricsPage(address), 'process_resident_bytes') / 2 ** 20
  const client = new PepperwoodClient({ entries: [host?.gate.address ?? ''], customer: 'only', key: formatCustomerKey('only') })
  const submit = (pipeline: string, input: string) => async () => {
    const result = await client.submit({ pipeline, input, deadlineMs: 4000 })
    result.ifLeft(error => { throw error })
  }
  /** Returns the rate, and the gate's CPU time for each call. */
  const measure = async (call: () => Promise<void>) => {
    await measureRate(WARM_UP_MS, concurrency, call)
    const before = await readCpuMs()
    const rate = await measureRate(measureMs, concurrency, call)
    return { rate, gateMs: (await readCpuMs() - before) / (rate * measureMs / 1000) }
  }
  try {
    await fleet.start()
    const idleGateMb = await readResidentMb(gateMetrics)
    const idleStewardMb = await readResidentMb(host?.steward.metrics_address ?? '')
    const short = await measure(submit('short', 'x'))
    const tokens = profile.pipelines.find(pipeline => pipeline.name === 'long')?.max_tokens ?? 1
    const long = await measure(submit('long', `tokens=${tokens}`))
    const directMs = await measureMedian(measureMs / 2, createDirectCall(plan))
    const throughGateMs = await measureMedian(measureMs / 2, submit('short', 'x'))
    const gateMsPerChunk = Math.max(0, long.gateMs - short.gateMs) / tokens
    return { directMs, throughGateMs, requestsPerSecond: short.rate, chunksPerSecond: long.rate * tokens, gateMsPerRequest: short.gateMs, gateMsPerChunk, idleGateMb, idleStewardMb }
  } finally {
    client.dispose()
    await fleet.stop()
  }
}
