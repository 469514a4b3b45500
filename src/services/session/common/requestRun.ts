/**
 * A request at its home gate: its attempts and the answer received so far. The request runs once; any number of callers
 * can attach to the run.
 */
import { Emitter } from '../../../base/common/event.ts'
import type { StageCost } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { LocatedGate } from '../../locate/common/locatePolicy.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { AttemptLog } from './attemptLog.ts'
import type { ExecutionState } from './attemptLog.ts'

/** The run produced the whole answer. */
export interface WholeOutcome {
  readonly kind: 'whole'
  readonly digest: string
  readonly costs: readonly StageCost[]
}

/** The run ended without a whole answer. */
export interface RefusedOutcome {
  readonly kind: 'refused'
  readonly error: PepperwoodError
  readonly execution: ExecutionState
  /** How long the caller should wait before it submits again; 0 means immediately. */
  readonly retryAfterMs: number
  /** Other gates that the caller can use instead. */
  readonly gates: readonly LocatedGate[]
  readonly costs: readonly StageCost[]
}

export type RunOutcome = WholeOutcome | RefusedOutcome

export interface SignedCheckpoint {
  /** The checkpoint with its signature, as sent to the caller. */
  readonly signedBytes: Uint8Array
  readonly stagesDone: number
}

export interface RequestRunOptions {
  readonly requestId: string
  readonly customer: string
  /** Digest of the request's content. A submission with the same number and different content is refused. */
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
  readonly abortController = new AbortController()
  private readonly _chunks: string[] = []
  private _checkpoint: SignedCheckpoint | undefined
  private _outcome: RunOutcome | undefined
  private _answerSize = 0
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

  get checkpoint (): SignedCheckpoint | undefined {
    return this._checkpoint
  }

  get outcome (): RunOutcome | undefined {
    return this._outcome
  }

  /** Size of the answer in UTF-16 code units, plus the size of the checkpoint in bytes. */
  get size (): number {
    return this._answerSize + (this._checkpoint?.signedBytes.length ?? 0)
  }

  /** Adds a chunk. Chunks that arrive after the run has finished are discarded. */
  addChunk (text: string): void {
    if (this._outcome !== undefined) return
    this._chunks.push(text)
    this._answerSize += text.length
    this._onDidChange.fire()
  }

  setCheckpoint (checkpoint: SignedCheckpoint): void {
    if (this._outcome !== undefined) return
    this._checkpoint = checkpoint
    this._onDidChange.fire()
  }

  /** Finishes the run. Only the first call has an effect. */
  finish (runOutcome: RunOutcome): void {
    if (this._outcome !== undefined) return
    this._outcome = runOutcome
    this._onDidChange.fire()
  }
}
