/**
 * How far an upstream's answer to one attempt has come.
 */

/** No part of the answer has arrived, only its head, or output as well. */
export type AnswerStage = 'none' | 'head' | 'output'

export class AttemptProgress {
  private _hasHead = false
  /** Infinity until it has arrived. */
  private _firstOutputAt = Infinity
  /** Infinity until the attempt has ended. */
  private _endedAt = Infinity

  /** `sentAt`, like all times of this class, is in milliseconds on this process's clock. */
  constructor (readonly sentAt: number) {}

  get firstOutputAt (): number {
    return this._firstOutputAt
  }

  get stage (): AnswerStage {
    if (this._firstOutputAt !== Infinity) return 'output'
    return this._hasHead ? 'head' : 'none'
  }

  recordHead (): void {
    this._hasHead = true
  }

  recordFirstOutput (now: number): void {
    this._firstOutputAt = now
  }

  recordEnd (now: number): void {
    this._endedAt = now
  }

  /** For how long the upstream had produced output when the attempt ended; 0 if there was none. */
  get outputMs (): number {
    return this._firstOutputAt === Infinity ? 0 : this._endedAt - this._firstOutputAt
  }

  get hasEnded (): boolean {
    return this._endedAt !== Infinity
  }

  get endedAt (): number {
    return this._endedAt
  }
}
