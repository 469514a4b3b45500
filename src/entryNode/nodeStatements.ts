/**
 * Applies the statements that upstreams send about themselves (rate limit, leaving, backoff, brittleness, load) with any kind of answer.
 */
import { BoundedSet } from '../base/common/boundedSet.ts'
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import type { IRandom } from '../base/common/random.ts'
import { BackoffService } from '../services/backoff/node/backoffService.ts'
import { SharedRefusals } from '../services/backoff/node/sharedRefusals.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { StatedLoads } from '../services/upstream/common/statedLoads.ts'
import { dispatchStatements } from '../services/upstream/common/upstreamStatement.ts'
import type { StatedLoad } from '../services/upstream/common/statedLoad.ts'
import type { StatementBatch, StatementKind, StatementReceivers, UpstreamStatement } from '../services/upstream/common/upstreamStatement.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import { SendGuard } from '../services/upstream/node/sendGuard.ts'

export interface NodeStatementsOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly random: IRandom
  readonly facts: FactStore
  readonly registry: UpstreamRegistry
  /** Number of nodes that send to the same upstreams, this one included. */
  readonly countNodes: () => number
  /** Records the rate that an upstream accepts, in requests per second; undefined means that it has no limit. */
  readonly recordRateLimit: (upstream: string, perS: number | undefined) => void
}

interface InvalidValue {
  readonly name: string
  readonly value: string
}

const ANSWER_SIGNAL = 'answer'
/** An invalid value may be as long as a whole response head. */
const MAX_LOGGED_CHARACTERS = 80
/** Maximum number of upstreams remembered whose invalid loads were logged. */
const MAX_REMEMBERED_IDS = 2000

export class NodeStatements extends Disposable {
  readonly backoffs: BackoffService
  readonly guard: SendGuard
  readonly loads = new StatedLoads()
  private readonly _options: NodeStatementsOptions
  private readonly _receivers: StatementReceivers
  private _invalidCount = 0
  private _invalidLoadCount = 0
  private readonly _invalidLoadIds = new BoundedSet<string>(MAX_REMEMBERED_IDS)
  private readonly _onDidRecordStatement = this._register(new Emitter<StatementKind>())
  /** Fires for each statement of an upstream, except for loads and for the statement that it has no limit. */
  readonly onDidRecordStatement = this._onDidRecordStatement.event

  constructor (options: NodeStatementsOptions) {
    super()
    this._options = options
    const { registry, recordRateLimit } = options
    this.backoffs = this._register(new BackoffService(options))
    const refusals = this._register(new SharedRefusals({ ...options, backoffs: this.backoffs }))
    this.guard = new SendGuard({ ...options, backoffs: this.backoffs })
    this._receivers = {
      rate: (upstream, { perS }) => recordRateLimit(upstream, perS),
      leaving: upstream => registry.markLeaving(upstream, ANSWER_SIGNAL),
      backoff: (upstream, { forMs }) => this.backoffs.recordBackoff(upstream, forMs),
      brittleRefusal: (upstream, { maxPerS }) => refusals.recordRefusal(upstream, maxPerS),
      load: (upstream, { load }) => this._recordLoad(upstream, load),
      invalidLoad: (upstream, statement) => this._recordInvalidLoad(upstream, statement),
      invalid: (upstream, statement) => this._recordInvalidStatement(upstream, statement)
    }
    this._register(registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this.loads.delete(entry.id) }))
  }

  /** Statements with invalid values since the process start, loads excluded. */
  get invalidCount (): number {
    return this._invalidCount
  }

  /** Loads since the process start that could not be read. */
  get invalidLoadCount (): number {
    return this._invalidLoadCount
  }

  recordStatements (batch: StatementBatch): void {
    dispatchStatements(batch, this._receivers)
    for (const statement of batch.statements) if (!isDefaultStatement(statement)) this._onDidRecordStatement.fire(statement.kind)
  }

  /** An answer may arrive after its upstream was dropped, and nothing would delete the load then. */
  private _recordLoad (upstream: string, load: StatedLoad): void {
    if (this._options.registry.get(upstream) !== undefined) this.loads.record(upstream, load, this._options.clock.now())
  }

  /** Logged once per upstream, because it would otherwise be logged with nearly every answer. */
  private _recordInvalidLoad (upstream: string, statement: InvalidValue): void {
    this._invalidLoadCount++
    if (this._invalidLoadIds.has(upstream)) return
    this._invalidLoadIds.add(upstream)
    this._logInvalidValue(upstream, statement)
  }

  private _recordInvalidStatement (upstream: string, statement: InvalidValue): void {
    this._invalidCount++
    this._logInvalidValue(upstream, statement)
  }

  private _logInvalidValue (upstream: string, { name, value }: InvalidValue): void {
    this._options.log.warn('statement_invalid', { upstream, name, value: value.slice(0, MAX_LOGGED_CHARACTERS), length: value.length })
  }
}

/** Whether nearly every answer contains such a statement: a load, or that there is no rate limit. */
function isDefaultStatement (statement: UpstreamStatement): boolean {
  return statement.kind === 'load' || (statement.kind === 'rate' && statement.perS === undefined)
}
