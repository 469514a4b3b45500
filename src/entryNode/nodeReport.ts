/**
 * What a node tells the others of itself: where its callers go, whether they may, and how much it has to do.
 */
import type { IClock } from '../base/common/clock.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import { formatGateSubject } from '../services/facts/common/fact.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'

/** A node's state, as it is told. */
export interface NodeState {
  readonly isReady: boolean
  readonly isDraining: boolean
  readonly inFlight: number
  readonly recentRequests: number
  readonly configuration: ConfigurationNumber
}

export interface NodeReportOptions {
  readonly clock: IClock
  readonly facts: FactStore
  /** Where callers reach the node. */
  readonly address: string
  readonly hall: string
  /** Grows with each boot of the host. */
  readonly incarnation: number
  readonly getState: () => NodeState
  /** The others should hear of it now. */
  readonly onDidReport: (state: NodeState) => void
}

/** What it says without anything new, so that a lost fact is mended; probes tell whether it lives. */
const REPEAT_PERIOD_MS = 10_000

export class NodeReport {
  private readonly _options: NodeReportOptions
  private _factCounter = 0
  private _reportedWord = ''
  private _reportedAt = -Infinity

  constructor (options: NodeReportOptions) {
    this._options = options
  }

  /** Says whether callers may use this node, when that has changed or was not said for long. */
  refresh (): void {
    const { clock, facts, address, hall, incarnation, getState, onDidReport } = this._options
    const state = getState()
    const { isReady: ready, isDraining: draining, inFlight, recentRequests, configuration } = state
    const word = `${ready}/${draining}`
    if (word === this._reportedWord && clock.now() - this._reportedAt < REPEAT_PERIOD_MS) return
    this._reportedWord = word
    this._reportedAt = clock.now()
    const subject = formatGateSubject(address)
    facts.merge({
      subject,
      // A node whose clock fell behind that of its predecessor at this address must still be heard.
      incarnation: Math.max(incarnation, facts.get(subject)?.incarnation ?? 0),
      counter: ++this._factCounter,
      value: { kind: 'gate', address, hall, inFlight, recentRequests, draining, ready, configuration },
      ageMs: 0
    })
    onDidReport(state)
  }
}
