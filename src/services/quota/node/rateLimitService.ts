/**
 * Tracks the rate limits that upstreams state in their answers to any node. A node that observes a change announces it to
 * all others as a fact.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { formatLimitSubject } from '../../facts/common/fact.ts'
import { isFactOfKind } from '../../facts/common/factStore.ts'
import type { FactStore, StoredFactOf } from '../../facts/common/factStore.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { RateLimitTable } from '../common/rateLimitTable.ts'
import type { ObservedRateLimit } from '../common/rateLimitTable.ts'

export interface RateLimitServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  /** The address of this node. */
  readonly node: string
  /** Increases with each start of this node. */
  readonly incarnation: number
}

/** A limit known to this node, for operators. */
export interface KnownLimit {
  readonly upstream: string
  readonly perS: number
  readonly ageMs: number
}

/** A limit that stays in force is announced again, so that nodes that join later learn of it. */
const REANNOUNCE_PERIOD_MS = 60_000
/** Minimum time between two announcements for one upstream. */
const MIN_ANNOUNCE_INTERVAL_MS = 100

export class RateLimitService extends Disposable {
  private readonly _options: RateLimitServiceOptions
  private readonly _table = new RateLimitTable()
  private _factCounter = 0

  constructor (options: RateLimitServiceOptions) {
    super()
    this._options = options
    this._register(options.facts.onDidChange(fact => { if (isFactOfKind(fact, 'limit') && fact.source !== '') this._applyFact(fact) }))
  }

  /** Records the limit stated in an answer, in requests per second; undefined if the upstream stated that it has none. */
  recordLimit (upstream: string, perS: number | undefined): void {
    const observedAt = this._options.clock.now()
    const known = this._table.get(upstream)
    const ageMs = observedAt - (known?.observedAt ?? -Infinity)
    const isKnown = known?.perS === perS && (perS === undefined || ageMs < REANNOUNCE_PERIOD_MS)
    if (isKnown || ageMs < MIN_ANNOUNCE_INTERVAL_MS) return
    this._apply({ upstream, perS, observedAt }, '')
    const { facts, node, incarnation } = this._options
    facts.merge({ subject: formatLimitSubject(upstream, node), incarnation, counter: ++this._factCounter, value: { kind: 'limit', upstream, perS }, ageMs: 0 })
  }

  /** Returns the limit in requests per second, or undefined if none is known. */
  findLimit (upstream: string): number | undefined {
    return this._table.findLimit(upstream)
  }

  /** Lists the limits in force. */
  listLimits (): readonly KnownLimit[] {
    const now = this._options.clock.now()
    return this._table.listLimits().map(({ upstream, perS = 0, observedAt }) => ({ upstream, perS, ageMs: Math.round(now - observedAt) }))
  }

  private _applyFact ({ value: { upstream, perS }, observedAt, source }: StoredFactOf<'limit'>): void {
    this._apply({ upstream, perS, observedAt }, source)
  }

  private _apply (observed: ObservedRateLimit, source: string): void {
    const { clock, log } = this._options
    const { upstream, perS, observedAt } = observed
    const before = this._table.findLimit(upstream)
    if (!this._table.record(observed) || before === perS) return
    log.info('rate_limit_changed', { upstream, per_s: perS ?? 'none', before: before ?? 'none', source: source === '' ? 'own' : source, age_ms: Math.round(clock.now() - observedAt) })
  }
}
