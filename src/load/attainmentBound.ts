/**
 * Computes an upper bound on attainment from the capacity of the stand-ins, independent of the policy.
 */
import { readTokenCount } from '../standin/modelAnswers.ts'
import type { Arrival } from './arrivals.ts'
import type { LoadProfile } from './loadProfile.ts'

interface RoleWork {
  readonly role: string
  /** Time in which the role's whole capacity would serve the request. */
  readonly costMs: number
}

/** The cost of a request for each role, assuming that every engine runs a full batch and every prefix is cached. */
function listRoleWork (profile: LoadProfile, arrival: Arrival): readonly RoleWork[] {
  const stages = profile.pipelines.find(pipeline => pipeline.name === arrival.pipeline)?.stages ?? []
  return stages.flatMap(stage => {
    const group = profile.upstreams.find(item => item.role === stage.role)
    if (group === undefined) return []
    const slots = group.count * group.capacity
    if (group.kind === 'service') return [{ role: stage.role, costMs: group.base_ms / slots }]
    const stepMs = group.base_ms + group.per_sequence_ms * (group.capacity - 1)
    const cachedPrefillMs = group.prefill_ms * CACHED_PREFILL_SHARE
    return [{ role: stage.role, costMs: (readTokenCount(arrival.input) * stepMs + cachedPrefillMs) / slots }]
  })
}

/** The share of the prefill time that remains when the prompt's prefix is cached. */
const CACHED_PREFILL_SHARE = 0.3

/**
 * Requests that arrive within a span of whole seconds must complete within the span plus their longest deadline. For each
 * span and role, serving the cheapest requests first gives the least number that must be missed; the span with the most
 * misses sets the bound.
 */
export function computeAttainmentBound (profile: LoadProfile, arrivals: readonly Arrival[]): number {
  const seconds = Math.ceil((arrivals.at(-1)?.atMs ?? 0) / 1000)
  let missed = 0
  for (const group of profile.upstreams) {
    const work = arrivals.map(arrival => ({ arrival, costMs: listRoleWork(profile, arrival).find(item => item.role === group.role)?.costMs ?? 0 })).filter(item => item.costMs > 0)
    for (let from = 0; from < seconds; from++) {
      for (let to = from + 1; to <= seconds; to++) {
        const workInSpan = work.filter(item => item.arrival.atMs >= from * 1000 && item.arrival.atMs < to * 1000).sort((a, b) => a.costMs - b.costMs)
        const maxDeadlineMs = Math.max(0, ...workInSpan.map(item => item.arrival.deadlineMs))
        missed = Math.max(missed, countMissed(workInSpan.map(item => item.costMs), (to - from) * 1000 + maxDeadlineMs))
      }
    }
  }
  return arrivals.length === 0 ? 1 : 1 - missed / arrivals.length
}

function countMissed (costs: readonly number[], availableMs: number): number {
  let usedMs = 0
  for (let index = 0; index < costs.length; index++) {
    usedMs += costs[index] ?? 0
    if (usedMs > availableMs) return costs.length - index
  }
  return 0
}
