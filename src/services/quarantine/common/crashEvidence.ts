/**
 * Which requests end the upstreams that run them, judged from the runs that were under way when upstreams ended. Pure.
 *
 * An end alone proves little: all that ran there was lost with it. A request is guilty when it was there time after
 * time, at upstreams that no other guilty request can have ended.
 */

/** A run that was under way at an upstream when that ended. */
export interface EndedRun {
  /** What the tries of one request have in common. */
  readonly digest: string
  readonly bodyBytes: number
  /** The boot that ended. */
  readonly upstream: string
  /** Both on this process's clock, in milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
}

/** Upstreams that a request may end before it is no longer sent. One more costs all that runs there. */
export const MAX_ENDS = 3
/**
 * Ends that convict a request which was answered since an earlier one. Either it was beside what others did, or its
 * upstreams' software has changed; the second is rare, and costs three more upstreams.
 */
const MAX_ENDS_ONCE_SERVED = 2 * MAX_ENDS
/** Times of other nodes come in whole milliseconds, and later by the way that they took. */
const CLOCK_SLACK_MS = 5
/** So many ends convict a request even where another was at all of them too. */
const MAX_SHARED_ENDS = 4

/**
 * Ends that came one after another: each run was sent when the one before had ended. A request that many callers send
 * at once may be at several upstreams that lose power together; that counts once.
 */
export function countSeparateEnds (runs: readonly EndedRun[]): number {
  let count = 0
  let lastEndedAt = -Infinity
  for (const run of [...runs].sort((a, b) => a.endedAt - b.endedAt)) {
    if (run.sentAt < lastEndedAt - CLOCK_SLACK_MS || run.endedAt <= lastEndedAt + CLOCK_SLACK_MS) continue
    count++
    lastEndedAt = run.endedAt
  }
  return count
}

/** Verdict on all digests that were at some end. */
export interface Verdict {
  readonly guilty: ReadonlySet<string>
  /** Upstreams whose end a guilty request explains: they speak against nobody else. */
  readonly explained: ReadonlySet<string>
}

/** Requests that may be convicted next, and by how many ends. */
interface Candidates {
  readonly mayBe: (digest: string) => boolean
  readonly minEnds: number
}

type Evidence = ReadonlyMap<string, readonly EndedRun[]>

/** The runs that no guilty request explains. */
export function listUnexplained (runs: readonly EndedRun[], explained: ReadonlySet<string>): readonly EndedRun[] {
  return runs.filter(run => !explained.has(run.upstream))
}

/**
 * Convicts one request after the other, the one with the most ends first, since each conviction clears others. Those
 * that were answered since an end under them come last: a popular one may be beside more ends than any guilty one.
 */
export function decideGuilt (evidence: Evidence, served: ReadonlySet<string> = new Set()): Verdict {
  const guilty = new Set<string>()
  const explained = new Set<string>()
  for (;;) {
    const isSuspect = (digest: string) => !guilty.has(digest) && !served.has(digest)
    const isServed = (digest: string) => !guilty.has(digest) && served.has(digest)
    const verdict = { guilty, explained }
    const next = findGuiltiest(evidence, verdict, { mayBe: isSuspect, minEnds: MAX_ENDS }) ?? findGuiltiest(evidence, verdict, { mayBe: isServed, minEnds: MAX_ENDS_ONCE_SERVED })
    if (next === undefined) return { guilty, explained }
    guilty.add(next)
    for (const run of evidence.get(next) ?? []) explained.add(run.upstream)
  }
}

function findGuiltiest (evidence: Evidence, { guilty, explained }: Verdict, { mayBe, minEnds }: Candidates): string | undefined {
  let best: { readonly digest: string, readonly ends: number } | undefined
  for (const [digest, all] of evidence) {
    if (!mayBe(digest)) continue
    const runs = listUnexplained(all, explained)
    const ends = countSeparateEnds(runs)
    if (ends < minEnds || (best !== undefined && ends <= best.ends)) continue
    if (ends >= MAX_SHARED_ENDS || !hasCompanion(digest, runs, evidence, guilty)) best = { digest, ends }
  }
  return best?.digest
}

/** Whether another request was at all of the same ends, so that either may have caused them. */
function hasCompanion (digest: string, runs: readonly EndedRun[], evidence: Evidence, guilty: ReadonlySet<string>): boolean {
  const upstreams = runs.map(run => run.upstream)
  for (const [other, otherRuns] of evidence) {
    if (other === digest || guilty.has(other)) continue
    const places = new Set(otherRuns.map(run => run.upstream))
    if (upstreams.every(upstream => places.has(upstream))) return true
  }
  return false
}
