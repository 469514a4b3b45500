/**
 * Tracks requests that were in flight when upstreams crashed, from this node's own runs and from its peers. The number of
 * requests is bounded, and evidence expires.
 */
import { countSeparateCrashes, findCrashingRequests, listUnexplainedRuns } from './crashEvidence.ts'
import type { CrashedRun, CrashAnalysis } from './crashEvidence.ts'

/** The crashes counted against one request. */
export interface CrashRecord {
  /** Successive crashes while the request was in flight that are not attributed to another request. */
  readonly crashCount: number
  /** Whether the request is no longer sent. */
  readonly isQuarantined: boolean
  readonly upstreams: readonly string[]
  /** Time of the last of these crashes, in milliseconds on this process's clock. */
  readonly lastCrashAt: number
}

export const NO_CRASHES: CrashRecord = { crashCount: 0, isQuarantined: false, upstreams: [], lastCrashAt: -Infinity }

/** A quarantined request, as listed for operators. */
export interface QuarantinedRequest extends CrashRecord {
  readonly digest: string
}

/**
 * How long evidence is kept after the last crash. Operators usually deploy fixed upstream software within this time; a
 * request that still crashes upstreams afterwards costs three more of them.
 */
export const EVIDENCE_RETENTION_MS = 600_000
/** Maximum number of tracked requests. Each entry requires a crashed upstream, so many different bodies alone cannot fill it. */
const MAX_DIGESTS = 2000

export class QuarantineTracker {
  private readonly _runs = new Map<string, readonly CrashedRun[]>()
  private readonly _clearedAt = new Map<string, number>()
  /** Requests that an upstream answered after a crash; an entry expires together with its `_clearedAt` entry. */
  private readonly _served = new Set<string>()
  private _bodySizes: ReadonlySet<number> | undefined
  private _analysis: CrashAnalysis | undefined

  get isEmpty (): boolean {
    return this._runs.size === 0
  }

  /** Whether any tracked request has a body of this length. Spares computing digests, which is expensive. */
  hasBodySize (bodyBytes: number): boolean {
    if (this.isEmpty) return false
    this._bodySizes ??= new Set([...this._runs.values()].flatMap(runs => runs.map(run => run.bodyBytes)))
    return this._bodySizes.has(bodyBytes)
  }

  addRun (run: CrashedRun): void {
    if (run.crashedAt <= (this._clearedAt.get(run.digest) ?? -Infinity)) return
    const known = this._runs.get(run.digest) ?? []
    if (known.some(other => other.upstream === run.upstream)) return
    if (known.length === 0 && this._runs.size >= MAX_DIGESTS) this._evictLeastEvidence()
    this._runs.set(run.digest, [...known, run])
    this._invalidateCaches()
  }

  /** Discards the evidence against a request up to `at`, including evidence that is reported only later. */
  clear (digest: string, at: number, { isServed = false } = {}): void {
    this._clearedAt.set(digest, at)
    if (isServed) this._served.add(digest)
    const runs = this._runs.get(digest)
    if (runs !== undefined) this._setRuns(digest, runs.filter(run => run.crashedAt > at))
  }

  getCrashRecord (digest: string): CrashRecord {
    const runs = this._runs.get(digest)
    if (runs === undefined) return NO_CRASHES
    const { crashingDigests, explainedUpstreams } = this._getAnalysis()
    const isQuarantined = crashingDigests.has(digest)
    const countedRuns = isQuarantined ? runs : listUnexplainedRuns(runs, explainedUpstreams)
    return {
      crashCount: countSeparateCrashes(countedRuns),
      isQuarantined,
      upstreams: countedRuns.map(run => run.upstream),
      lastCrashAt: Math.max(-Infinity, ...countedRuns.map(run => run.crashedAt))
    }
  }

  listQuarantined (): readonly QuarantinedRequest[] {
    return [...this._getAnalysis().crashingDigests].map(digest => ({ digest, ...this.getCrashRecord(digest) }))
  }

  /** Removes requests without a recent crash. */
  expire (now: number): void {
    for (const [digest, runs] of [...this._runs]) if (runs.every(run => now - run.crashedAt > EVIDENCE_RETENTION_MS)) this._setRuns(digest, [])
    for (const [digest, at] of [...this._clearedAt]) if (now - at > EVIDENCE_RETENTION_MS) this._removeCleared(digest)
  }

  private _removeCleared (digest: string): void {
    this._clearedAt.delete(digest)
    this._served.delete(digest)
    this._invalidateCaches()
  }

  private _setRuns (digest: string, runs: readonly CrashedRun[]): void {
    if (runs.length === 0) this._runs.delete(digest)
    else this._runs.set(digest, runs)
    this._invalidateCaches()
  }

  /** Evicts the oldest of the requests with the fewest crashes, so that quarantined ones are evicted last. */
  private _evictLeastEvidence (): void {
    const fewest = Math.min(...[...this._runs.values()].map(runs => runs.length))
    for (const [digest, runs] of this._runs) {
      if (runs.length === fewest) return this._setRuns(digest, [])
    }
  }

  private _invalidateCaches (): void {
    this._bodySizes = undefined
    this._analysis = undefined
  }

  private _getAnalysis (): CrashAnalysis {
    this._analysis ??= findCrashingRequests(this._runs, this._served)
    return this._analysis
  }
}
