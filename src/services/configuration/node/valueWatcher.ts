/**
 * Reads the platform's configuration. A few stewards watch it for changes; the others receive changes from their peers
 * and only poll it at long intervals as a fallback.
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
  /** Whether this process is one of the few that watch. */
  readonly shouldWatch: () => boolean
  readonly onDidRead: (value: PlatformValue) => void
  /** How long one watch call waits for a change. */
  readonly watchTimeoutMs?: number
  /** How often a process that does not watch polls the value. */
  readonly fallbackPeriodMs?: number
  readonly retryDelayMs?: number
}

/** How often a process that does not watch checks whether it has become one that does. */
const ROLE_CHECK_PERIOD_MS = 500

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
    void this._firstRead.then(() => this._pollUntilDisposed())
  }

  /** Resolves when the first read has completed, whether or not the platform was reachable. */
  get firstRead (): Promise<void> {
    return this._firstRead
  }

  private async _pollUntilDisposed (): Promise<void> {
    let elapsedMs = 0
    while (!this._isDisposed) {
      if (this._options.shouldWatch()) {
        const startedAt = performance.now()
        await this._read(this._options.watchTimeoutMs ?? 10_000)
        // Avoids a busy loop if the platform answers at once without a new value.
        if (performance.now() - startedAt < 5) await waitFor(this._options.retryDelayMs ?? 250)
        elapsedMs = 0
        continue
      }
      await waitFor(ROLE_CHECK_PERIOD_MS)
      elapsedMs += ROLE_CHECK_PERIOD_MS
      if (elapsedMs < (this._options.fallbackPeriodMs ?? 30_000)) continue
      elapsedMs = 0
      await this._read(0)
    }
  }

  private async _read (waitMs: number): Promise<void> {
    const result = await this._options.reader.read(this._options.key, this._revision, waitMs)
    if (this._isDisposed) return
    result.caseOf({ Left: error => this._reportUnreachable(error), Right: value => this._acceptValue(value) })
    if (result.isLeft()) await waitFor(this._options.retryDelayMs ?? 250)
  }

  private _acceptValue (value: PlatformValue | undefined): void {
    if (!this._isReachable) this._options.log.info('platform_back', { key: this._options.key })
    this._isReachable = true
    // A platform that serves stale data may answer with an older revision, which is ignored.
    if (value === undefined || value.revision <= this._revision) return
    this._revision = value.revision
    this._options.onDidRead(value)
  }

  private _reportUnreachable (error: PepperwoodError): void {
    if (this._isReachable) this._options.log.warn('platform_unreachable', { key: this._options.key, reason: error.message })
    this._isReachable = false
  }
}
