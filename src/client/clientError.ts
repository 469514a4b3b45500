/**
 * Errors that the client library returns when it has no complete answer.
 */
import type { StageCost } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { resultCodes } from '../services/result/common/resultCodes.ts'

/** Whether the request was executed, as far as is known; `notRun` means that no stage was ever sent to an upstream. */
export type ClientExecution = 'notRun' | 'mayHaveRun' | 'incomplete'

export interface ClientErrorOptions {
  readonly code: number
  readonly resultName: string
  readonly message: string
  readonly execution: ClientExecution
  readonly place?: string
  readonly value?: string
  /** Delay before a retry, in milliseconds; 0 allows an immediate retry. */
  readonly retryAfterMs?: number
  readonly costs?: readonly StageCost[]
  /** Lets a repeatable request resume after its completed stages; pass it to the next submission. */
  readonly checkpoint?: Uint8Array
}

export class ClientError extends Error {
  readonly code: number
  readonly resultName: string
  readonly execution: ClientExecution
  readonly place: string
  readonly value: string
  readonly retryAfterMs: number
  readonly costs: readonly StageCost[]
  readonly checkpoint: Uint8Array | undefined

  constructor (options: ClientErrorOptions) {
    super(options.message)
    this.name = 'ClientError'
    this.code = options.code
    this.resultName = options.resultName
    this.execution = options.execution
    this.place = options.place ?? ''
    this.value = options.value ?? ''
    this.retryAfterMs = options.retryAfterMs ?? 0
    this.costs = options.costs ?? []
    this.checkpoint = options.checkpoint
  }

  override toString (): string {
    const place = this.place === '' ? '' : ` at ${this.place}`
    const value = this.value === '' ? '' : ` (found ${this.value})`
    return `${this.code} ${this.resultName}${place}: ${this.message}${value}; execution: ${this.execution}`
  }
}

/** Creates an error that was detected by the client itself. */
export function createClientError (resultName: keyof typeof resultCodes, message: string, execution: ClientExecution): ClientError {
  return new ClientError({ code: resultCodes[resultName], resultName, message, execution })
}
