/**
 * Assembles an answer from its numbered chunks. A partial answer is never reported as complete.
 */
import { hashSha256 } from '../base/node/digest.ts'
import { Execution } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AnswerEvent, GateAddress, Refusal, StageCost } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { ClientError, createClientError } from './clientError.ts'
import type { ClientExecution } from './clientError.ts'

/** A complete answer, with its digest verified. */
export interface WholeAnswer {
  readonly requestId: string
  readonly text: string
  readonly costs: readonly StageCost[]
  /** From the first submission to the first chunk, in milliseconds. */
  readonly firstChunkMs: number
  readonly elapsedMs: number
  readonly chunkCount: number
}

/** State of the answer after an event. */
export type ReaderState =
  | { readonly kind: 'open' }
  | { readonly kind: 'whole', readonly text: string, readonly costs: readonly StageCost[] }
  | { readonly kind: 'refused', readonly error: ClientError, readonly gates: readonly GateAddress[] }
  /** The stream is inconsistent; the client has to reattach. */
  | { readonly kind: 'broken', readonly reason: string }

const EXECUTIONS: Readonly<Record<Execution, ClientExecution>> = {
  [Execution.UNSPECIFIED]: 'mayHaveRun',
  [Execution.NOT_RUN]: 'notRun',
  [Execution.MAY_HAVE_RUN]: 'mayHaveRun',
  [Execution.INCOMPLETE]: 'incomplete'
}

export function readRefusal (refusal: Refusal): ClientError {
  return new ClientError({
    code: refusal.code,
    resultName: refusal.name,
    message: refusal.message,
    execution: EXECUTIONS[refusal.execution],
    place: refusal.place,
    value: refusal.value,
    retryAfterMs: refusal.retryAfterMs,
    costs: refusal.costs,
    checkpoint: refusal.checkpoint.length > 0 ? refusal.checkpoint : undefined
  })
}

export class AnswerReader {
  private readonly _chunks: string[] = []
  private _checkpoint: Uint8Array | undefined

  constructor (private readonly _requestId: string, private readonly _onText: (text: string) => void) {}

  get chunkCount (): number {
    return this._chunks.length
  }

  /** The latest checkpoint of the request. */
  get checkpoint (): Uint8Array | undefined {
    return this._checkpoint
  }

  accept (answer: AnswerEvent): ReaderState {
    const { event } = answer
    switch (event.case) {
      case 'accepted':
        if (event.value.requestId === this._requestId) return { kind: 'open' }
        return { kind: 'broken', reason: `the answer is for request ${event.value.requestId}` }
      case 'chunk':
        return this._acceptChunk(event.value.index, event.value.text)
      case 'checkpoint':
        this._checkpoint = event.value.sealed
        return { kind: 'open' }
      case 'end':
        return this._acceptEnd(event.value.chunkCount, event.value.digest, event.value.costs)
      case 'refusal':
        return { kind: 'refused', error: readRefusal(event.value), gates: event.value.gates }
      default:
        return { kind: 'broken', reason: 'the event has no content' }
    }
  }

  /** Skips chunks that were already received on an earlier connection; a gap breaks the stream. */
  private _acceptChunk (index: number, text: string): ReaderState {
    if (index > this._chunks.length) return { kind: 'broken', reason: `received chunk ${index}, expected chunk ${this._chunks.length}` }
    if (index === this._chunks.length) {
      this._chunks.push(text)
      this._onText(text)
    }
    return { kind: 'open' }
  }

  private _acceptEnd (count: number, digest: string, costs: readonly StageCost[]): ReaderState {
    const text = this._chunks.join('')
    if (count !== this._chunks.length || digest !== hashSha256(text)) {
      const message = `expected ${count} chunks, received ${this._chunks.length}, or the digest differs`
      return { kind: 'refused', error: createClientError('answerTorn', message, 'mayHaveRun'), gates: [] }
    }
    return { kind: 'whole', text, costs }
  }
}
