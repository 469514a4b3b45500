/**
 * Plans open-loop arrivals: the time and content of every request, determined by the seed alone.
 */
import type { IRandom } from '../base/common/random.ts'
import type { LoadProfile, ProfileCustomer, ProfilePipeline } from './loadProfile.ts'

/** The arrival rate over a run. */
export interface RateShape {
  /** Requests a second. */
  readonly rate: number
  /** Factor applied to the rate during the burst. */
  readonly burstFactor: number
  readonly burstFromMs: number
  readonly burstToMs: number
  /** A customer whose share is multiplied by `floodFactor` during the burst; empty for none. */
  readonly floodCustomer: string
  readonly floodFactor: number
}

export interface Arrival {
  readonly id: number
  readonly atMs: number
  readonly customer: string
  readonly pipeline: string
  readonly deadlineMs: number
  readonly input: string
  readonly unrepeatable: boolean
}

const PREFIX_LENGTH = 64

function drawWeighted<T extends { readonly share: number }> (items: readonly T[], getWeight: (item: T) => number, random: IRandom): T {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0)
  let remaining = random.next() * total
  for (const item of items) {
    remaining -= getWeight(item)
    if (remaining < 0) return item
  }
  return items[items.length - 1] as T
}

function createInput (id: number, customer: ProfileCustomer, pipeline: ProfilePipeline, runId: string, random: IRandom): string {
  const prefix = `${customer.name} session ${Math.floor(random.next() * customer.prefixes)} `.padEnd(PREFIX_LENGTH, '.')
  const tokens = pipeline.min_tokens + Math.floor(random.next() * (pipeline.max_tokens - pipeline.min_tokens + 1))
  return `${prefix} id=${runId}.${id} tokens=${tokens}`
}

/** Returns all arrivals of a run in order of time, with exponentially distributed gaps. */
export function planArrivals (profile: LoadProfile, shape: RateShape, durationMs: number, runId: string, random: IRandom): readonly Arrival[] {
  const arrivals: Arrival[] = []
  const isBurst = (atMs: number) => atMs >= shape.burstFromMs && atMs < shape.burstToMs
  const getShare = (customer: ProfileCustomer, atMs: number) => customer.share * (isBurst(atMs) && customer.name === shape.floodCustomer ? shape.floodFactor : 1)
  const baseShare = profile.customers.reduce((sum, customer) => sum + customer.share, 0)
  for (let atMs = 0; ;) {
    const shares = profile.customers.reduce((sum, customer) => sum + getShare(customer, atMs), 0)
    const rate = shape.rate * (isBurst(atMs) ? shape.burstFactor : 1) * shares / baseShare
    atMs += -Math.log(1 - random.next()) / rate * 1000
    if (atMs >= durationMs) return arrivals
    const at = atMs
    const customer = drawWeighted(profile.customers, item => getShare(item, at), random)
    const pipeline = drawWeighted(profile.pipelines, item => item.share, random)
    const id = arrivals.length
    arrivals.push({
      id,
      atMs,
      customer: customer.name,
      pipeline: pipeline.name,
      deadlineMs: pipeline.deadline_ms,
      input: createInput(id, customer, pipeline, runId, random),
      unrepeatable: random.next() < pipeline.unrepeatable_share
    })
  }
}
