/**
 * The most that the stand-ins' capacity allows: an upper bound on attainment, whatever decides.
 */
import { readTokenCount } from '../standin/modelAnswers.ts'
import type { Arrival } from './arrivals.ts'
import type { LoadProfile } from './loadProfile.ts'

interface RoleWork {
  readonly role: string
  /** Milliseconds of the role's whole capacity that the request takes. */
  readonly costMs: number
}

/** What a request takes of each role when every engine runs a full batch and every prefix is cached. */
function listWork (profile: LoadProfile, arrival: Arrival): readonly RoleWork[] {
  const stages = profile.pipelines.find(pipeline => pipeline.name === arrival.pipeline)?.stages ?? []
  return stages.flatMap(stage => {
    const group = profile.upstreams.find(item => item.role === stage.role)
    if (group === undefined) return []
    const slots = group.count * group.capacity
    if (group.kind === 'service') return [{ role: stage.role, costMs: group.base_ms / slots }]
    const stepMs = group.base_ms + group.per_sequence_ms * (group.capacity - 1)
    const cachedPrefillMs = group.prefill_ms * CACHED_PREFILL
    return [{ role: stage.role, costMs: (readTokenCount(arrival.input) * stepMs + cachedPrefillMs) / slots }]
  })
}

/** The part of a prompt's prefill that is left when its prefix is cached. */
const CACHED_PREFILL = 0.3

/**
 * For each span between two arrivals' seconds, the requests that arrive in it must be done within the span and the longest
 * deadline; the cheapest are taken first. The tightest span decides how many must be missed.
 */
export function computeAttainmentBound (profile: LoadProfile, arrivals: readonly Arrival[]): number {
  const seconds = Math.ceil((arrivals.at(-1)?.atMs ?? 0) / 1000)
  let missed = 0
  for (const group of profile.upstreams) {
    const work = arrivals.map(arrival => ({ arrival, costMs: listWork(profile, arrival).find(item => item.role === group.role)?.costMs ?? 0 })).filter(item => item.costMs > 0)
    for (let from = 0; from < seconds; from++) {
      for (let to = from + 1; to <= seconds; to++) {
        const inside = work.filter(item => item.arrival.atMs >= from * 1000 && item.arrival.atMs < to * 1000).sort((a, b) => a.costMs - b.costMs)
        const longestMs = Math.max(0, ...inside.map(item => item.arrival.deadlineMs))
        missed = Math.max(missed, countMissed(inside.map(item => item.costMs), (to - from) * 1000 + longestMs))
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
