/**
 * Brings the platform's configuration into this process. Stewards on duty watch; the others read seldom, as a fallback,
 * and get news from their peers.
 */
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { waitFor } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { PlatformReader, PlatformValue } from './platformReader.ts'

export interface ValueWatcherOptions {
  readonly reader: PlatformReader
  readonly key: string
  readonly log: ILogService
  /** Whether this process is among the few that watch. */
  readonly isOnDuty: () => boolean
  readonly onDidRead: (value: PlatformValue) => void
  readonly watchMs?: number
  /** How often a process that is not on duty reads. */
  readonly idlePeriodMs?: number
  readonly retryMs?: number
}

/** How often a process off duty looks whether it has come on duty. */
const DUTY_CHECK_MS = 500

export class ValueWatcher extends Disposable {
  private readonly _options: ValueWatcherOptions
  private _revision = 0
  private _isReachable = true
  private readonly _firstRead: Promise<void>

  constructor (options: ValueWatcherOptions) {
    super()
    this._options = options
    this._register(toDisposable(() => options.reader.dispose()))
    this._firstRead = this._read(0)
    void this._firstRead.then(() => this._follow())
  }

  /** Settles when the platform has answered once, or could not be reached. */
  get firstRead (): Promise<void> {
    return this._firstRead
  }

  private async _follow (): Promise<void> {
    let idleMs = 0
    while (!this._isDisposed) {
      if (this._options.isOnDuty()) {
        const before = performance.now()
        await this._read(this._options.watchMs ?? 10_000)
        // A platform that answers at once without news must not be asked without pause.
        if (performance.now() - before < 5) await waitFor(this._options.retryMs ?? 250)
        idleMs = 0
        continue
      }
      await waitFor(DUTY_CHECK_MS)
      idleMs += DUTY_CHECK_MS
      if (idleMs < (this._options.idlePeriodMs ?? 30_000)) continue
      idleMs = 0
      await this._read(0)
    }
  }

  private async _read (waitMs: number): Promise<void> {
    const result = await this._options.reader.read(this._options.key, this._revision, waitMs)
    if (this._isDisposed) return
    result.caseOf({ Left: error => this._reportUnreachable(error), Right: value => this._take(value) })
    if (result.isLeft()) await waitFor(this._options.retryMs ?? 250)
  }

  private _take (value: PlatformValue | undefined): void {
    if (!this._isReachable) this._options.log.info('platform_back', { key: this._options.key })
    this._isReachable = true
    // A platform that serves stale data may answer with an older revision: nothing to learn from it.
    if (value === undefined || value.revision <= this._revision) return
    this._revision = value.revision
    this._options.onDidRead(value)
  }

  private _reportUnreachable (error: PepperwoodError): void {
    if (this._isReachable) this._options.log.warn('platform_unreachable', { key: this._options.key, reason: error.message })
    this._isReachable = false
  }
}
