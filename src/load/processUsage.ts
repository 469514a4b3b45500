/**
 * What the fleet's processes use, as they say themselves on their metrics pages.
 */

/** Use of one process between two readings. */
export interface ProcessUsage {
  readonly name: string
  /** Of one core. */
  readonly processorShare: number
  readonly residentMb: number
  /** Requests that ended at the process; 0 for stewards. */
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

/** The value of a metric without labels; 0 where the page has none. */
export function readMetric (page: string, name: string): number {
  return Number(new RegExp(`^pepperwood_${name} (\\S+)$`, 'm').exec(page)?.[1] ?? 0)
}

/** The sum of a metric over all its labels. */
function sumMetric (page: string, name: string): number {
  const rows = page.matchAll(new RegExp(`^pepperwood_${name}\\{.*\\} (\\S+)$`, 'gm'))
  return [...rows].reduce((sum, row) => sum + Number(row[1]), 0)
}

export async function readMetricsPage (address: string): Promise<string> {
  return await (await fetch(`http://${address}/metrics`, { signal: AbortSignal.timeout(2000) })).text()
}

/** Processes that do not answer are left out. */
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

/** A process that was started anew between the readings is left out. */
export function compareReadings (before: readonly UsageReading[], after: readonly UsageReading[]): readonly ProcessUsage[] {
  return after.flatMap(reading => {
    const first = before.find(item => item.name === reading.name)
    if (first === undefined || first.processorSeconds > reading.processorSeconds) return []
    const seconds = (reading.at - first.at) / 1000
    return [{ name: reading.name, processorShare: (reading.processorSeconds - first.processorSeconds) / seconds, residentMb: reading.residentBytes / BYTES_PER_MB, requests: reading.requests - first.requests }]
  })
}

/** How much more the busiest gate served than the mean. */
export function computeImbalance (usage: readonly ProcessUsage[]): number {
  const counts = usage.filter(item => item.name.startsWith('gate')).map(item => item.requests)
  const mean = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length)
  return mean === 0 ? 1 : Math.max(...counts) / mean
}

/** One line for the processes whose names begin alike: mean and highest. */
export function formatUsage (usage: readonly ProcessUsage[], prefix: string): string {
  const chosen = usage.filter(item => item.name.startsWith(prefix))
  if (chosen.length === 0) return `${prefix}: no figures`
  const mean = chosen.reduce((sum, item) => sum + item.processorShare, 0) / chosen.length
  const highest = Math.max(...chosen.map(item => item.processorShare))
  const memory = Math.max(...chosen.map(item => item.residentMb))
  return `${prefix}: processor mean ${(mean * 100).toFixed(1)}% highest ${(highest * 100).toFixed(1)}% of a core, resident highest ${memory.toFixed(0)} MB`
}
