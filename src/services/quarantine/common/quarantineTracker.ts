/**
 * Tracks what was in flight when upstreams crashed, from this node's own runs and from its peers. The number of requests is
 * bounded, and evidence expires.
 */
import { countSeparateCrashes, findCrashCauses, listUnexplainedRuns } from './crashEvidence.ts'
import type { CrashAnalysis, CrashCause, CrashedRun, Evidence } from './crashEvidence.ts'
import { isPartKey, parsePartKey } from './partKey.ts'
import type { IRequestIdentity } from './requestIdentity.ts'

/** The crashes counted against one request. */
export interface CrashRecord {
  /** Successive crashes while the request was in flight that are not attributed to another cause. */
  readonly crashCount: number
  /** Whether the request is no longer sent. */
  readonly isQuarantined: boolean
  /** The parts of its prompt that the crashes are attributed to; empty if they are attributed to the request as a whole. */
  readonly parts: readonly string[]
  readonly upstreams: readonly string[]
  /** Time of the last of these crashes, in milliseconds on this process's clock. */
  readonly lastCrashAt: number
}

export const NO_CRASHES: CrashRecord = { crashCount: 0, isQuarantined: false, parts: [], upstreams: [], lastCrashAt: -Infinity }

/** A quarantined request, or parts of prompts that requests are quarantined for, as listed for operators. */
export interface QuarantineEntry extends CrashRecord {
  /** Undefined for parts of prompts. */
  readonly digest: string | undefined
}

/**
 * How long evidence is kept after the last crash. Operators usually deploy fixed upstream software within this time; a
 * request that still crashes upstreams afterwards costs three more of them.
 */
export const EVIDENCE_RETENTION_MS = 600_000
/** Maximum number of tracked requests. Each entry requires a crashed upstream, so many different bodies alone cannot fill it. */
const MAX_REQUESTS = 2000
const MAX_SOUND_PARTS = 2000

export class QuarantineTracker {
  /** Runs of the same request, by its digest and the parts of its prompt, which are not in the digest. */
  private readonly _runs = new Map<string, readonly CrashedRun[]>()
  private readonly _clearedAt = new Map<string, number>()
  /** Requests and parts that an upstream answered after a crash; an entry expires together with its `_clearedAt` entry. */
  private readonly _served = new Set<string>()
  /** Parts that upstreams answered while there was no evidence against them, the latest last. */
  private readonly _soundParts = new Set<string>()
  private _bodySizes: ReadonlySet<number> | undefined
  private _evidence: Evidence | undefined
  private _partEvidence: Evidence | undefined
  private _analysis: CrashAnalysis | undefined
  /** Groups of runs that are the evidence for the causes of the latest analysis. */
  private _retainedGroups: ReadonlySet<string> = new Set()

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
    if (listKeys(run).every(key => this._isCleared(key, run))) return
    const group = formatGroup(run)
    const known = this._runs.get(group) ?? []
    if (known.some(other => other.upstream === run.upstream)) return
    if (known.length === 0 && this._runs.size >= MAX_REQUESTS) this._evictLeastEvidence()
    this._runs.set(group, [...known, run])
    this._invalidateCaches()
  }

  /** Discards the evidence against a request or part up to `at`, including evidence that is reported only later. */
  clear (key: string, at: number, { isServed = false } = {}): void {
    this._clearedAt.set(key, Math.max(at, this._clearedAt.get(key) ?? -Infinity))
    if (isServed) this._served.add(key)
    const evidence = this._getEvidence().get(key) ?? []
    for (const group of new Set([...evidence].map(formatGroup))) {
      this._setRuns(group, (this._runs.get(group) ?? []).filter(run => !listKeys(run).every(other => this._isCleared(other, run))))
    }
    this._invalidateCaches()
  }

  /** Records that a request with these parts was answered completely. */
  recordAnsweredParts (partKeys: readonly string[]): void {
    const evidence = this._getEvidence()
    for (const key of partKeys) {
      if (evidence.has(key)) continue
      this._soundParts.delete(key)
      this._soundParts.add(key)
    }
    for (const oldest of this._soundParts) {
      if (this._soundParts.size <= MAX_SOUND_PARTS) return
      this._soundParts.delete(oldest)
    }
  }

  /** Whether an answer to a request that was sent at `sentAt` disproves evidence against a part of its prompt. */
  isClearedBy (partKey: string, sentAt: number): boolean {
    return [...this._getEvidence().get(partKey) ?? []].some(run => run.crashedAt < sentAt)
  }

  hasEvidence (key: string): boolean {
    return this._getEvidence().has(key)
  }

  /** What is known against a request, as a whole or for parts of its prompt. */
  findRecord (request: IRequestIdentity): CrashRecord {
    if (this.isEmpty) return NO_CRASHES
    const { causes, suspectedParts } = this._getAnalysis()
    const cause = causes.find(({ keys }) => this._hasAllKeys(request, keys))
    if (cause !== undefined) return createRecord(cause, true)
    const record = this.hasBodySize(request.bodyBytes) ? this.getCrashRecord(request.getDigest()) : NO_CRASHES
    const suspected = suspectedParts.find(({ keys }) => this._hasAllKeys(request, keys))
    return suspected === undefined || suspected.crashCount <= record.crashCount ? record : createRecord(suspected, false)
  }

  /** What is known against the request with this digest as a whole. */
  getCrashRecord (digest: string): CrashRecord {
    const runs = this._getEvidence().get(digest)
    if (runs === undefined) return NO_CRASHES
    const { causes, explainedUpstreams } = this._getAnalysis()
    const cause = causes.find(({ keys }) => keys.includes(digest))
    if (cause !== undefined) return createRecord(cause, true)
    const unexplained = listUnexplainedRuns(runs, explainedUpstreams)
    return createRecord({ keys: [digest], runs: new Set(unexplained), crashCount: countSeparateCrashes(unexplained) }, false)
  }

  listQuarantined (): readonly QuarantineEntry[] {
    return this._getAnalysis().causes.map(cause => ({ digest: cause.keys.find(key => !isPartKey(key)), ...createRecord(cause, true) }))
  }

  /** Removes requests without a recent crash. */
  expire (now: number): void {
    for (const [group, runs] of [...this._runs]) if (runs.every(run => now - run.crashedAt > EVIDENCE_RETENTION_MS)) this._setRuns(group, [])
    for (const [key, at] of [...this._clearedAt]) if (now - at > EVIDENCE_RETENTION_MS) this._removeCleared(key)
  }

  private _hasAllKeys (request: IRequestIdentity, keys: readonly string[]): boolean {
    const partKeys = request.getPartKeys()
    return keys.every(key => isPartKey(key) ? partKeys.includes(key) : this.hasBodySize(request.bodyBytes) && request.getDigest() === key)
  }

  private _removeCleared (key: string): void {
    this._clearedAt.delete(key)
    this._served.delete(key)
    this._invalidateCaches()
  }

  private _isCleared (key: string, { crashedAt }: CrashedRun): boolean {
    return crashedAt <= (this._clearedAt.get(key) ?? -Infinity)
  }

  private _setRuns (group: string, runs: readonly CrashedRun[]): void {
    if (runs.length === 0) this._runs.delete(group)
    else this._runs.set(group, runs)
    this._invalidateCaches()
  }

  /** Evicts the oldest of the requests with the fewest crashes, those behind the latest causes only if there is no other. */
  private _evictLeastEvidence (): void {
    const others = [...this._runs].filter(([group]) => !this._retainedGroups.has(group))
    const candidates = others.length > 0 ? others : [...this._runs]
    const fewest = Math.min(...candidates.map(([, runs]) => runs.length))
    const evicted = candidates.find(([, runs]) => runs.length === fewest)
    if (evicted !== undefined) this._setRuns(evicted[0], [])
  }

  private _invalidateCaches (): void {
    this._bodySizes = undefined
    this._evidence = undefined
    this._partEvidence = undefined
    this._analysis = undefined
  }

  private _getAnalysis (): CrashAnalysis {
    if (this._analysis === undefined) {
      this._analysis = findCrashCauses(this._getEvidence(), { served: this._served, sound: this._soundParts }, () => this._getPartEvidence())
      this._retainedGroups = new Set(this._analysis.causes.flatMap(({ runs }) => [...runs].map(formatGroup)))
    }
    return this._analysis
  }

  private _getEvidence (): Evidence {
    this._evidence ??= this._collectEvidence()
    return this._evidence
  }

  /** Leaves out parts that were answered after a crash, which are many and cannot be the cause of late crashes. */
  private _getPartEvidence (): Evidence {
    if (this._partEvidence !== undefined) return this._partEvidence
    const evidence = new Map<string, Set<CrashedRun>>()
    for (const run of [...this._runs.values()].flat()) {
      for (const key of run.partKeys ?? []) {
        if (this._served.has(key) || this._isCleared(key, run)) continue
        const known = evidence.get(key)
        if (known === undefined) evidence.set(key, new Set([run]))
        else known.add(run)
      }
    }
    this._partEvidence = evidence
    return evidence
  }

  /**
   * A run is evidence against its request and the parts of its prompt, unless they were cleared since. An upstream
   * crashes on a part when it begins to answer, so runs that had not come so far, or were past it, count against their parts
   * only if no other run was at that point.
   */
  private _collectEvidence (): Evidence {
    const evidence = new Map<string, Set<CrashedRun>>()
    const runs = [...this._runs.values()].flat()
    const startingAt = new Set(runs.filter(run => run.isStarting === true).map(run => run.upstream))
    const append = (key: string, run: CrashedRun) => {
      const known = evidence.get(key)
      if (known === undefined) evidence.set(key, new Set([run]))
      else known.add(run)
    }
    for (const run of runs) {
      if (!this._isCleared(run.digest, run)) append(run.digest, run)
      const isBystander = run.isStarting !== true && startingAt.has(run.upstream)
      if (!isBystander) for (const key of run.partKeys ?? []) if (!this._isCleared(key, run)) append(key, run)
    }
    return evidence
  }
}

function listKeys ({ digest, partKeys = [] }: CrashedRun): readonly string[] {
  return [digest, ...partKeys]
}

function formatGroup (run: CrashedRun): string {
  return listKeys(run).join()
}

function createRecord ({ keys, runs, crashCount }: CrashCause, isQuarantined: boolean): CrashRecord {
  const isWholeRequest = keys.some(key => !isPartKey(key))
  return {
    crashCount,
    isQuarantined,
    parts: isWholeRequest ? [] : keys.flatMap(key => parsePartKey(key) ?? []),
    upstreams: [...new Set([...runs].map(run => run.upstream))],
    lastCrashAt: Math.max(-Infinity, ...[...runs].map(run => run.crashedAt))
  }
}
