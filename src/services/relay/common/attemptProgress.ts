/**
 * How far an upstream's answer to one attempt has come.
 */

/** No part of the answer has arrived, only its head, or output as well. */
export type AnswerStage = 'none' | 'head' | 'output'

export class AttemptProgress {
  private _hasHead = false
  /** Infinity until it has arrived. */
  private _firstOutputAt = Infinity
  /** When the latest part of the answer arrived; when the request was sent if none has. */
  private _lastProgressAt: number
  /** Infinity until the attempt has ended. */
  private _endedAt = Infinity

  /** `sentAt`, like all times of this class, is in milliseconds on this process's clock. */
  constructor (readonly sentAt: number) {
    this._lastProgressAt = sentAt
  }

  get firstOutputAt (): number {
    return this._firstOutputAt
  }

  get stage (): AnswerStage {
    if (this._firstOutputAt !== Infinity) return 'output'
    return this._hasHead ? 'head' : 'none'
  }

  recordHead (now: number): void {
    this._hasHead = true
    this._lastProgressAt = now
  }

  recordFirstOutput (now: number): void {
    this._firstOutputAt = now
    this._lastProgressAt = now
  }

  recordOutput (now: number): void {
    this._lastProgressAt = now
  }

  recordEnd (now: number): void {
    this._endedAt = now
  }

  /** Time from the first to the last output, 0 if there was none. The end of the attempt does not count, since it may be noticed late. */
  get outputMs (): number {
    return this._firstOutputAt === Infinity ? 0 : this._lastProgressAt - this._firstOutputAt
  }

  /** For how long the upstream had been silent when the attempt ended; 0 while it runs. */
  get silentMs (): number {
    return this.hasEnded ? this.computeSilentMs(this._endedAt) : 0
  }

  /** For how long the upstream has been silent at a moment. */
  computeSilentMs (now: number): number {
    return now - this._lastProgressAt
  }

  get hasEnded (): boolean {
    return this._endedAt !== Infinity
  }

  get endedAt (): number {
    return this._endedAt
  }
}
