/**
 * Determines which requests crash the upstreams that run them, from the runs that were in flight when upstreams crashed.
 * Pure functions.
 *
 * A single crash proves little, because every run in flight there was lost with it. A request is considered the cause when
 * it was in flight at several crashes that no other crashing request explains.
 */

/** A run that was in flight at an upstream when the upstream crashed. */
export interface CrashedRun {
  /** Identical for all attempts of one request. */
  readonly digest: string
  readonly bodyBytes: number
  /** The id of the upstream instance that crashed. */
  readonly upstream: string
  /** `sentAt` and `crashedAt` are in milliseconds on this process's clock. */
  readonly sentAt: number
  readonly crashedAt: number
}

/** Crashes after which a request is no longer sent. Each further crash would lose every run in flight at that upstream. */
export const MAX_CRASHES = 3
/**
 * The limit for a request that was answered after an earlier crash. Either other requests caused those crashes, or the
 * upstreams' software has changed since; the latter is rare and costs three more upstreams.
 */
const MAX_CRASHES_IF_SERVED = 2 * MAX_CRASHES
/** Times received from other nodes are rounded to milliseconds and delayed by the network. */
const CLOCK_TOLERANCE_MS = 5
/** With this many crashes a request is considered the cause even if another request was in flight at all of them. */
const MAX_SHARED_CRASHES = 4

/**
 * Counts crashes that followed one another, each run having been sent after the previous crash. A request that many callers
 * send concurrently may be in flight at several upstreams that lose power together; this counts as one crash.
 */
export function countSeparateCrashes (runs: readonly CrashedRun[]): number {
  let count = 0
  let lastCrashAt = -Infinity
  for (const run of [...runs].sort((a, b) => a.crashedAt - b.crashedAt)) {
    if (run.sentAt < lastCrashAt - CLOCK_TOLERANCE_MS || run.crashedAt <= lastCrashAt + CLOCK_TOLERANCE_MS) continue
    count++
    lastCrashAt = run.crashedAt
  }
  return count
}

/** The result for all digests that were in flight at a crash. */
export interface CrashAnalysis {
  readonly crashingDigests: ReadonlySet<string>
  /** Upstreams whose crash is attributed to a crashing request; they do not count against other requests. */
  readonly explainedUpstreams: ReadonlySet<string>
}

/** Which requests are considered as a cause, and how many crashes are required. */
interface CandidateRule {
  readonly isCandidate: (digest: string) => boolean
  readonly minCrashes: number
}

type Evidence = ReadonlyMap<string, readonly CrashedRun[]>

/** The runs at upstreams whose crash is not attributed to a crashing request. */
export function listUnexplainedRuns (runs: readonly CrashedRun[], explainedUpstreams: ReadonlySet<string>): readonly CrashedRun[] {
  return runs.filter(run => !explainedUpstreams.has(run.upstream))
}

/**
 * Identifies one crashing request at a time, the one with the most crashes first, because each one found explains crashes of
 * others. Requests that were answered after a crash come last: a frequent request may be in flight at more crashes than any
 * request that causes them.
 */
export function findCrashingRequests (evidence: Evidence, served: ReadonlySet<string> = new Set()): CrashAnalysis {
  const crashingDigests = new Set<string>()
  const explainedUpstreams = new Set<string>()
  for (;;) {
    const isSuspect = (digest: string) => !crashingDigests.has(digest) && !served.has(digest)
    const isServed = (digest: string) => !crashingDigests.has(digest) && served.has(digest)
    const analysis = { crashingDigests, explainedUpstreams }
    const next = findLikeliestCause(evidence, analysis, { isCandidate: isSuspect, minCrashes: MAX_CRASHES }) ?? findLikeliestCause(evidence, analysis, { isCandidate: isServed, minCrashes: MAX_CRASHES_IF_SERVED })
    if (next === undefined) return { crashingDigests, explainedUpstreams }
    crashingDigests.add(next)
    for (const run of evidence.get(next) ?? []) explainedUpstreams.add(run.upstream)
  }
}

function findLikeliestCause (evidence: Evidence, { crashingDigests, explainedUpstreams }: CrashAnalysis, { isCandidate, minCrashes }: CandidateRule): string | undefined {
  let best: { readonly digest: string, readonly crashCount: number } | undefined
  for (const [digest, allRuns] of evidence) {
    if (!isCandidate(digest)) continue
    const runs = listUnexplainedRuns(allRuns, explainedUpstreams)
    const crashCount = countSeparateCrashes(runs)
    if (crashCount < minCrashes || (best !== undefined && crashCount <= best.crashCount)) continue
    if (crashCount >= MAX_SHARED_CRASHES || !hasOtherSuspect(digest, runs, evidence, crashingDigests)) best = { digest, crashCount }
  }
  return best?.digest
}

/** Whether another request was in flight at all of the same crashes, so that either may be the cause. */
function hasOtherSuspect (digest: string, runs: readonly CrashedRun[], evidence: Evidence, crashingDigests: ReadonlySet<string>): boolean {
  const upstreams = runs.map(run => run.upstream)
  for (const [other, otherRuns] of evidence) {
    if (other === digest || crashingDigests.has(other)) continue
    const otherUpstreams = new Set(otherRuns.map(run => run.upstream))
    if (upstreams.every(upstream => otherUpstreams.has(upstream))) return true
  }
  return false
}
