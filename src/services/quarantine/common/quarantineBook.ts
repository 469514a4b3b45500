/**
 * What this node knows of requests that were under way when upstreams ended, from its own runs and from its peers.
 * Bounded, and forgotten after a while.
 */
import { countSeparateEnds, decideGuilt, listUnexplained } from './crashEvidence.ts'
import type { EndedRun, Verdict } from './crashEvidence.ts'

/** What is held against a request. */
export interface Standing {
  /** Upstreams that ended under it one after another and whose end nothing else explains. */
  readonly ends: number
  /** It is no longer sent. */
  readonly isQuarantined: boolean
  readonly upstreams: readonly string[]
  /** When the last of them ended, on this process's clock. */
  readonly lastEndedAt: number
}

export const NO_STANDING: Standing = { ends: 0, isQuarantined: false, upstreams: [], lastEndedAt: -Infinity }

/** A request that is no longer sent, as operators are told of it. */
export interface QuarantinedRequest extends Standing {
  readonly digest: string
}

/**
 * Evidence is kept so long after the last end. Whoever mends an upstream's software restarts it within this, as a rule;
 * a request that still ends what runs it costs three more upstreams then.
 */
export const KEEP_EVIDENCE_MS = 600_000
/** Requests that anything is held against; each needs an upstream that ended, so no flood of bodies can fill it. */
const MAX_DIGESTS = 2000

export class QuarantineBook {
  private readonly _runs = new Map<string, readonly EndedRun[]>()
  private readonly _clearedAt = new Map<string, number>()
  /** Requests that an upstream has answered since an end under them; forgotten when it is forgotten that they were cleared. */
  private readonly _served = new Set<string>()
  private _bodySizes: ReadonlySet<number> | undefined
  private _verdict: Verdict | undefined

  get isEmpty (): boolean {
    return this._runs.size === 0
  }

  /** Whether anything is held against a request with so many bytes of body; digests cost time, lengths do not. */
  holdsSize (bodyBytes: number): boolean {
    if (this.isEmpty) return false
    this._bodySizes ??= new Set([...this._runs.values()].flatMap(runs => runs.map(run => run.bodyBytes)))
    return this._bodySizes.has(bodyBytes)
  }

  add (run: EndedRun): void {
    if (run.endedAt <= (this._clearedAt.get(run.digest) ?? -Infinity)) return
    const known = this._runs.get(run.digest) ?? []
    if (known.some(other => other.upstream === run.upstream)) return
    if (known.length === 0 && this._runs.size >= MAX_DIGESTS) this._forgetLeast()
    this._runs.set(run.digest, [...known, run])
    this._forgetVerdict()
  }

  /** Takes back what was held against a request until a moment, also what is told only later. */
  clear (digest: string, at: number, { isServed = false } = {}): void {
    this._clearedAt.set(digest, at)
    if (isServed) this._served.add(digest)
    const runs = this._runs.get(digest)
    if (runs !== undefined) this._keep(digest, runs.filter(run => run.endedAt > at))
  }

  judge (digest: string): Standing {
    const runs = this._runs.get(digest)
    if (runs === undefined) return NO_STANDING
    const { guilty, explained } = this._getVerdict()
    const isQuarantined = guilty.has(digest)
    const counted = isQuarantined ? runs : listUnexplained(runs, explained)
    return {
      ends: countSeparateEnds(counted),
      isQuarantined,
      upstreams: counted.map(run => run.upstream),
      lastEndedAt: Math.max(-Infinity, ...counted.map(run => run.endedAt))
    }
  }

  listQuarantined (): readonly QuarantinedRequest[] {
    return [...this._getVerdict().guilty].map(digest => ({ digest, ...this.judge(digest) }))
  }

  /** Forgets requests under which nothing has ended for long. */
  expire (now: number): void {
    for (const [digest, runs] of [...this._runs]) if (runs.every(run => now - run.endedAt > KEEP_EVIDENCE_MS)) this._keep(digest, [])
    for (const [digest, at] of [...this._clearedAt]) if (now - at > KEEP_EVIDENCE_MS) this._forgetCleared(digest)
  }

  private _forgetCleared (digest: string): void {
    this._clearedAt.delete(digest)
    this._served.delete(digest)
    this._forgetVerdict()
  }

  private _keep (digest: string, runs: readonly EndedRun[]): void {
    if (runs.length === 0) this._runs.delete(digest)
    else this._runs.set(digest, runs)
    this._forgetVerdict()
  }

  /** The oldest of those with the fewest ends: what is quarantined goes last. */
  private _forgetLeast (): void {
    const fewest = Math.min(...[...this._runs.values()].map(runs => runs.length))
    for (const [digest, runs] of this._runs) {
      if (runs.length === fewest) return this._keep(digest, [])
    }
  }

  private _forgetVerdict (): void {
    this._bodySizes = undefined
    this._verdict = undefined
  }

  private _getVerdict (): Verdict {
    this._verdict ??= decideGuilt(this._runs, this._served)
    return this._verdict
  }
}
