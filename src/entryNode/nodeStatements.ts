/**
 * Hands what upstreams say of themselves to whoever acts on it, whichever call they said it to.
 */
import type { ILogService } from '../services/log/node/logger.ts'
import { dispatchStatements } from '../services/upstream/common/upstreamStatement.ts'
import type { StatedByUpstream, StatementReceivers } from '../services/upstream/common/upstreamStatement.ts'

export interface NodeStatementsOptions extends Omit<StatementReceivers, 'invalid'> {
  readonly log: ILogService
}

/** A value is any bytes that fit into a head. */
const MAX_LOGGED_CHARACTERS = 80

export class NodeStatements {
  private readonly _receivers: StatementReceivers
  private _invalidCount = 0

  constructor ({ log, ...receivers }: NodeStatementsOptions) {
    this._receivers = {
      ...receivers,
      invalid: (upstream, { name, value }) => {
        this._invalidCount++
        log.warn('statement_invalid', { upstream, name, value: value.slice(0, MAX_LOGGED_CHARACTERS), length: value.length })
      }
    }
  }

  /** Statements since the start whose values mean nothing. */
  get invalidCount (): number {
    return this._invalidCount
  }

  note (stated: StatedByUpstream): void {
    dispatchStatements(stated, this._receivers)
  }
}
