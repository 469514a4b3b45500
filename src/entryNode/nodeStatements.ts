/**
 * Applies the statements that upstreams send about themselves (rate limit, leaving, backoff) with any kind of answer.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import { BackoffService } from '../services/backoff/node/backoffService.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { dispatchStatements } from '../services/upstream/common/upstreamStatement.ts'
import type { StatementBatch, StatementKind, StatementReceivers, UpstreamStatement } from '../services/upstream/common/upstreamStatement.ts'
import type { UpstreamRegistry } from '../services/upstream/common/upstreamRegistry.ts'
import { SendGuard } from '../services/upstream/node/sendGuard.ts'

export interface NodeStatementsOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  /** Records the rate that an upstream accepts, in requests per second; undefined means that it has no limit. */
  readonly recordRateLimit: (upstream: string, perS: number | undefined) => void
}

const ANSWER_SIGNAL = 'answer'
/** An invalid value may be as long as a whole response head. */
const MAX_LOGGED_CHARACTERS = 80

export class NodeStatements extends Disposable {
  readonly backoffs: BackoffService
  readonly guard: SendGuard
  private readonly _options: NodeStatementsOptions
  private readonly _receivers: StatementReceivers
  private _invalidCount = 0
  private readonly _onDidRecordStatement = this._register(new Emitter<StatementKind>())
  /** Fires for each statement of an upstream, except for the statement that it has no limit. */
  readonly onDidRecordStatement = this._onDidRecordStatement.event

  constructor (options: NodeStatementsOptions) {
    super()
    this._options = options
    const { registry, recordRateLimit } = options
    this.backoffs = this._register(new BackoffService(options))
    this.guard = new SendGuard({ ...options, backoffs: this.backoffs })
    this._receivers = {
      rate: (upstream, { perS }) => recordRateLimit(upstream, perS),
      leaving: upstream => registry.markLeaving(upstream, ANSWER_SIGNAL),
      backoff: (upstream, { forMs }) => this.backoffs.recordBackoff(upstream, forMs),
      invalid: (upstream, { name, value }) => this._recordInvalidStatement(upstream, name, value)
    }
  }

  /** Statements with invalid values since the process start. */
  get invalidCount (): number {
    return this._invalidCount
  }

  recordStatements (batch: StatementBatch): void {
    dispatchStatements(batch, this._receivers)
    for (const statement of batch.statements) if (!isDefaultStatement(statement)) this._onDidRecordStatement.fire(statement.kind)
  }

  private _recordInvalidStatement (upstream: string, name: string, value: string): void {
    this._invalidCount++
    this._options.log.warn('statement_invalid', { upstream, name, value: value.slice(0, MAX_LOGGED_CHARACTERS), length: value.length })
  }
}

/** Whether a statement reports that there is no rate limit, as nearly every answer does. */
function isDefaultStatement (statement: UpstreamStatement): boolean {
  return statement.kind === 'rate' && statement.perS === undefined
}
