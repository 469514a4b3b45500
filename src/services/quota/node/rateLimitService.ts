/**
 * Knows the rate limits that upstreams state in their answers, to whichever node. A node that hears of a change tells
 * all others.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { formatLimitSubject } from '../../facts/common/fact.ts'
import { isFactOf } from '../../facts/common/factStore.ts'
import type { FactStore, HeldFactOf } from '../../facts/common/factStore.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { RateLimitBook } from '../common/rateLimitBook.ts'
import type { HeardRate } from '../common/rateLimitBook.ts'

export interface RateLimitServiceOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly facts: FactStore
  /** This node, by its address. */
  readonly node: string
  /** Grows with each boot of the host. */
  readonly incarnation: number
}

/** An upstream's limit as this node knows it, for the dump. */
export interface KnownLimit {
  readonly upstream: string
  readonly perS: number
  readonly ageMs: number
}

/** A limit that stays in force is announced again, or nodes that join later would not learn of it. */
const REPEAT_MS = 60_000
/** Changes of one upstream's limit are announced this often at most. */
const MIN_PERIOD_MS = 100

export class RateLimitService extends Disposable {
  private readonly _options: RateLimitServiceOptions
  private readonly _book = new RateLimitBook()
  private _factCounter = 0

  constructor (options: RateLimitServiceOptions) {
    super()
    this._options = options
    this._register(options.facts.onDidChange(fact => { if (isFactOf(fact, 'limit') && fact.source !== '') this._takeFact(fact) }))
  }

  /** Takes in what came with an answer: requests per second, or that there is no limit. */
  note (upstream: string, perS: number | undefined): void {
    const heardAt = this._options.clock.now()
    const held = this._book.get(upstream)
    const ageMs = heardAt - (held?.heardAt ?? -Infinity)
    const isKnown = held?.perS === perS && (perS === undefined || ageMs < REPEAT_MS)
    if (isKnown || ageMs < MIN_PERIOD_MS) return
    this._apply({ upstream, perS, heardAt }, '')
    const { facts, node, incarnation } = this._options
    facts.merge({ subject: formatLimitSubject(upstream, node), incarnation, counter: ++this._factCounter, value: { kind: 'limit', upstream, perS }, ageMs: 0 })
  }

  /** Requests per second; undefined where the upstream accepts any number. */
  findLimit (upstream: string): number | undefined {
    return this._book.findLimit(upstream)
  }

  /** The limits in force. */
  listLimits (): readonly KnownLimit[] {
    const now = this._options.clock.now()
    return this._book.listLimits().map(({ upstream, perS = 0, heardAt }) => ({ upstream, perS, ageMs: Math.round(now - heardAt) }))
  }

  private _takeFact ({ value: { upstream, perS }, observedAt, source }: HeldFactOf<'limit'>): void {
    this._apply({ upstream, perS, heardAt: observedAt }, source)
  }

  private _apply (heard: HeardRate, source: string): void {
    const { clock, log } = this._options
    const { upstream, perS, heardAt } = heard
    const before = this._book.findLimit(upstream)
    if (!this._book.note(heard) || before === perS) return
    log.info('rate_limit_changed', { upstream, per_s: perS ?? 'none', before: before ?? 'none', source: source === '' ? 'own' : source, age_ms: Math.round(clock.now() - heardAt) })
  }
}
