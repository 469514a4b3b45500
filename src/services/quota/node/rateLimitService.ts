/**
 * Knows the rate limits that upstreams state in their answers.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { RateLimitBook } from '../common/rateLimitBook.ts'
import type { UpstreamRateStatement } from '../common/rateStatement.ts'

export interface RateLimitServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
}

/** An upstream's limit as this node knows it, for the dump. */
export interface KnownLimit {
  readonly upstream: string
  readonly perS: number
  readonly ageMs: number
}

export class RateLimitService extends Disposable {
  private readonly _options: RateLimitServiceOptions
  private readonly _book = new RateLimitBook()
  private _invalidCount = 0

  constructor (options: RateLimitServiceOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._book.forget(entry.id) }))
  }

  /** Statements since the start whose value was no rate. */
  get invalidCount (): number {
    return this._invalidCount
  }

  /** Takes in what came with an answer. */
  note ({ upstream, statement }: UpstreamRateStatement): void {
    if (statement.kind === 'invalid') return this._noteInvalid(upstream, statement.name, statement.value)
    const perS = statement.kind === 'limited' ? statement.perS : undefined
    const before = this._book.findLimit(upstream)
    if (!this._book.note({ upstream, perS, heardAt: this._options.clock.now() })) return
    this._options.log.info('rate_limit_changed', { upstream, per_s: perS ?? 'none', before: before ?? 'none', source: 'own', age_ms: 0 })
  }

  /** The limits in force. */
  listLimits (): readonly KnownLimit[] {
    const now = this._options.clock.now()
    return this._book.listLimits().map(({ upstream, perS = 0, heardAt }) => ({ upstream, perS, ageMs: Math.round(now - heardAt) }))
  }

  private _noteInvalid (upstream: string, name: string, value: string): void {
    this._invalidCount++
    this._options.log.warn('rate_limit_invalid', { upstream, name, value })
  }
}
