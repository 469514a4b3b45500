/**
 * Reads the resource usage of the fleet's processes from their metrics pages.
 */

/** Resource usage of one process between two readings. */
export interface ProcessUsage {
  readonly name: string
  /** Share of one core. */
  readonly processorShare: number
  readonly residentMb: number
  /** Number of requests that the process completed; 0 for stewards. */
  readonly requests: number
}

export interface UsageReading {
  readonly name: string
  readonly at: number
  readonly processorSeconds: number
  readonly residentBytes: number
  readonly requests: number
}

export interface MeasuredProcess {
  readonly name: string
  readonly metricsAddress: string
}

const BYTES_PER_MB = 1024 * 1024

/** Returns the value of a metric without labels, or 0 if the page does not contain it. */
export function readMetric (page: string, name: string): number {
  return Number(new RegExp(`^pepperwood_${name} (\\S+)$`, 'm').exec(page)?.[1] ?? 0)
}

/** Returns the sum of a metric over all combinations of its labels. */
function sumMetric (page: string, name: string): number {
  const rows = page.matchAll(new RegExp(`^pepperwood_${name}\\{.*\\} (\\S+)$`, 'gm'))
  return [...rows].reduce((sum, row) => sum + Number(row[1]), 0)
}

export async function readMetricsPage (address: string): Promise<string> {
  return await (await fetch(`http://${address}/metrics`, { signal: AbortSignal.timeout(2000) })).text()
}

/** Processes that do not respond are omitted. */
export async function readUsage (processes: readonly MeasuredProcess[]): Promise<readonly UsageReading[]> {
  const readings = await Promise.all(processes.map(async item => {
    try {
      const page = await readMetricsPage(item.metricsAddress)
      return [{ name: item.name, at: performance.now(), processorSeconds: readMetric(page, 'process_cpu_seconds'), residentBytes: readMetric(page, 'process_resident_bytes'), requests: sumMetric(page, 'requests_total') }]
    } catch {
      return []
    }
  }))
  return readings.flat()
}

/** Processes that restarted between the readings are omitted, since their counters were reset. */
export function computeUsage (before: readonly UsageReading[], after: readonly UsageReading[]): readonly ProcessUsage[] {
  return after.flatMap(reading => {
    const previous = before.find(item => item.name === reading.name)
    if (previous === undefined || previous.processorSeconds > reading.processorSeconds) return []
    const seconds = (reading.at - previous.at) / 1000
    return [{ name: reading.name, processorShare: (reading.processorSeconds - previous.processorSeconds) / seconds, residentMb: reading.residentBytes / BYTES_PER_MB, requests: reading.requests - previous.requests }]
  })
}

/** Returns the requests of the busiest gate relative to the mean over all gates. */
export function computeImbalance (usage: readonly ProcessUsage[]): number {
  const counts = usage.filter(item => item.name.startsWith('gate')).map(item => item.requests)
  const mean = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length)
  return mean === 0 ? 1 : Math.max(...counts) / mean
}

/** Formats one line with the mean and highest usage of the processes whose name starts with the prefix. */
export function formatUsage (usage: readonly ProcessUsage[], prefix: string): string {
  const matching = usage.filter(item => item.name.startsWith(prefix))
  if (matching.length === 0) return `${prefix}: no figures`
  const mean = matching.reduce((sum, item) => sum + item.processorShare, 0) / matching.length
  const highest = Math.max(...matching.map(item => item.processorShare))
  const memory = Math.max(...matching.map(item => item.residentMb))
  return `${prefix}: processor mean ${(mean * 100).toFixed(1)}% highest ${(highest * 100).toFixed(1)}% of a core, resident highest ${memory.toFixed(0)} MB`
}
