/**
 * Why a caller got no whole answer.
 */
import type { StageCost } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { resultCodes } from '../services/result/common/resultCodes.ts'

/** What is known of the request's work; `notRun` means that no stage was ever sent. */
export type ClientExecution = 'notRun' | 'mayHaveRun' | 'incomplete'

export interface ClientErrorOptions {
  readonly code: number
  readonly resultName: string
  readonly message: string
  readonly execution: ClientExecution
  readonly place?: string
  readonly value?: string
  /** When to come back; 0 means at once. */
  readonly retryAfterMs?: number
  readonly costs?: readonly StageCost[]
  /** Continues repeatable work. */
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

/** An error that the client itself found. */
export function createClientError (resultName: keyof typeof resultCodes, message: string, execution: ClientExecution): ClientError {
  return new ClientError({ code: resultCodes[resultName], resultName, message, execution })
}
