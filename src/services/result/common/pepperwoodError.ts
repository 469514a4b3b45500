/**
 * The error that every part of the system reports: a numbered result, the place it is about and the value found there.
 */
import { resultCodes } from './resultCodes.ts'
import type { ResultName } from './resultCodes.ts'

/** What an error is about. */
export interface ProblemOptions {
  readonly name: ResultName
  readonly message: string
  /** A file and key, a field, a stage, an address. */
  readonly place?: string
  /** The value found there, as text. */
  readonly value?: string
}

const MAX_VALUE_LENGTH = 120

export class PepperwoodError extends Error {
  readonly resultName: ResultName
  readonly code: number
  readonly place: string
  readonly value: string

  constructor (options: ProblemOptions) {
    super(options.message)
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

/** Turns anything thrown into a typed error. */
export function toPepperwoodError (thrown: unknown): PepperwoodError {
  if (thrown instanceof PepperwoodError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new PepperwoodError({ name: 'internal', message })
}
