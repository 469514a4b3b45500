/**
 * The error type of all components: a numbered result, the place that the error refers to and the value found there.
 */
import { resultCodes } from './resultCodes.ts'
import type { ResultName } from './resultCodes.ts'

export interface PepperwoodErrorOptions {
  readonly name: ResultName
  /** Longer messages, which may quote the value, are truncated. */
  readonly message: string
  /** For example a file and key, a field, a stage or an address. */
  readonly place?: string
  /** The value found at the place, as text. Longer values are truncated. */
  readonly value?: string
}

const MAX_VALUE_LENGTH = 120
const MAX_MESSAGE_LENGTH = 1000

export class PepperwoodError extends Error {
  readonly resultName: ResultName
  readonly code: number
  readonly place: string
  readonly value: string

  constructor (options: PepperwoodErrorOptions) {
    super(options.message.slice(0, MAX_MESSAGE_LENGTH))
    this.name = 'PepperwoodError'
    this.resultName = options.name
    this.code = resultCodes[options.name]
    this.place = options.place ?? ''
    this.value = (options.value ?? '').slice(0, MAX_VALUE_LENGTH)
  }

  override toString (): string {
    const place = this.place === '' ? '' : ` at ${this.place}`
    const value = this.value === '' ? '' : ` (found ${this.value})`
    return `${this.code} ${this.resultName}${place}: ${this.message}${value}`
  }
}

/** Converts any thrown value; a value of another type becomes the result `internal`. */
export function toPepperwoodError (thrown: unknown): PepperwoodError {
  if (thrown instanceof PepperwoodError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new PepperwoodError({ name: 'internal', message })
}
