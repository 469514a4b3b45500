/**
 * Makes all nodes pause for a brittle upstream that refused a request of one of them. An upstream that has to refuse too many
 * requests in a second fails, and each node alone knows only its own.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { formatRefusalSubject } from '../../facts/common/fact.ts'
import { isFactOfKind } from '../../facts/common/factStore.ts'
import type { FactStore, StoredFactOf } from '../../facts/common/factStore.ts'
import { drawRefusalPauseMs } from '../common/refusalPause.ts'
import type { BackoffService } from './backoffService.ts'

export interface SharedRefusalsOptions {
  readonly clock: IClock
  readonly random: IRandom
  readonly facts: FactStore
  readonly backoffs: BackoffService
  /** Number of nodes that send to the same upstreams, this one and those that cannot be reached included. */
  readonly countNodes: () => number
}

/** Minimum time between two announcements for one upstream. */
const MIN_ANNOUNCE_INTERVAL_MS = 100
/** The queue of an upstream may be empty again after this time. */
const MAX_REFUSAL_AGE_MS = 1000

export class SharedRefusals extends Disposable {
  private readonly _options: SharedRefusalsOptions

  constructor (options: SharedRefusalsOptions) {
    super()
    this._options = options
    this._register(options.facts.onDidChange(fact => { if (isFactOfKind(fact, 'refusal') && fact.source !== '') this._processFact(fact) }))
  }

  /** Records that an upstream refused a request of this node for want of room, and tolerates few refusals. */
  recordRefusal (upstream: string, maxPerS: number): void {
    const { clock, facts } = this._options
    this._recordBackoff(upstream, maxPerS, 'own')
    const subject = formatRefusalSubject(upstream)
    const known = facts.get(subject)
    if (known !== undefined && clock.now() - known.observedAt < MIN_ANNOUNCE_INTERVAL_MS) return
    // Nodes that write at the same time say the same, so that one of the two facts suffices.
    facts.merge({ subject, incarnation: 1, counter: (known?.counter ?? 0) + 1, value: { kind: 'refusal', upstream, maxPerS }, ageMs: 0 })
  }

  private _processFact ({ value: { upstream, maxPerS }, observedAt, source }: StoredFactOf<'refusal'>): void {
    if (this._options.clock.now() - observedAt <= MAX_REFUSAL_AGE_MS) this._recordBackoff(upstream, maxPerS, source)
  }

  private _recordBackoff (upstream: string, maxPerS: number, source: string): void {
    const { backoffs, countNodes, random } = this._options
    backoffs.recordBackoff(upstream, drawRefusalPauseMs({ maxPerS, nodeCount: countNodes(), random }), `refused ${source}`)
  }
}
