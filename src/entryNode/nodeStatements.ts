/**
 * The parts of a node that act on what upstreams say of themselves, whichever call they said it with.
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
  /** Takes in the rate that an upstream accepts: requests per second, or that there is no limit. */
  readonly noteRate: (upstream: string, perS: number | undefined) => void
}

const ANSWER_SIGNAL = 'answer'
/** A value is any bytes that fit into a head. */
const MAX_LOGGED_CHARACTERS = 80

export class NodeStatements extends Disposable {
  readonly backoffs: BackoffService
  readonly guard: SendGuard
  private readonly _options: NodeStatementsOptions
  private readonly _receivers: StatementReceivers
  private _invalidCount = 0
  private readonly _onDidNote = this._register(new Emitter<StatementKind>())
  /** An upstream said something of itself; that it has no limit is not told. */
  readonly onDidNote = this._onDidNote.event

  constructor (options: NodeStatementsOptions) {
    super()
    this._options = options
    const { registry, noteRate } = options
    this.backoffs = this._register(new BackoffService(options))
    this.guard = new SendGuard({ ...options, backoffs: this.backoffs })
    this._receivers = {
      rate: (upstream, { perS }) => noteRate(upstream, perS),
      leaving: upstream => registry.markLeaving(upstream, ANSWER_SIGNAL),
      backoff: (upstream, { forMs }) => this.backoffs.recordBackoff(upstream, forMs),
      invalid: (upstream, { name, value }) => this._noteInvalid(upstream, name, value)
    }
  }

  /** Statements since the start whose values mean nothing. */
  get invalidCount (): number {
    return this._invalidCount
  }

  note (stated: StatementBatch): void {
    dispatchStatements(stated, this._receivers)
    for (const statement of stated.statements) if (!isPlain(statement)) this._onDidNote.fire(statement.kind)
  }

  private _noteInvalid (upstream: string, name: string, value: string): void {
    this._invalidCount++
    this._options.log.warn('statement_invalid', { upstream, name, value: value.slice(0, MAX_LOGGED_CHARACTERS), length: value.length })
  }
}

/** What nearly every answer says. */
function isPlain (statement: UpstreamStatement): boolean {
  return statement.kind === 'rate' && statement.perS === undefined
}
