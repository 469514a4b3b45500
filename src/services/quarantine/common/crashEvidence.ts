/**
 * Determines what crashes upstreams, from the runs that were in flight when they crashed. Pure functions.
 *
 * A single crash proves little, because every run in flight there was lost with it. A cause is what runs at several crashes
 * had in common, if no other cause explains those crashes: a whole request, or parts of its prompt that other requests
 * share. Several parts that have always come together are one cause; only requests that have all of them are affected, so
 * that requests with one of them are still sent, and clear it if they are answered.
 */
import { isPartKey } from './partKey.ts'

/** A run that was in flight at an upstream when the upstream crashed. */
export interface CrashedRun {
  /** Identical for all attempts of one request. */
  readonly digest: string
  readonly bodyBytes: number
  /** Keys of the parts of its prompt that other requests may share. */
  readonly partKeys?: readonly string[]
  /** Whether the upstream had just begun its answer. */
  readonly isStarting?: boolean
  /** The id of the upstream instance that crashed. */
  readonly upstream: string
  /** `sentAt` and `crashedAt` are in milliseconds on this process's clock. */
  readonly sentAt: number
  readonly crashedAt: number
}

/** The runs that are evidence against each key, which is the digest of a request or the key of a part. */
export type Evidence = ReadonlyMap<string, ReadonlySet<CrashedRun>>

/** Evidence against parts from all runs, also from those that do not count because the answer of another had just begun. */
export type GetPartEvidence = () => Evidence

export interface CrashCause {
  /** What a request must have to be affected: all of these keys. */
  readonly keys: readonly string[]
  readonly runs: ReadonlySet<CrashedRun>
  readonly crashCount: number
}

/** What is known of keys besides the crashes. */
export interface AnsweredKeys {
  /** Answered after a crash. */
  readonly served?: ReadonlySet<string>
  /** Answered while there was no evidence against them. */
  readonly sound?: ReadonlySet<string>
}

export interface CrashAnalysis {
  readonly causes: readonly CrashCause[]
  /** Parts that may turn out to be a cause after a further crash. */
  readonly suspectedParts: readonly CrashCause[]
  /** Upstreams whose crash is attributed to a cause; they do not count against other requests. */
  readonly explainedUpstreams: ReadonlySet<string>
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
/** With this many crashes a cause is accepted even if a request without it was in flight at all of them. */
const MAX_SHARED_CRASHES = 4
/**
 * Further crashes that are required for parts if the runs had not begun their answers, or if requests with the parts were
 * answered before the first crash. A popular part is in flight at several crashes within a moment, before any request with it
 * could be answered again.
 */
const EXTRA_WEAK_CRASHES = 2
/** Further crashes that are required for parts of runs beside which other answers had just begun. */
const EXTRA_LATE_CRASHES = 1
const NO_KEYS: ReadonlySet<string> = new Set()
/** A single crash says too little about parts, which popular requests have. */
const MIN_SUSPECT_CRASHES = 2
/** Crashes that a narrower cause must leave unexplained before a wider one replaces it; one may be a coincidence. */
const MIN_UNEXPLAINED_CRASHES = 2

/**
 * Counts crashes that followed one another, each run having been sent after the previous crash. A request that many callers
 * send concurrently may be in flight at several upstreams that lose power together; this counts as one crash. So do the runs at
 * one upstream, whose crash some nodes notice later than others.
 */
export function countSeparateCrashes (runs: Iterable<CrashedRun>): number {
  const counted = new Set<string>()
  let lastCrashAt = -Infinity
  for (const run of [...runs].sort((a, b) => a.crashedAt - b.crashedAt)) {
    const isSeparate = run.sentAt >= lastCrashAt - CLOCK_TOLERANCE_MS && run.crashedAt > lastCrashAt + CLOCK_TOLERANCE_MS
    if (!isSeparate || counted.has(run.upstream)) continue
    counted.add(run.upstream)
    lastCrashAt = run.crashedAt
  }
  return counted.size
}

/** The runs at upstreams whose crash is not attributed to a cause. */
export function listUnexplainedRuns (runs: Iterable<CrashedRun>, explainedUpstreams: ReadonlySet<string>): readonly CrashedRun[] {
  return [...runs].filter(run => !explainedUpstreams.has(run.upstream))
}

/**
 * Identifies one cause at a time, the one with the most crashes first, because each one found explains crashes of others.
 * Keys that were answered after a crash come last: a popular request or part may be in flight at more crashes than any that
 * causes them.
 */
export function findCrashCauses (evidence: Evidence, { served = NO_KEYS, sound = NO_KEYS }: AnsweredKeys = {}, getPartEvidence: GetPartEvidence = () => evidence): CrashAnalysis {
  const causes: CrashCause[] = []
  const explainedUpstreams = new Set<string>()
  for (;;) {
    const unexplained = listUnexplainedEvidence(evidence, explainedUpstreams)
    const cause = findLikeliestCause(unexplained, { isCandidate: key => !served.has(key), minCrashes: MAX_CRASHES, sound }) ??
      findLikeliestCause(unexplained, { isCandidate: key => served.has(key), minCrashes: MAX_CRASHES_IF_SERVED, sound }) ??
      findLateCause(listUnexplainedEvidence(getPartEvidence(), explainedUpstreams), { served, sound })
    if (cause === undefined) return { causes, suspectedParts: listSuspectedParts(unexplained, served), explainedUpstreams }
    causes.push(cause)
    for (const run of cause.runs) explainedUpstreams.add(run.upstream)
  }
}

/** Leaves out keys with a single run, which cannot be a cause and are the most by far. */
function listUnexplainedEvidence (evidence: Evidence, explainedUpstreams: ReadonlySet<string>): Evidence {
  const remaining = new Map<string, ReadonlySet<CrashedRun>>()
  for (const [key, allRuns] of evidence) {
    if (allRuns.size < MIN_SUSPECT_CRASHES) continue
    const runs = explainedUpstreams.size === 0 ? allRuns : new Set(listUnexplainedRuns(allRuns, explainedUpstreams))
    if (runs.size >= MIN_SUSPECT_CRASHES) remaining.set(key, runs)
  }
  return remaining
}

interface CandidateQuery {
  readonly isCandidate: (key: string) => boolean
  readonly minCrashes: number
  readonly sound: ReadonlySet<string>
  /** Whether parts need more crashes if the answers had not just begun. */
  readonly needsStarting?: boolean
}

function findLikeliestCause (evidence: Evidence, query: CandidateQuery): CrashCause | undefined {
  const candidates = listCandidates(evidence, query).filter(candidate => candidate.crashCount >= MAX_SHARED_CRASHES || !hasOtherSuspect(candidate, evidence))
  return candidates.reduce<CrashCause | undefined>((best, candidate) => best === undefined || isLikelier(candidate, best) ? candidate : best, undefined)
}

/** Finds parts on which upstreams crash long after they began to answer, when answers to other requests have just begun. */
function findLateCause (evidence: Evidence, { served, sound }: Required<AnsweredKeys>): CrashCause | undefined {
  const find = (isCandidate: (key: string) => boolean, minCrashes: number) => findLikeliestCause(evidence, { isCandidate: key => isPartKey(key) && !served.has(key) && isCandidate(key) && hasSeveralRequests(evidence.get(key)), minCrashes, sound: NO_KEYS, needsStarting: false })
  return find(key => !sound.has(key), MAX_CRASHES + EXTRA_LATE_CRASHES) ?? find(key => sound.has(key), MAX_CRASHES + EXTRA_LATE_CRASHES + EXTRA_WEAK_CRASHES)
}

/** A request that is repeated is a cause as a whole. */
function hasSeveralRequests (runs: ReadonlySet<CrashedRun> = new Set()): boolean {
  return new Set([...runs].map(({ digest }) => digest)).size > 1
}

/** What is in flight more often is so more often by coincidence. */
function isLikelier (a: CrashCause, b: CrashCause): boolean {
  return a.crashCount > b.crashCount || (a.crashCount === b.crashCount && a.runs.size < b.runs.size)
}

function listSuspectedParts (evidence: Evidence, served: ReadonlySet<string>): readonly CrashCause[] {
  return listCandidates(evidence, { isCandidate: key => !served.has(key), minCrashes: MIN_SUSPECT_CRASHES, sound: NO_KEYS }).filter(candidate => !isWholeRequest(candidate))
}

/** Returns the possible causes, without those for which a narrower one explains all but a crash that may be a coincidence. */
function listCandidates (evidence: Evidence, query: CandidateQuery): readonly CrashCause[] {
  const { isCandidate, minCrashes } = query
  const candidates: CrashCause[] = []
  for (const [key, runs] of evidence) {
    if (runs.size < minCrashes || !isCandidate(key)) continue
    const candidate = { keys: listCommonKeys(key, runs, evidence), runs, crashCount: countSeparateCrashes(runs) }
    if (hasEnoughCrashes(candidate, query)) candidates.push(candidate)
  }
  return candidates.filter(wide => !candidates.some(narrow => isNarrower(narrow, wide) && hasFewUnexplained(narrow, wide)))
}

function hasEnoughCrashes (candidate: CrashCause, { minCrashes, sound, needsStarting = true }: CandidateQuery): boolean {
  const { keys, runs, crashCount } = candidate
  if (crashCount < minCrashes) return false
  if (!needsStarting) return true
  if (isWholeRequest(candidate) || crashCount >= minCrashes + EXTRA_WEAK_CRASHES) return true
  if (keys.every(key => sound.has(key))) return false
  return countSeparateCrashes([...runs].filter(run => run.isStarting)) >= minCrashes
}

function hasFewUnexplained (narrow: CrashCause, wide: CrashCause): boolean {
  const unexplained = listUnexplainedRuns(wide.runs, listUpstreams(narrow.runs))
  return countSeparateCrashes(unexplained) < MIN_UNEXPLAINED_CRASHES
}

/** Whether all runs are of one request, so that its digest is among what they have in common. */
function isWholeRequest ({ keys, runs }: CrashCause): boolean {
  const [first] = runs
  return first !== undefined && keys.includes(first.digest)
}

/** Returns the keys against which all of these runs are evidence, the given one included. */
function listCommonKeys (key: string, runs: ReadonlySet<CrashedRun>, evidence: Evidence): readonly string[] {
  const [first] = runs
  const others = first === undefined ? [] : [first.digest, ...first.partKeys ?? []].filter(other => other !== key)
  return [key, ...others.filter(other => {
    const otherRuns = evidence.get(other)
    return otherRuns !== undefined && [...runs].every(run => otherRuns.has(run))
  })]
}

function isNarrower (narrow: CrashCause, wide: CrashCause): boolean {
  return narrow.runs.size < wide.runs.size && [...narrow.runs].every(run => wide.runs.has(run))
}

function listUpstreams (runs: ReadonlySet<CrashedRun>): ReadonlySet<string> {
  return new Set([...runs].map(run => run.upstream))
}

/**
 * Whether something else was in flight at all of the same crashes, so that either may be the cause. If the answers of the
 * cause's runs had just begun at each of them, the same must hold for the other.
 */
function hasOtherSuspect ({ keys, runs }: CrashCause, evidence: Evidence): boolean {
  const upstreams = listUpstreams(runs)
  const wasStarting = [...runs].every(run => run.isStarting === true)
  for (const [other, otherRuns] of evidence) {
    if (otherRuns.size < upstreams.size || keys.includes(other)) continue
    const otherUpstreams = new Set([...otherRuns].filter(run => !wasStarting || run.isStarting === true).map(run => run.upstream))
    if ([...upstreams].every(upstream => otherUpstreams.has(upstream))) return true
  }
  return false
}
