/**
 * One request at its home: its attempts and its answer so far. Callers attach to it as often as they like;
 * it is run once.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { StageCost } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { LocatedGate } from '../../locate/common/locatePolicy.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { AttemptLog } from './attemptLog.ts'
import type { ExecutionClaim } from './attemptLog.ts'

/** The whole answer was given. */
export interface WholeEnd {
  readonly kind: 'whole'
  readonly digest: string
  readonly costs: readonly StageCost[]
}

/** No whole answer will come. */
export interface RefusedEnd {
  readonly kind: 'refused'
  readonly error: PepperwoodError
  readonly execution: ExecutionClaim
  /** When to come back; 0 means at once. */
  readonly retryAfterMs: number
  /** Where to go instead. */
  readonly gates: readonly LocatedGate[]
  readonly costs: readonly StageCost[]
}

export type RunEnd = WholeEnd | RefusedEnd

export interface SealedCheckpoint {
  readonly sealed: Uint8Array
  readonly stagesDone: number
}

export interface RequestRunOptions {
  readonly requestId: string
  readonly customer: string
  /** Of the request's content; the same number with another content is refused. */
  readonly contentDigest: string
  readonly isUnrepeatable: boolean
  readonly startedAt: number
}

export class RequestRun {
  readonly requestId: string
  readonly customer: string
  readonly contentDigest: string
  readonly isUnrepeatable: boolean
  readonly startedAt: number
  readonly attemptLog = new AttemptLog()
  readonly abort = new AbortController()
  private readonly _chunks: string[] = []
  private _checkpoint: SealedCheckpoint | undefined
  private _end: RunEnd | undefined
  private _size = 0
  private readonly _onDidChange = new Emitter<void>()
  readonly onDidChange = this._onDidChange.event

  constructor (options: RequestRunOptions) {
    this.requestId = options.requestId
    this.customer = options.customer
    this.contentDigest = options.contentDigest
    this.isUnrepeatable = options.isUnrepeatable
    this.startedAt = options.startedAt
  }

  get chunks (): readonly string[] {
    return this._chunks
  }

  get checkpoint (): SealedCheckpoint | undefined {
    return this._checkpoint
  }

  get end (): RunEnd | undefined {
    return this._end
  }

  /** What the kept answer takes, in UTF-16 units. */
  get size (): number {
    return this._size + (this._checkpoint?.sealed.length ?? 0)
  }

  /** Adds a chunk; a chunk after the end is dropped. */
  addChunk (text: string): void {
    if (this._end !== undefined) return
    this._chunks.push(text)
    this._size += text.length
    this._onDidChange.fire()
  }

  setCheckpoint (checkpoint: SealedCheckpoint): void {
    if (this._end !== undefined) return
    this._checkpoint = checkpoint
    this._onDidChange.fire()
  }

  /** Ends the run; the first end stands. */
  finish (end: RunEnd): void {
    if (this._end !== undefined) return
    this._end = end
    this._onDidChange.fire()
  }
}
